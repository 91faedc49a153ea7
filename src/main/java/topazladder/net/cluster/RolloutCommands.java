package topazladder.net.cluster;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.function.BiConsumer;
import topazladder.cluster.ClusterMessage.Command;
import topazladder.cluster.RolloutStart;
import topazladder.config.InvalidSettingsException;
import topazladder.config.RolloutPlanFile;
import topazladder.replication.ClusterReplica;
import topazladder.rollout.Rollout;
import topazladder.rollout.RolloutCommand;
import topazladder.rollout.RolloutCommand.Proposer;
import topazladder.rollout.RolloutPlan;
import topazladder.rollout.RolloutStatus;
import topazladder.rollout.RolloutTarget;

/** Runs operators' commands on rollouts, at the group's leader. */
final class RolloutCommands {
    private final ClusterReplica replica;
    private final String controllerActivity;

    /** @param controllerActivity what the rollout controller last reported that it is doing */
    RolloutCommands(ClusterReplica replica, String controllerActivity) {
        this.replica = replica;
        this.controllerActivity = controllerActivity;
    }

    /** @param then receives whether the command was carried out, and the text of the response */
    void run(Command command, long epochMillis, BiConsumer<Boolean, String> then) {
        Rollout rollout = replica.state().rollouts().rollout();
        long id = rollout == null ? 0 : rollout.id();
        Proposer by = Proposer.operator(epochMillis);
        switch (command.kind()) {
            case RELEASE_STATUS -> then.accept(true, status().encode());
            case RELEASE_START -> start(command.text(), by, then);
            case RELEASE_HALT -> propose(
                    new RolloutCommand.Halt(by, id, command.text().isEmpty() ? "by an operator" : command.text()),
                    then);
            case RELEASE_RESUME -> propose(new RolloutCommand.Resume(by, id), then);
            default -> propose(new RolloutCommand.RollBack(by, id), then);
        }
    }

    private void propose(RolloutCommand operation, BiConsumer<Boolean, String> then) {
        replica.rollouts().propose(operation, outcome -> then.accept(outcome.isApplied(),
                outcome.isApplied() ? "done" : outcome.rejection()));
    }

    private void start(String planText, Proposer by, BiConsumer<Boolean, String> then) {
        RolloutPlan plan;
        try {
            plan = RolloutPlanFile.of(planText);
        } catch (InvalidSettingsException e) {
            then.accept(false, e.getMessage());
            return;
        }
        RolloutStart.Decision decision = RolloutStart.decide(replica, plan, by);
        if (decision.isRefused()) {
            then.accept(false, decision.refusal());
        } else {
            propose(decision.operation(), then);
        }
    }

    private JsonObject status() {
        Rollout rollout = replica.state().rollouts().rollout();
        JsonObject status =
                new JsonObject().put("leader", replica.localEndpoint().name()).put("doing", controllerActivity);
        if (rollout == null) {
            return status.put("phase", "NONE");
        }
        RolloutStatus view = replica.rollouts().status();
        JsonArray places = new JsonArray();
        for (RolloutTarget place : rollout.targets()) {
            RolloutStatus.InstanceStatus seen =
                    view.members().stream().filter(m -> m.name().equals(place.name())).findFirst().orElse(null);
            places.add(new JsonObject().put("name", place.name()).put("zone", place.zone()).put("wave", place.wave())
                    .put("stage", place.stage().name()).put("attempt", place.attempt())
                    .put("runs", seen == null || seen.load() == null ? null : seen.load().version())
                    .put("out", seen == null || seen.disruption() == null ? null : seen.disruption().phase().name())
                    .put("waits", waitReason(rollout, place, seen)));
        }
        JsonArray history = new JsonArray();
        rollout.history()
                .forEach(e -> history.add(new JsonObject().put("at", e.atMillis()).put("what", e.description())));
        return status.put("name", rollout.plan().name()).put("id", rollout.id()).put("from", rollout.plan().from())
                .put("to", rollout.plan().to()).put("back", rollout.isRollback()).put("phase", rollout.phase().name())
                .put("why", rollout.haltReason()).put("wave", rollout.wave()).put("places", places)
                .put("history", history);
    }

    /** Why an instance has not been updated yet, for operators; null where it has been. */
    private static String waitReason(Rollout rollout, RolloutTarget place, RolloutStatus.InstanceStatus seen) {
        if (place.stage() == RolloutTarget.Stage.MOVED) {
            return null;
        } else if (rollout.phase() != Rollout.Phase.RUNNING) {
            return "the rollout is " + rollout.phase();
        } else if (place.wave() > rollout.wave()) {
            return "wave " + place.wave() + " has not started";
        } else if (seen == null) {
            return "the leader does not see the instance";
        } else if (seen.blockedReason() != null) {
            return seen.blockedReason();
        }
        return seen.disruption() != null ? seen.disruption().phase().name().toLowerCase(java.util.Locale.ROOT)
                : place.stage() == RolloutTarget.Stage.LEFT ? "its turn" : "the instance is not steady";
    }
}
