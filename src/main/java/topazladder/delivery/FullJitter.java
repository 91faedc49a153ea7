package topazladder.delivery;

import java.util.random.RandomGenerator;

/**
 * Waits between connects: anything up to a bound that doubles with each failure. All that lost one broker at the same
 * moment come back spread over that time, and not in waves.
 */
public final class FullJitter {
    private final double first;
    private final double longest;
    private final RandomGenerator chance;
    private double bound;

    public FullJitter(double first, double longest, RandomGenerator chance) {
        this.first = first;
        this.longest = longest;
        this.chance = chance;
        bound = first;
    }

    /** Seconds. */
    public double next() {
        double wait = bound * chance.nextDouble();
        bound = Math.min(longest, 2 * bound);
        return wait;
    }

    public void reset() {
        bound = first;
    }
}
