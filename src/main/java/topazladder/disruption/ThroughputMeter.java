package topazladder.disruption;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Measures an instance's rates over the last three seconds from its running totals, and estimates its capacity: the
 * highest payoff a second that was served in any window. The estimate halves in each hour in which it is not reached
 * again, as the machine may have changed.
 *
 * <p>{@code capacity = max(capacity * 0.5 ^ (seconds / 3600), served payoff a second)}; a window counts once it spans
 * at least half its length.
 */
public final class ThroughputMeter {
    /** Short enough to show soon that an instance that returns serves again. */
    private static final double WINDOW_SECONDS = 3;
    private static final double CAPACITY_HALVING_SECONDS = 3600;
    private static final int MIN_SAMPLES = 2;

    /**
     * Running totals since the start.
     *
     * @param offered payoff of all requests that were received
     * @param served payoff of the requests that were served
     * @param failed number of requests that failed
     */
    public record Totals(double offered, double served, long failed) {
    }

    private record Sample(double at, Totals totals) {
    }

    private final String version;
    private final Deque<Sample> window = new ArrayDeque<>();
    private double capacity;
    private double capacityAt = Double.NaN;

    /**
     * Creates a meter that has measured nothing yet.
     *
     * @param version that the instance runs, or empty
     */
    public ThroughputMeter(String version) {
        this.version = version;
    }

    /** The rates of the window that ends now; to be called several times in each window. */
    public LoadReport measure(double now, Totals totals, double memoryMegabytes) {
        window.add(new Sample(now, totals));
        while (window.size() > MIN_SAMPLES && now - window.peek().at() > WINDOW_SECONDS) {
            window.poll();
        }
        Sample first = window.peek();
        double span = now - first.at();
        if (span <= 0) {
            return new LoadReport(version, 0, 0, 0, 0, capacity, memoryMegabytes);
        }
        double served = (totals.served() - first.totals().served()) / span;
        updateCapacity(now, span, served);
        double offered = (totals.offered() - first.totals().offered()) / span;
        double failed = (totals.failed() - first.totals().failed()) / span;
        return new LoadReport(version, span, offered, served, failed, capacity, memoryMegabytes);
    }

    private void updateCapacity(double now, double span, double served) {
        if (!Double.isNaN(capacityAt)) {
            capacity *= StrictMath.pow(0.5, Math.max(0, now - capacityAt) / CAPACITY_HALVING_SECONDS);
        }
        capacityAt = now;
        if (span >= WINDOW_SECONDS / 2) {
            capacity = Math.max(capacity, served);
        }
    }
}
