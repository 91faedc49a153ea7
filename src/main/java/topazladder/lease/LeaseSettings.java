package topazladder.lease;

/**
 * The configuration of one lease.
 *
 * @param name unique in the cluster
 * @param durationSeconds how long a holder may keep the lease without a response from the leader, by the holder's clock
 * @param maxConsecutiveLosses number of holders that crash or fail one after another until the lease is suspended
 */
public record LeaseSettings(String name, double durationSeconds, int maxConsecutiveLosses) {

    /** Fraction by which a clock may run fast or slow; with a larger drift two members may hold one lease at a time. */
    public static final double MAX_CLOCK_DRIFT = 0.05;

    /**
     * Time after which a lease has expired at its holder, for any two clocks within the allowed drift:
     * {@code durationSeconds * (1 + drift) / (1 - drift)}. This covers the worst case, a leader's clock that runs fast
     * and a holder's clock that runs slow.
     *
     * @param durationSeconds the lease duration, in seconds of the holder's clock
     * @return seconds of the leader's clock
     */
    public static double safeExpirySeconds(double durationSeconds) {
        return durationSeconds * (1 + MAX_CLOCK_DRIFT) / (1 - MAX_CLOCK_DRIFT);
    }
}
