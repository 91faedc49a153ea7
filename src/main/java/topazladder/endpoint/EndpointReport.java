package topazladder.endpoint;

/**
 * One instance's view of one dependency endpoint. The instance sends it to the leader of the consensus group with each
 * of its lease requests.
 *
 * @param calls number of recent calls, decayed exponentially
 * @param failures number of those that failed, decayed likewise
 */
public record EndpointReport(String endpoint, EndpointHealth health, double calls, double failures) {
}
