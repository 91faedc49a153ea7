package topazladder.admission;

/**
 * Exponentially decaying rate of events per second: {@code weight / (span * (1 - exp(-age / span)))}. The weight of
 * each event decays by {@code exp(-elapsed / span)}. The age is the time since the rate was created; dividing by the
 * second factor keeps a recently created rate from being too low. Reading the rate applies the decay too.
 */
final class DecayingRate {
    private final double spanSeconds;
    private final double startedAt;
    private double weight;
    private double decayedAt;

    DecayingRate(double spanSeconds, double startedAt) {
        this.spanSeconds = spanSeconds;
        this.startedAt = startedAt;
        decayedAt = startedAt;
    }

    void add(double events, double now) {
        decay(now);
        weight += events;
    }

    /** Events per second; 0 at the time of creation. */
    double perSecond(double now) {
        decay(now);
        double observedShare = 1 - StrictMath.exp(-(now - startedAt) / spanSeconds);
        return observedShare <= 0 ? 0 : weight / (spanSeconds * observedShare);
    }

    /** Sum of the decayed weights of all events. */
    double weight() {
        return weight;
    }

    private void decay(double now) {
        weight *= StrictMath.exp(-(now - decayedAt) / spanSeconds);
        decayedAt = now;
    }
}
