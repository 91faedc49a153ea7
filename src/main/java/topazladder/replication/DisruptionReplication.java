package topazladder.replication;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import topazladder.consensus.LeaderService;
import topazladder.consensus.ReplicatedLog;
import topazladder.disruption.Disruption;
import topazladder.disruption.DisruptionBudget;
import topazladder.disruption.DisruptionCommand;
import topazladder.disruption.DisruptionController;
import topazladder.disruption.DisruptionController.Health;
import topazladder.disruption.DisruptionController.Observation;
import topazladder.disruption.DisruptionStateMachine.Outcome;
import topazladder.disruption.DisruptionTarget;
import topazladder.disruption.LoadReport;
import topazladder.lease.MemberIdentity;
import topazladder.release.Release;

/** Disruptions at the leader: proposes what the {@link DisruptionController} decides, and lets members know. */
public final class DisruptionReplication implements LeaderService {
    /** Heartbeats for which a new leader observes the members before it grants a disruption. */
    private static final double OBSERVATION_HEARTBEATS = 20;

    /** Messages to members; they may be lost. */
    public interface Messages {

        /** The member may shut down under that token, and says so before it does. */
        void mayGo(String member, long token);

        /** The member shuts down now, and comes back as that version; empty for as it is. */
        void go(String member, long token, String version);
    }

    private final ReplicatedLog log;
    private final ClusterState state;
    private final DisruptionController controller;
    private final double observationSeconds;
    private final Consumer<Set<String>> returningMembers;
    private final Messages messages;
    private List<DisruptionBudget> budgets;
    private Map<DisruptionTarget, Observation> seen = Map.of();

    /** With the names of the members on their way back handed on at each tick. */
    DisruptionReplication(ReplicatedLog log, ClusterState state, DisruptionController controller,
            ClusterReplica.Settings settings, Consumer<Set<String>> returningMembers, Messages messages) {
        this.log = log;
        this.state = state;
        this.controller = controller;
        this.observationSeconds = OBSERVATION_HEARTBEATS * settings.heartbeatSeconds();
        this.budgets = settings.budgets();
        this.returningMembers = returningMembers;
        this.messages = messages;
    }

    /** What the leader makes of the members, for operators. */
    public DisruptionController controller() {
        return controller;
    }

    /** How the instances look from here; of use only while this voter leads. */
    public void membersObserved(Map<DisruptionTarget, Observation> looks) {
        seen = Map.copyOf(looks);
        controller.membersObserved(log.now(), seen);
    }

    Map<DisruptionTarget, Observation> membersSeen() {
        return seen;
    }

    /** What a member did of late, and which schema it reads. */
    public void loadReported(MemberIdentity from, int schema, LoadReport load, boolean steady) {
        controller.loadReported(log.now(), instance(from.name()), from.incarnation(), schema, load, steady);
    }

    /** The instance of that name, with its zone where it was seen. */
    public DisruptionTarget instance(String name) {
        DisruptionTarget unplaced = new DisruptionTarget(DisruptionTarget.Kind.INSTANCE, name, "");
        return seen.keySet().stream().filter(unplaced::equals).findFirst().orElse(unplaced);
    }

    /** A member that may shut down would do so now: once that is committed it is told to. */
    public void shutdownRequested(MemberIdentity from, long token) {
        if (!log.isLeader()) {
            return;
        }
        DisruptionTarget instance = instance(from.name());
        propose(new DisruptionCommand.Leaving(instance, token, from.incarnation(), ""), outcome -> {
            if (outcome.isApplied()) {
                Disruption disruption = state.disruptions().get(instance(from.name()));
                messages.go(from.name(), token, disruption == null ? ""
                        : state.rollouts().versionFor(from.name(), disruption.requestId()));
            }
        });
    }

    /** A member was told to shut down by somebody else, and does so whatever is agreed on here. */
    public void leaving(MemberIdentity from, String by) {
        Disruption disruption = state.disruptions().get(instance(from.name()));
        boolean known = disruption != null && disruption.phase() == Disruption.Phase.GONE
                && disruption.incarnation() == from.incarnation();
        if (log.isLeader() && !known) {
            propose(new DisruptionCommand.Leaving(instance(from.name()), 0, from.incarnation(), by), outcome -> {});
        }
    }

    /** Proposes an operator's or a member's command; tells its outcome, or that nobody knows it. */
    public void propose(DisruptionCommand command, Consumer<Outcome> then) {
        if (!log.isLeader()) {
            then.accept(new Outcome(0, ProposalFailures.NOT_LEADER));
            return;
        }
        log.<Outcome>replicate(command).whenComplete((outcome, failure) -> then.accept(
                failure == null ? outcome : new Outcome(0, ProposalFailures.indeterminate(failure))));
    }

    void replaceBudgets(List<DisruptionBudget> newBudgets) {
        budgets = newBudgets;
    }

    @Override
    public List<?> settingsCommands(long groupGeneration) {
        return List.of(new DisruptionCommand.SetBudgets(budgets));
    }

    @Override
    public void becomeLeader(double now) {
        controller.becomeLeader(now, observationSeconds);
    }

    @Override
    public void stepDown() {
        controller.stepDown();
    }

    @Override
    public void tick(double now) {
        controller.tick(now).forEach(command -> log.propose(command, controller::commandCompleted));
        returningMembers.accept(state.disruptions().disruptions().stream()
                .filter(disruption -> disruption.phase() == Disruption.Phase.RETURNING)
                .map(disruption -> disruption.target().name()).collect(Collectors.toSet()));
        tellWhoMayGo();
    }

    /** Repeated until they have gone, as the message may be lost, and so may the answer. */
    private void tellWhoMayGo() {
        for (Disruption disruption : state.disruptions().disruptions()) {
            boolean mayGo = disruption.phase() == Disruption.Phase.GRANTED || isGoneAndStillThere(disruption);
            if (mayGo && disruption.target().kind() == DisruptionTarget.Kind.INSTANCE) {
                messages.mayGo(disruption.target().name(), disruption.token());
            }
        }
    }

    /**
     * Whether a member has said that it goes and is still there: the leader that committed it may have ended before it
     * told the member so. Not while the rollout that it would go for is halted.
     */
    private boolean isGoneAndStillThere(Disruption disruption) {
        Observation look = seen.get(disruption.target());
        return disruption.phase() == Disruption.Phase.GONE && disruption.reason().needsGrant()
                && look != null && look.incarnation() == disruption.incarnation() && look.health() != Health.GONE
                && !(rolloutIsHalted() && disruption.reason() == Disruption.Reason.RELEASE);
    }

    private boolean rolloutIsHalted() {
        Release release = state.rollouts().release();
        return release != null && release.phase() == Release.Phase.HALTED;
    }
}
