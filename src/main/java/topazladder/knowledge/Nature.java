package topazladder.knowledge;

import java.util.EnumMap;
import java.util.Map;
import java.util.OptionalDouble;
import topazladder.request.LearnedEstimate.Kind;

/**
 * What holds of one kind of fact wherever it was learned: how soon it is out of date, how many events it may stand for
 * against own ones, and what it is worth on another machine. docs/peer.md gives the reasons as a table.
 *
 * @param halfLife seconds after which it stands for half its events
 * @param most events that it stands for at the most, so that as many own ones halve what it still says
 * @param least events under which it says nothing
 */
record Nature(double halfLife, double most, double least, Carry carry, double elsewhere) {

    /** How a value changes from the machine it was learned on to another. */
    enum Carry {
        /** The same for all: it lies in the requests, or below. */
        AS_IS,
        /** Shorter on faster cores. */
        BY_SPEED,
        /** Only where there are as many cores: scaled, it was a bound that a larger peer's calls set too low. */
        SAME_CORES,
        /** More on more and faster cores. */
        BY_POWER
    }

    /** What a value is worth where the speed of one of the two machines is not known. */
    private static final double UNKNOWN_SPEED = 0.5;

    private static final Map<Kind, Nature> ALL = new EnumMap<>(Map.of(
            // Runs differ with the bodies more than with the hour; three own ones say more of this machine.
            Kind.RUN_TIME, new Nature(600, 3, 1, Carry.BY_SPEED, 0.25),
            Kind.CALLS_IN_FLIGHT, new Nature(300, 10, 5, Carry.SAME_CORES, 0),
            // Another mix of work is finished at another rate.
            Kind.COMPLETION_RATE, new Nature(60, 1000, 10, Carry.BY_POWER, 0)));

    static Nature of(Kind kind) {
        return ALL.get(kind);
    }

    /** The part of its weight that a fact keeps on the way; nothing, where it can't hold there. */
    double worth(Origin from, Origin to) {
        double worth = from.settings() == to.settings() ? 1 : elsewhere;
        boolean bySpeed = carry == Carry.BY_SPEED || carry == Carry.BY_POWER;
        boolean known = from.coreSpeed() > 0 && to.coreSpeed() > 0;
        boolean own = from.name().equals(to.name()) && from.cores() == to.cores();
        return bySpeed && !known && !own ? worth * UNKNOWN_SPEED : worth;
    }

    /** Empty where it can't be carried over. */
    OptionalDouble carried(double value, Origin from, Origin to) {
        double speed = from.coreSpeed() > 0 && to.coreSpeed() > 0 ? to.coreSpeed() / from.coreSpeed() : 1;
        double cores = from.cores() > 0 && to.cores() > 0 ? to.cores() / from.cores() : Double.NaN;
        double there = switch (carry) {
            case AS_IS -> value;
            case BY_SPEED -> value / speed;
            case SAME_CORES -> cores == 1 ? value : Double.NaN;
            case BY_POWER -> value * cores * speed;
        };
        return Double.isFinite(there) ? OptionalDouble.of(there) : OptionalDouble.empty();
    }
}
