package topazladder.lease;

/**
 * What holds for a duty by its settings.
 *
 * @param lease seconds that a holder may go on without word from the group, by its own clock
 * @param mostLosses holders that it may bring down one after another before it is halted
 */
public record LeaseSettings(String name, double lease, int mostLosses) {

    /** How far a clock may run fast or slow; what goes beyond is not covered by any promise here. */
    public static final double CLOCKS = 0.05;

    /**
     * Seconds by the leader's clock after which a lease of so many seconds by a holder's clock is surely over, though
     * the leader's runs fast and the holder's slow as far as they may.
     */
    public static double surelyOver(double lease) {
        return lease * (1 + CLOCKS) / (1 - CLOCKS);
    }
}
