package topazladder.warmstart;

import topazladder.request.LearnedEstimate.Kind;

/**
 * A learned estimate with the instance that measured it and the time at which it was taken.
 *
 * @param kind what was measured
 * @param subject the request class that it holds for, or empty
 * @param origin who measured it
 * @param value in the unit of its kind
 * @param weight samples that the value stood for at that time
 * @param measuredAt seconds on the local monotonic clock, which means nothing to other instances; sent as an age
 * @param version number of the origin's share that it came with; the higher of two is the later
 */
public record SharedEstimate(Kind kind, String subject, Origin origin, double value, double weight, double measuredAt,
        long version) {
    private static final double MAX_WEIGHT = 1e6;
    private static final int MAX_SUBJECT_LENGTH = 100;

    /** One fact is kept for each key. */
    record Key(Kind kind, String subject, String name, long incarnation) {
    }

    Key key() {
        return new Key(kind, subject, origin.name(), origin.incarnation());
    }

    /**
     * Which of two facts under one key is kept, in a total order, so that all instances choose the same one. A copy
     * that came by more hops looks younger, as its time on the way is not counted: of equal versions the older reading
     * is closer to the truth.
     */
    SharedEstimate laterOf(SharedEstimate other) {
        if (version != other.version) {
            return version > other.version ? this : other;
        }
        if (measuredAt != other.measuredAt) {
            return measuredAt < other.measuredAt ? this : other;
        }
        int order = Double.compare(weight, other.weight);
        order = order != 0 ? order : Double.compare(value, other.value);
        order = order != 0 ? order : Double.compare(origin.cores(), other.origin.cores());
        order = order != 0 ? order : Double.compare(origin.coreSpeed(), other.origin.coreSpeed());
        order = order != 0 ? order : Long.compare(origin.settingsDigest(), other.origin.settingsDigest());
        return order <= 0 ? this : other;
    }

    /** The samples that it still stands for: {@code weight * 0.5 ^ (age / half-life of the kind)}. */
    double weightAt(double now) {
        return weight * StrictMath.pow(0.5, Math.max(0, now - measuredAt) / TransferPolicy.of(kind).halfLife());
    }

    /** Whether its values are possible at all; a peer may send anything. */
    boolean isPlausible() {
        return Double.isFinite(value) && value >= 0 && Double.isFinite(weight) && weight > 0 && weight <= MAX_WEIGHT
                && Double.isFinite(measuredAt) && subject.length() <= MAX_SUBJECT_LENGTH;
    }
}
