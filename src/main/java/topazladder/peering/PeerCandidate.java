package topazladder.peering;

/**
 * A peer that may be asked, from the settings.
 *
 * @param address numeric, with a port
 * @param zone it runs in, or empty
 */
public record PeerCandidate(String name, String address, String zone) {
}
