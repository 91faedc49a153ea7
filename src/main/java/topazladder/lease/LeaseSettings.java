package topazladder.lease;

/**
 * What an installation sets for one lease.
 *
 * @param name of the lease, unique in the cluster
 * @param durationSeconds for which a holder may go on without a response from the leader, by the holder's clock
 * @param maxConsecutiveLosses holders that may end or fail one after another before the lease is suspended
 */
public record LeaseSettings(String name, double durationSeconds, int maxConsecutiveLosses) {

    /** Part by which a clock may run fast or slow; no promise covers a clock that drifts further. */
    public static final double MAX_CLOCK_DRIFT = 0.05;

    /**
     * When a lease has run out at its holder, whatever the two clocks do within the allowed drift:
     * {@code durationSeconds * (1 + drift) / (1 - drift)}, for a leader's clock that runs fast and a holder's that runs
     * slow.
     *
     * @param durationSeconds by the holder's clock
     * @return seconds by the leader's clock
     */
    public static double safeExpirySeconds(double durationSeconds) {
        return durationSeconds * (1 + MAX_CLOCK_DRIFT) / (1 - MAX_CLOCK_DRIFT);
    }
}
