package topazladder.warmstart;

import java.util.EnumMap;
import java.util.Map;
import java.util.OptionalDouble;
import topazladder.request.LearnedEstimate.Kind;

/**
 * How estimates of one kind apply to another instance: how fast they age, how many samples they may stand for beside
 * the instance's own, and how their value changes on another machine. docs/peer.md gives the reasons as a table.
 *
 * @param halfLife seconds after which an estimate stands for half its samples
 * @param maxWeight samples that it stands for at most, so that as many own ones halve its influence
 * @param minWeight samples under which it is ignored
 * @param scaling how the value changes from the origin's machine to another
 * @param otherSettingsFactor of the weight, where the origin has other request classes or dependencies
 */
record TransferPolicy(double halfLife, double maxWeight, double minWeight, Scaling scaling,
        double otherSettingsFactor) {

    /** How a value changes from the machine it was measured on to another. */
    enum Scaling {
        /** Not at all: it depends on the requests or the dependencies alone. */
        NONE,
        /** Shorter on faster cores. */
        BY_CORE_SPEED,
        /** Valid only for the same number of cores: scaled from a larger peer, it became a limit that was too low. */
        SAME_CORES_ONLY,
        /** Larger with more and with faster cores. */
        BY_TOTAL_CPU
    }

    /** Factor of the weight where the core speed of one of the two machines is unknown. */
    private static final double UNKNOWN_SPEED_FACTOR = 0.5;

    private static final Map<Kind, TransferPolicy> BY_KIND = new EnumMap<>(Map.of(
            // Run times depend on the request bodies more than on the hour; three own runs say more of this machine.
            Kind.RUN_TIME, new TransferPolicy(600, 3, 1, Scaling.BY_CORE_SPEED, 0.25),
            Kind.CALLS_IN_FLIGHT, new TransferPolicy(300, 10, 5, Scaling.SAME_CORES_ONLY, 0),
            // Another mix of requests completes at another rate.
            Kind.COMPLETION_RATE, new TransferPolicy(60, 1000, 10, Scaling.BY_TOTAL_CPU, 0)));

    static TransferPolicy of(Kind kind) {
        return BY_KIND.get(kind);
    }

    /** Factor of the weight of an estimate of {@code from} that is used at {@code to}. */
    double weightFactor(Origin from, Origin to) {
        double factor = from.settingsDigest() == to.settingsDigest() ? 1 : otherSettingsFactor;
        boolean dependsOnSpeed = scaling == Scaling.BY_CORE_SPEED || scaling == Scaling.BY_TOTAL_CPU;
        boolean isSpeedKnown = from.coreSpeed() > 0 && to.coreSpeed() > 0;
        boolean isSameMachine = from.name().equals(to.name()) && from.cores() == to.cores();
        return dependsOnSpeed && !isSpeedKnown && !isSameMachine ? factor * UNKNOWN_SPEED_FACTOR : factor;
    }

    /** The value of an estimate of {@code from} at {@code to}; empty where it does not apply there. */
    OptionalDouble scaledValue(double value, Origin from, Origin to) {
        double speedRatio = from.coreSpeed() > 0 && to.coreSpeed() > 0 ? to.coreSpeed() / from.coreSpeed() : 1;
        double coresRatio = from.cores() > 0 && to.cores() > 0 ? to.cores() / from.cores() : Double.NaN;
        double scaled = switch (scaling) {
            case NONE -> value;
            case BY_CORE_SPEED -> value / speedRatio;
            case SAME_CORES_ONLY -> coresRatio == 1 ? value : Double.NaN;
            case BY_TOTAL_CPU -> value * coresRatio * speedRatio;
        };
        return Double.isFinite(scaled) ? OptionalDouble.of(scaled) : OptionalDouble.empty();
    }
}
