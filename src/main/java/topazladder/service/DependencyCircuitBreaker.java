package topazladder.service;

import java.util.random.RandomGenerator;

/**
 * Whether a service below is worth a try, by this instance's own tries and by what the one that probes for all has
 * told. While all hold it for dead only that one tries; when it is back, the instances come back spread over a while,
 * not all at once.
 *
 * <p>What one is told never keeps it from trying for good: without a word for a while it goes by its own tries again.
 */
public final class DependencyCircuitBreaker {
    /** Refusals in a row after which it is held for dead. */
    private static final int REFUSALS = 5;
    /** Seconds without a word of the prober after which this one tries by itself, and between two such tries. */
    private static final double ALONE_AFTER = 5;
    private static final double ALONE_EVERY = 1;
    /** Seconds over which those that were told come back. */
    private static final double SPREAD = 1;
    /** What is older says nothing. */
    private static final double STALE = 10;

    public enum State { CLOSED, OPEN, RECOVERING }

    private final RandomGenerator chance;
    private State state = State.CLOSED;
    private int refused;
    private double toldAt = Double.NEGATIVE_INFINITY;
    private double backAt;
    private double lastAlone = Double.NEGATIVE_INFINITY;
    private long token;

    public DependencyCircuitBreaker(RandomGenerator chance) {
        this.chance = chance;
    }

    public State state() {
        return state;
    }

    /** Whether to try now; where not, the call ends as one that could not be made. */
    public boolean isCallPermitted(double now) {
        if (state == State.RECOVERING && now >= backAt) {
            state = State.CLOSED;
            refused = 0;
        }
        if (state == State.OPEN && now - toldAt > ALONE_AFTER && now - lastAlone >= ALONE_EVERY) {
            lastAlone = now;
            return true;
        }
        return state == State.CLOSED;
    }

    public void onSuccess() {
        refused = 0;
        state = State.CLOSED;
    }

    public void onConnectionRefused(double now) {
        if (++refused >= REFUSALS && state == State.CLOSED) {
            state = State.OPEN;
            lastAlone = now;
            // From here on the prober's word is waited for, for a while.
            toldAt = Math.max(toldAt, now);
        }
    }

    /**
     * What the prober found.
     *
     * @param age seconds since it looked
     * @param under the prober's token: one of an earlier prober says nothing against a later one's
     */
    public void onProbeResult(double now, boolean well, double age, long under) {
        if (age > STALE || under < token) {
            return;
        }
        token = under;
        toldAt = Math.max(toldAt, now - age);
        if (well && state == State.OPEN) {
            state = State.RECOVERING;
            backAt = now + chance.nextDouble(SPREAD);
        } else if (!well && state == State.RECOVERING) {
            state = State.OPEN;
        }
    }
}
