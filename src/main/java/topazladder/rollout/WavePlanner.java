package topazladder.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Assigns the instances to the waves of a plan. Instances that do not vote come first, so that the consensus group is
 * restarted in version B only after others have run it.
 */
public final class WavePlanner {

    private WavePlanner() {}

    /**
     * Assigns all instances; those that no wave takes form one more wave at the end.
     *
     * @param members all instances of the cluster; their wave, stage and attempt are ignored
     * @param leaseHolder name of the holder of the rollout lease, or empty; it comes last
     */
    public static List<RolloutTarget> assign(RolloutPlan plan, List<RolloutTarget> members, String leaseHolder) {
        List<RolloutTarget> ordered = new ArrayList<>(members);
        ordered.sort(Comparator.comparing((RolloutTarget place) -> place.name().equals(leaseHolder))
                .thenComparing(RolloutTarget::isVoter)
                .thenComparing(RolloutTarget::name));
        List<RolloutTarget> assigned = new ArrayList<>();
        Set<String> assignedNames = new HashSet<>();
        for (int w = 0; w <= plan.waves().size(); w++) {
            boolean isRest = w == plan.waves().size();
            RolloutPlan.Wave wave = isRest ? new RolloutPlan.Wave("", 0, 1, 0) : plan.waves().get(w);
            List<RolloutTarget> inZone = ordered.stream()
                    .filter(place -> wave.zone().isEmpty() || wave.zone().equals(place.zone())).toList();
            int limit = isRest ? inZone.size() : (int) Math.ceil(wave.share() * inZone.size());
            limit = wave.maxInstances() > 0 ? Math.min(limit, wave.maxInstances()) : limit;
            int number = w;
            inZone.stream().filter(place -> !assignedNames.contains(place.name())).limit(limit).forEach(place -> {
                assignedNames.add(place.name());
                assigned.add(new RolloutTarget(place.name(), place.zone(), place.isVoter(), number,
                        RolloutTarget.Stage.LEFT, 0));
            });
        }
        return List.copyOf(assigned);
    }
}
