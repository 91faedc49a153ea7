package topazladder.disruption;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import topazladder.disruption.DisruptionController.Health;
import topazladder.disruption.DisruptionController.Observation;

/** The leader's observations of the instances, from its membership, and since when each that is gone has been so. */
final class InstanceObservations {
    /** Part of the instances above which, if they look lost, the leader itself is more likely partitioned off. */
    private static final double MAX_LOST_SHARE = 0.5;

    private final Map<DisruptionTarget, Observation> byTarget = new HashMap<>(); // as many as there are members
    private final Map<DisruptionTarget, Double> goneSince = new HashMap<>();

    void replace(double now, Map<DisruptionTarget, Observation> observations) {
        byTarget.clear();
        byTarget.putAll(observations);
        goneSince.keySet().removeIf(target -> !observations.containsKey(target)
                || observations.get(target).health() != Health.GONE);
        observations.forEach((target, observation) -> {
            if (observation.health() == Health.GONE) {
                goneSince.putIfAbsent(target, now);
            }
        });
    }

    /** Forgets since when instances have been gone: a new leadership counts from its own observations. */
    void resetGoneSince() {
        goneSince.clear();
    }

    /** The observation of that instance, or null where it was never heard of. */
    Observation get(DisruptionTarget target) {
        return byTarget.get(target);
    }

    void forEach(BiConsumer<DisruptionTarget, Observation> action) {
        byTarget.forEach(action);
    }

    /** Seconds for which the instance has been gone; 0 for one that is not gone. */
    double goneSeconds(double now, DisruptionTarget target) {
        return now - goneSince.getOrDefault(target, now);
    }

    /**
     * Whether so many instances look lost that the leader itself is likely partitioned off: more than half of all, not
     * counting those that are known to be unavailable.
     */
    boolean isBlind(Set<DisruptionTarget> knownUnavailable) {
        long lost = byTarget.entrySet().stream()
                .filter(entry -> looksLost(entry.getValue()) && !knownUnavailable.contains(entry.getKey()))
                .count();
        return lost > MAX_LOST_SHARE * byTarget.size();
    }

    private static boolean looksLost(Observation observation) {
        return observation.health() == Health.GONE || observation.health() == Health.SUSPECTED;
    }
}
