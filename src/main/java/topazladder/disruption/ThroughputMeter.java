package topazladder.disruption;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Makes rates of an instance's running counts. A capacity is the most that was served in any window; what was seen
 * once is believed less as time goes, since the machine under it may be another's by then.
 */
public final class ThroughputMeter {
    /** Seconds over which rates are taken: short enough that one that comes back is seen to serve soon. */
    private static final double WINDOW = 3;
    /** Seconds in which half of a capacity that is not seen again is forgotten. */
    private static final double HALF = 3600;

    /**
     * Running counts since the start.
     *
     * @param asked payoff of all requests read
     * @param served payoff of those served
     * @param failed requests
     */
    public record Counted(double asked, double served, long failed) {
    }

    private record Look(double at, Counted counted) {
    }

    private final String version;
    private final Deque<Look> looks = new ArrayDeque<>(); // those of one window
    private double capacity;
    private double capacityAt = Double.NaN;

    public ThroughputMeter(String version) {
        this.version = version;
    }

    /** The rates up to now; to be called several times in a window. */
    public LoadReport look(double now, Counted counted, double megabytes) {
        looks.add(new Look(now, counted));
        while (looks.size() > 2 && now - looks.peek().at() > WINDOW) {
            looks.poll();
        }
        Look first = looks.peek();
        double span = now - first.at();
        if (span <= 0) {
            return new LoadReport(version, 0, 0, 0, 0, capacity, megabytes);
        }
        double served = (counted.served() - first.counted().served()) / span;
        if (!Double.isNaN(capacityAt)) {
            capacity *= Math.pow(0.5, Math.max(0, now - capacityAt) / HALF);
        }
        capacityAt = now;
        if (span >= WINDOW / 2) {
            capacity = Math.max(capacity, served);
        }
        return new LoadReport(version, span, (counted.asked() - first.counted().asked()) / span, served,
                (counted.failed() - first.counted().failed()) / span, capacity, megabytes);
    }
}
