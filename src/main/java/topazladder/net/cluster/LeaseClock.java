package topazladder.net.cluster;

import java.util.function.DoubleSupplier;

/**
 * The clock by which a holder counts its lease, in seconds. It never runs backwards. It also counts time that the Java
 * machine's monotonic clock leaves out, such as while the computer sleeps: where the wall clock went clearly further
 * than the monotonic one, the wall clock's step counts. A wall clock that is set forward thus ends leases early, which
 * costs a hand-over and breaks nothing. The group's leader goes by the monotonic clock alone, since for it too little
 * time is the safe error.
 */
final class LeaseClock implements DoubleSupplier {
    /** Lead of the wall clock from which on it counts; a smaller one is its ordinary adjustment. */
    private static final double MIN_WALL_CLOCK_LEAD_SECONDS = 0.5;

    private final DoubleSupplier monotonic;
    private final DoubleSupplier wallClock;
    private final double rate;
    private double lastMonotonic;
    private double lastWallClock;
    private double now;

    /**
     * Starts the clock.
     *
     * @param monotonic seconds of a clock that never runs backwards
     * @param wallClock seconds of the time of day
     * @param rate seconds that this clock counts in one second of the others
     */
    LeaseClock(DoubleSupplier monotonic, DoubleSupplier wallClock, double rate) {
        this.monotonic = monotonic;
        this.wallClock = wallClock;
        this.rate = rate;
        lastMonotonic = monotonic.getAsDouble();
        lastWallClock = wallClock.getAsDouble();
        now = lastMonotonic * rate;
    }

    @Override
    public double getAsDouble() {
        double monotonicNow = monotonic.getAsDouble();
        double wallClockNow = wallClock.getAsDouble();
        double elapsed = monotonicNow - lastMonotonic;
        double wallClockElapsed = wallClockNow - lastWallClock;
        now += Math.max(elapsed,
                wallClockElapsed > elapsed + MIN_WALL_CLOCK_LEAD_SECONDS ? wallClockElapsed : 0) * rate;
        lastMonotonic = monotonicNow;
        lastWallClock = wallClockNow;
        return now;
    }
}
