package topazladder.delivery;

/** So many a second and no more: each taker is told how long to wait for its turn. */
final class Pace {
    private final double period;
    private double next;

    Pace(double perSecond) {
        period = 1 / perSecond;
    }

    /** Seconds until this one's turn; turns are given in order. */
    double turn(double now) {
        next = Math.max(next, now);
        double wait = next - now;
        next += period;
        return wait;
    }
}
