package topazladder.emulator.hall;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import topazladder.disruption.ThroughputMeter;

/**
 * What a hall serves in virtual time: callers spread their load over whoever serves, each instance honours what it is
 * able to, cold ones less, and what a version does worse. No request is played; payoff flows.
 */
public final class Fleet {
    /** Seconds between two steps. */
    static final double STEP = 0.5;
    private static final double CAPACITY = 100;
    /** Seconds from a cold start to its whole capacity, and the part it has at once. */
    static final double WARM_AFTER = 4;
    private static final double COLD = 0.4;
    private static final double NOISE = 0.02;
    private static final double MEGABYTES = 60;

    /**
     * How a version serves.
     *
     * @param slower part of the capacity that it lacks
     * @param spoilt part of what is asked that it breaks off
     * @param leaks megabytes a second
     * @param zone in which alone that is so, or empty for everywhere
     */
    public record Quality(double slower, double spoilt, double leaks, String zone) {
        public static final Quality GOOD = new Quality(0, 0, 0, "");
    }

    /** One instance, as far as callers meet it. */
    static final class Serving {
        private final String version;
        private final String zone;
        private final double since;
        private double asked;
        private double served;
        private double failed;

        Serving(String version, String zone, double since) {
            this.version = version;
            this.zone = zone;
            this.since = since;
        }

        double since() {
            return since;
        }

        ThroughputMeter.Totals counted() {
            return new ThroughputMeter.Totals(asked, served, (long) failed);
        }
    }

    private final double load;
    private final int members;
    private final Map<String, Quality> versions;
    private final SplittableRandom chance;
    private final double[] own;
    private double asked;
    private double served;

    /**
     * @param load of all instances' capacity
     * @param versions that are not good
     */
    public Fleet(int members, double load, Map<String, Quality> versions, SplittableRandom chance) {
        this.members = members;
        this.load = load;
        this.versions = versions;
        this.chance = chance;
        own = new double[members];
        for (int i = 0; i < members; i++) {
            own[i] = 1 + NOISE * (2 * chance.nextDouble() - 1);
        }
    }

    private Quality quality(Serving s) {
        Quality q = versions.getOrDefault(s.version, Quality.GOOD);
        return q.zone().isEmpty() || q.zone().equals(s.zone) ? q : Quality.GOOD;
    }

    /** @param serving by instance; null for one that does not serve now */
    void step(double now, Serving[] serving) {
        double wanted = load * CAPACITY * members * STEP;
        asked += wanted;
        List<Integer> in = new ArrayList<>();
        for (int i = 0; i < serving.length; i++) {
            if (serving[i] != null) {
                in.add(i);
            }
        }
        for (int i : in) {
            Serving s = serving[i];
            Quality q = quality(s);
            double offered = wanted / in.size() * (1 + NOISE * (2 * chance.nextDouble() - 1));
            double warm = Math.min(1, COLD + (1 - COLD) * (now - s.since) / WARM_AFTER);
            double able = CAPACITY * STEP * own[i] * (1 - q.slower()) * warm;
            double done = Math.min(offered, able);
            // Nobody runs so close to its capacity that nothing is late: the last part is lost little by little.
            done -= 0.3 * Math.max(0, done - 0.85 * able);
            double broken = done * q.spoilt();
            s.asked += offered;
            s.served += done - broken;
            s.failed += broken;
            served += done - broken;
        }
    }

    double megabytes(double now, Serving s) {
        return MEGABYTES + quality(s).leaks() * (now - s.since);
    }

    /** Payoff asked, and served, so far. */
    public double[] payoff() {
        return new double[] {asked, served};
    }
}
