package topazladder.peering;

/**
 * Whoever may be asked, as the settings name it.
 *
 * @param address numeric, with a port
 * @param hall where it stands, or empty
 */
public record Candidate(String name, String address, String hall) {
}
