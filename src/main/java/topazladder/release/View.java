package topazladder.release;

import java.util.List;
import topazladder.disruption.Disruption;
import topazladder.disruption.DisruptionController.Health;
import topazladder.disruption.LoadReport;

/**
 * What the leader of the consensus group knows of the rollout and of the instances: the input of the rollout
 * controller's decisions.
 *
 * @param release the rollout in progress or the last one; null where there was none
 * @param members all that the leader has heard of
 * @param leader its name, or empty
 * @param takesAdditions whether the leader and most voters can read {@link ReleaseOp.AddPlace}
 */
public record View(Release release, List<Sight> members, String leader, boolean takesAdditions) {

    /** With an unknown leader, and additions. */
    public View(Release release, List<Sight> members) {
        this(release, members, "", true);
    }

    /**
     * One instance.
     *
     * @param look how it looks to the leader
     * @param life incarnation of its process
     * @param out its disruption, or null
     * @param waits why its disruption is not granted, or null
     * @param serving its last load report; null where that incarnation has sent none
     */
    public record Sight(String name, String zone, Health look, long life, Disruption out, String waits,
            LoadReport serving) {

        /** Whether it runs that version and is steady. */
        boolean runs(String version) {
            return look == Health.STEADY && out == null && serving != null && version.equals(serving.version());
        }
    }

    Sight member(String name) {
        return members.stream().filter(member -> member.name().equals(name)).findFirst().orElse(null);
    }
}
