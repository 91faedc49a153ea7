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
import topazladder.rollout.Rollout;

/**
 * Disruptions at the leader: proposes the commands that the {@link DisruptionController} decides on, and tells members
 * that they may shut down.
 */
public final class DisruptionReplication implements LeaderService {
    /** Number of heartbeats for which a new leader observes the members before it grants a disruption. */
    private static final double OBSERVATION_HEARTBEATS = 20;

    /** Sends messages to members; any of them may be lost. */
    public interface Messages {

        /** Tells a member that it may shut down under that token. The member asks for its {@link #shutDown} first. */
        void grantShutdown(String member, long token);

        /** Tells a member to shut down now and to restart in that version; empty to keep its version. */
        void shutDown(String member, long token, String version);
    }

    private final ReplicatedLog log;
    private final ClusterState state;
    private final DisruptionController controller;
    private final double observationSeconds;
    private final Consumer<Set<String>> returningMembers;
    private final Messages messages;
    private List<DisruptionBudget> budgets;
    private Map<DisruptionTarget, Observation> observations = Map.of();

    /** @param returningMembers receives, at each tick, the names of the members that are returning to service */
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

    /** The controller that decides on disruptions. */
    public DisruptionController controller() {
        return controller;
    }

    /** Records how this voter observes the instances; used only while it leads. */
    public void membersObserved(Map<DisruptionTarget, Observation> newObservations) {
        observations = Map.copyOf(newObservations);
        controller.membersObserved(log.now(), observations);
    }

    Map<DisruptionTarget, Observation> observations() {
        return observations;
    }

    /** Records a member's recent load, and the schema version that it reads. */
    public void loadReported(MemberIdentity from, int schema, LoadReport load, boolean steady) {
        controller.loadReported(log.now(), instanceTarget(from.name()), from.incarnation(), schema, load, steady);
    }

    /** The instance of that name, with its zone if it has been observed. */
    public DisruptionTarget instanceTarget(String name) {
        DisruptionTarget withoutZone = new DisruptionTarget(DisruptionTarget.Kind.INSTANCE, name, "");
        return observations.keySet().stream().filter(withoutZone::equals).findFirst().orElse(withoutZone);
    }

    /** Handles a member's request to shut down under its grant. It is told to do so once that is committed. */
    public void shutdownRequested(MemberIdentity from, long token) {
        if (!log.isLeader()) {
            return;
        }
        DisruptionTarget instance = instanceTarget(from.name());
        propose(new DisruptionCommand.Leaving(instance, token, from.incarnation(), ""), outcome -> {
            if (outcome.isApplied()) {
                Disruption disruption = state.disruptions().get(instanceTarget(from.name()));
                messages.shutDown(from.name(), token, disruption == null ? ""
                        : state.rollouts().versionFor(from.name(), disruption.requestId()));
            }
        });
    }

    /** Records that a member shuts down without a grant, as something outside the cluster has told it to. */
    public void shutdownReported(MemberIdentity from, String requestedBy) {
        Disruption disruption = state.disruptions().get(instanceTarget(from.name()));
        boolean alreadyRecorded = disruption != null && disruption.phase() == Disruption.Phase.GONE
                && disruption.incarnation() == from.incarnation();
        if (log.isLeader() && !alreadyRecorded) {
            propose(new DisruptionCommand.Leaving(instanceTarget(from.name()), 0, from.incarnation(), requestedBy),
                    outcome -> {});
        }
    }

    /** Proposes an operator's or a member's command, and reports its outcome, or that the outcome is unknown. */
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
        sendShutdownGrants();
    }

    /** Sent at every tick until the member has shut down, as this message or the member's request may be lost. */
    private void sendShutdownGrants() {
        for (Disruption disruption : state.disruptions().disruptions()) {
            boolean awaitsShutdown = disruption.phase() == Disruption.Phase.GRANTED || isLeavingButRunning(disruption);
            if (awaitsShutdown && disruption.target().kind() == DisruptionTarget.Kind.INSTANCE) {
                messages.grantShutdown(disruption.target().name(), disruption.token());
            }
        }
    }

    /**
     * Whether a member's shutdown is committed but the member still runs, as the leader that committed it may have
     * failed before it told the member. False while the rollout that it shuts down for is halted.
     */
    private boolean isLeavingButRunning(Disruption disruption) {
        Observation observation = observations.get(disruption.target());
        return disruption.phase() == Disruption.Phase.GONE && disruption.reason().needsGrant()
                && observation != null && observation.incarnation() == disruption.incarnation()
                && observation.health() != Health.GONE
                && !(isRolloutHalted() && disruption.reason() == Disruption.Reason.RELEASE);
    }

    private boolean isRolloutHalted() {
        Rollout release = state.rollouts().rollout();
        return release != null && release.phase() == Rollout.Phase.HALTED;
    }
}
