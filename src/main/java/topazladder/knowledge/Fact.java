package topazladder.knowledge;

import topazladder.request.LearnedEstimate.Kind;

/**
 * What one origin learned of one subject, at one moment.
 *
 * @param weight events that it stood for when it was seen
 * @param seenAt seconds on the holder's own clock, which never runs backwards and means nothing to others
 * @param version counts the origin's own tellings; of two the higher is the later
 */
public record Fact(Kind kind, String subject, Origin origin, double value, double weight, double seenAt,
        long version) {

    /** One entry for each in what is held. */
    record Key(Kind kind, String subject, String name, long incarnation) {
    }

    Key key() {
        return new Key(kind, subject, origin.name(), origin.incarnation());
    }

    /**
     * The one that stays of two under one key, whichever comes first. A copy that went a longer way lost time that
     * nobody counted, so that of equal versions the older reading of its age is the truer one; the rest of the order
     * only makes the choice the same on every side.
     */
    Fact later(Fact other) {
        if (version != other.version) {
            return version > other.version ? this : other;
        }
        if (seenAt != other.seenAt) {
            return seenAt < other.seenAt ? this : other;
        }
        int order = Double.compare(weight, other.weight);
        order = order != 0 ? order : Double.compare(value, other.value);
        order = order != 0 ? order : Double.compare(origin.cores(), other.origin.cores());
        order = order != 0 ? order : Double.compare(origin.coreSpeed(), other.origin.coreSpeed());
        order = order != 0 ? order : Long.compare(origin.settings(), other.origin.settings());
        return order <= 0 ? this : other;
    }

    /** The events it still stands for: half of them after each half-life. */
    double weightAt(double now) {
        return weight * Math.pow(0.5, Math.max(0, now - seenAt) / Nature.of(kind).halfLife());
    }

    boolean plausible() {
        return Double.isFinite(value) && value >= 0 && Double.isFinite(weight) && weight > 0 && weight <= 1e6
                && Double.isFinite(seenAt) && subject.length() <= 100;
    }
}
