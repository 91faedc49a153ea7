package topazladder.rollout;

import java.util.List;
import topazladder.disruption.Disruption;
import topazladder.disruption.DisruptionController.Health;
import topazladder.disruption.LoadReport;

/**
 * What the leader of the consensus group knows of the rollout and of the instances: the input of the rollout
 * controller's decisions.
 *
 * @param rollout the rollout in progress or the last one; null where there was none
 * @param members all that the leader has heard of
 * @param leader its name, or empty
 * @param supportsAdditions whether the leader and most voters can read {@link RolloutCommand.AddTarget}
 */
public record RolloutStatus(Rollout rollout, List<InstanceStatus> members, String leader, boolean supportsAdditions) {

    /** Creates a status in which the leader is not known and additions are supported. */
    public RolloutStatus(Rollout release, List<InstanceStatus> members) {
        this(release, members, "", true);
    }

    /**
     * One instance.
     *
     * @param health how it looks to the leader
     * @param incarnation incarnation of its process
     * @param disruption its disruption, or null
     * @param blockedReason why its disruption is not granted, or null
     * @param load its last load report; null where that incarnation has sent none
     */
    public record InstanceStatus(String name, String zone, Health health, long incarnation, Disruption disruption,
            String blockedReason,
            LoadReport load) {

        /** Whether it runs that version and is steady. */
        boolean runs(String version) {
            return health == Health.STEADY && disruption == null && load != null && version.equals(load.version());
        }
    }

    InstanceStatus member(String name) {
        return members.stream().filter(member -> member.name().equals(name)).findFirst().orElse(null);
    }
}
