package topazladder.net.hall;

import java.util.function.DoubleSupplier;

/**
 * The clock by which a holder counts its lease, in seconds. It never runs backwards, and also counts what the
 * monotonic clock of the Java machine leaves out, as while a machine sleeps: where the time of day went further, that
 * holds. A time of day that is set forward so ends leases early, which costs an hand-over and breaks nothing. The
 * group's leader goes by the monotonic clock alone, since for it less time is the safe side.
 */
final class HallClock implements DoubleSupplier {
    /** Seconds by which the time of day has to be ahead; less is its being kept right. */
    private static final double AHEAD = 0.5;

    private final DoubleSupplier monotonic;
    private final DoubleSupplier timeOfDay;
    private final double rate;
    private double lastMonotonic;
    private double lastTimeOfDay;
    private double now;

    HallClock(DoubleSupplier monotonic, DoubleSupplier timeOfDay, double rate) {
        this.monotonic = monotonic;
        this.timeOfDay = timeOfDay;
        this.rate = rate;
        lastMonotonic = monotonic.getAsDouble();
        lastTimeOfDay = timeOfDay.getAsDouble();
        now = lastMonotonic * rate;
    }

    @Override
    public double getAsDouble() {
        double m = monotonic.getAsDouble();
        double t = timeOfDay.getAsDouble();
        double passed = m - lastMonotonic;
        double byDay = t - lastTimeOfDay;
        now += Math.max(passed, byDay > passed + AHEAD ? byDay : 0) * rate;
        lastMonotonic = m;
        lastTimeOfDay = t;
        return now;
    }
}
