package topazladder.disruption;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import topazladder.disruption.DisruptionController.Health;
import topazladder.disruption.DisruptionController.Observation;

/** How the instances look to the leader by its membership, and since when it has not heard those that are gone. */
final class InstanceObservations {
    /** Part of the instances that may look lost before that says more about the leader than about them. */
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

    /** What an earlier leadership has seen of the time since when instances are gone counts no more. */
    void resetGoneSince() {
        goneSince.clear();
    }

    /** How the instance looks, or null where it was never heard of. */
    Observation get(DisruptionTarget target) {
        return byTarget.get(target);
    }

    void forEach(BiConsumer<DisruptionTarget, Observation> action) {
        byTarget.forEach(action);
    }

    /** Seconds for which the instance has been gone; 0 for one that is not. */
    double goneSeconds(double now, DisruptionTarget target) {
        return now - goneSince.getOrDefault(target, now);
    }

    /**
     * Whether so many instances look lost that the leader itself is likely cut off: more than half of all, beside those
     * that are known to be unavailable.
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
