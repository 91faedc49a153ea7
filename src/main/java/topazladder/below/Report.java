package topazladder.below;

/**
 * One instance's view of one dependency endpoint. The instance sends it to the leader of the consensus group with each
 * of its lease requests.
 *
 * @param tried number of recent calls, decayed exponentially
 * @param failed number of those that failed, decayed likewise
 */
public record Report(String server, Look look, double tried, double failed) {
}
