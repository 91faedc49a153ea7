package topazladder.release;

import java.util.List;
import topazladder.disruption.Disruption;
import topazladder.disruption.DisruptionController.Health;
import topazladder.disruption.LoadReport;

/**
 * What a conductor goes by, as the group's leader has it.
 *
 * @param release or null where there was none
 * @param members all that the leader sees
 * @param leader by name, or empty
 * @param takesAdditions whether the leader and most voters can read {@link ReleaseOp.AddPlace}
 */
public record View(Release release, List<Sight> members, String leader, boolean takesAdditions) {

    public View(Release release, List<Sight> members) {
        this(release, members, "", true);
    }

    /**
     * One instance.
     *
     * @param out its part in the ledger of outs, or null
     * @param waits why it is not let go, or null
     * @param serving what it said last; null where it said nothing in this life
     */
    public record Sight(String name, String zone, Health look, long life, Disruption out, String waits,
            LoadReport serving) {

        /** Whether it serves as it should, in that version. */
        boolean runs(String version) {
            return look == Health.STEADY && out == null && serving != null && version.equals(serving.version());
        }
    }

    Sight of(String name) {
        return members.stream().filter(s -> s.name().equals(name)).findFirst().orElse(null);
    }
}
