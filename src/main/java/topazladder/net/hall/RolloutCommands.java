package topazladder.net.hall;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.function.BiConsumer;
import topazladder.config.InvalidSettingsException;
import topazladder.config.RolloutPlanFile;
import topazladder.hall.ReleaseStart;
import topazladder.hall.Saying.Command;
import topazladder.release.Place;
import topazladder.release.Plan;
import topazladder.release.Release;
import topazladder.release.ReleaseOp;
import topazladder.release.ReleaseOp.By;
import topazladder.release.View;
import topazladder.replication.ClusterReplica;

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
        Release rollout = replica.state().rollouts().release();
        long id = rollout == null ? 0 : rollout.id();
        By by = By.operator(epochMillis);
        switch (command.kind()) {
            case RELEASE_STATUS -> then.accept(true, status().encode());
            case RELEASE_START -> start(command.text(), by, then);
            case RELEASE_HALT -> propose(
                    new ReleaseOp.Halt(by, id, command.text().isEmpty() ? "by an operator" : command.text()), then);
            case RELEASE_RESUME -> propose(new ReleaseOp.Resume(by, id), then);
            default -> propose(new ReleaseOp.Back(by, id), then);
        }
    }

    private void propose(ReleaseOp operation, BiConsumer<Boolean, String> then) {
        replica.rollouts().propose(operation, outcome -> then.accept(outcome.done(),
                outcome.done() ? "done" : outcome.why()));
    }

    private void start(String planText, By by, BiConsumer<Boolean, String> then) {
        Plan plan;
        try {
            plan = RolloutPlanFile.of(planText);
        } catch (InvalidSettingsException e) {
            then.accept(false, e.getMessage());
            return;
        }
        ReleaseStart.Decision decision = ReleaseStart.decide(replica, plan, by);
        if (decision.refused()) {
            then.accept(false, decision.refusal());
        } else {
            propose(decision.operation(), then);
        }
    }

    private JsonObject status() {
        Release rollout = replica.state().rollouts().release();
        JsonObject status = new JsonObject().put("leader", replica.here().name()).put("doing", controllerActivity);
        if (rollout == null) {
            return status.put("phase", "NONE");
        }
        View view = replica.rollouts().view();
        JsonArray places = new JsonArray();
        for (Place place : rollout.places()) {
            View.Sight seen =
                    view.members().stream().filter(m -> m.name().equals(place.name())).findFirst().orElse(null);
            places.add(new JsonObject().put("name", place.name()).put("zone", place.zone()).put("wave", place.wave())
                    .put("stage", place.stage().name()).put("attempt", place.attempt())
                    .put("runs", seen == null || seen.serving() == null ? null : seen.serving().version())
                    .put("out", seen == null || seen.out() == null ? null : seen.out().phase().name())
                    .put("waits", waitReason(rollout, place, seen)));
        }
        JsonArray history = new JsonArray();
        rollout.history().forEach(e -> history.add(new JsonObject().put("at", e.atMillis()).put("what", e.what())));
        return status.put("name", rollout.plan().name()).put("id", rollout.id()).put("from", rollout.plan().from())
                .put("to", rollout.plan().to()).put("back", rollout.back()).put("phase", rollout.phase().name())
                .put("why", rollout.why()).put("wave", rollout.wave()).put("places", places).put("history", history);
    }

    /** Why an instance has not been updated yet, for operators; null where it has been. */
    private static String waitReason(Release rollout, Place place, View.Sight seen) {
        if (place.stage() == Place.Stage.MOVED) {
            return null;
        } else if (rollout.phase() != Release.Phase.RUNNING) {
            return "the rollout is " + rollout.phase();
        } else if (place.wave() > rollout.wave()) {
            return "wave " + place.wave() + " has not started";
        } else if (seen == null) {
            return "the leader does not see the instance";
        } else if (seen.waits() != null) {
            return seen.waits();
        }
        return seen.out() != null ? seen.out().phase().name().toLowerCase(java.util.Locale.ROOT)
                : place.stage() == Place.Stage.LEFT ? "its turn" : "the instance is not steady";
    }
}
