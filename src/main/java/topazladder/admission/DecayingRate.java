package topazladder.admission;

/**
 * Events a second, of which the recent ones count most: {@code mass / (span * (1 - exp(-age / span)))}, where the mass
 * of each event fades by {@code exp(-elapsed / span)} and the age is that of the rate itself, so that a young rate is
 * not too low. Reading the rate fades the mass too.
 */
final class DecayingRate {
    private final double spanSeconds;
    private final double startedAt;
    private double mass;
    private double fadedAt;

    DecayingRate(double spanSeconds, double startedAt) {
        this.spanSeconds = spanSeconds;
        this.startedAt = startedAt;
        fadedAt = startedAt;
    }

    void add(double events, double now) {
        fade(now);
        mass += events;
    }

    /** Events a second; 0 at the start. */
    double perSecond(double now) {
        fade(now);
        double seen = 1 - Math.exp(-(now - startedAt) / spanSeconds);
        return seen <= 0 ? 0 : mass / (spanSeconds * seen);
    }

    /** Events that the rate stands for, the faded ones in part. */
    double mass() {
        return mass;
    }

    private void fade(double now) {
        mass *= Math.exp(-(now - fadedAt) / spanSeconds);
        fadedAt = now;
    }
}
