package topazladder.hall;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import topazladder.consensus.VoterEndpoint;
import topazladder.disruption.DisruptionBudget;
import topazladder.disruption.DisruptionController;
import topazladder.disruption.DisruptionTarget;
import topazladder.release.Place;
import topazladder.release.Plan;
import topazladder.release.ReleaseOp;
import topazladder.release.View;
import topazladder.release.Waves;
import topazladder.replication.ClusterReplica;

/**
 * Whether a release may start, and which instances it covers, by what the group's leader knows. No I/O; called on the
 * group's thread, at the leader.
 *
 * <p>A release covers the members that the leader has heard of when it starts. One that joins later, or that the leader
 * hears of later, is added by the conductor ({@link ReleaseOp.AddPlace}) while the release runs.
 */
public final class ReleaseStart {
    /** The schema of messages in which releases came. */
    private static final int KNOWS_RELEASES = 2;
    private static final String CONDUCTING_LEASE = "release";

    private final ClusterReplica replica;
    private final Plan plan;

    private ReleaseStart(ClusterReplica replica, Plan plan) {
        this.replica = replica;
        this.plan = plan;
    }

    /**
     * What becomes of an operator's order to start a release.
     *
     * @param operation to be agreed on, or null where it is refused
     * @param refusal why it is refused, for the operator; null where it is not
     */
    public record Decision(ReleaseOp.Start operation, String refusal) {

        public boolean refused() {
            return refusal != null;
        }
    }

    public static Decision decide(ClusterReplica replica, Plan plan, ReleaseOp.By by) {
        return new ReleaseStart(replica, plan).decide(by);
    }

    private Decision decide(ReleaseOp.By by) {
        if (!replica.rollouts().isSettled()) {
            return new Decision(null, "the leader has not led for long enough to know every member; try again soon");
        }
        View view = replica.rollouts().view();
        String refusal = refusal(view);
        if (refusal != null) {
            return new Decision(null, refusal);
        }
        Set<String> voting = replica.voting().stream().map(VoterEndpoint::name).collect(Collectors.toSet());
        List<Place> places = new ArrayList<>();
        for (View.Sight member : view.members()) {
            places.add(new Place(member.name(), member.zone(), voting.contains(member.name()), 0, Place.Stage.LEFT, 0));
        }
        return new Decision(new ReleaseOp.Start(by, plan, Waves.of(plan, places, conductor())), null);
    }

    /** What would stop it in the middle is better known before its first step. */
    private String refusal(View view) {
        List<String> unread = replica.voting().stream().map(VoterEndpoint::name)
                .filter(name -> replica.disruptions().controller().schemaOf(name) < KNOWS_RELEASES).toList();
        if (2 * unread.size() >= replica.voting().size()) {
            return "the voters " + unread + " can't read releases; start them in a version that can";
        }
        if (replica.state().leases().leases().stream().noneMatch(d -> d.settings().name().equals(CONDUCTING_LEASE))) {
            return "no duty named release conducts here";
        }
        return view.members().stream().map(this::refusalBy).filter(why -> why != null).findFirst().orElse(null);
    }

    private String refusalBy(View.Sight member) {
        if (member.look() == DisruptionController.Health.GONE) {
            return member.name() + " is not there; give it up first, or start it";
        }
        String runs = member.serving() == null ? "" : member.serving().version();
        if (!runs.equals(plan.from()) && !runs.equals(plan.to())) {
            return member.name() + " runs '" + runs + "', neither " + plan.from() + " nor " + plan.to();
        }
        DisruptionTarget subject = new DisruptionTarget(DisruptionTarget.Kind.INSTANCE, member.name(), member.zone());
        List<DisruptionBudget> covering =
                replica.state().disruptions().budgets().stream().filter(b -> b.covers(subject)).toList();
        boolean mayGo = !covering.isEmpty() && covering.stream().noneMatch(b -> b.maxUnavailable() == 0);
        return mayGo ? null : "no budget lets " + member.name() + " go";
    }

    private String conductor() {
        return replica.state().leases().leases().stream()
                .filter(d -> d.isHeld() && d.settings().name().equals(CONDUCTING_LEASE))
                .map(d -> d.holder().name()).findFirst().orElse("");
    }
}
