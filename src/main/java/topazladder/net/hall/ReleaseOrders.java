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

/** Operators' words on releases, at the group's leader. */
final class ReleaseOrders {
    private final ClusterReplica replica;
    private final String doing;

    /** @param doing what the conductor says that it does */
    ReleaseOrders(ClusterReplica replica, String doing) {
        this.replica = replica;
        this.doing = doing;
    }

    void take(Command c, long now, BiConsumer<Boolean, String> then) {
        Release r = replica.state().rollouts().release();
        long id = r == null ? 0 : r.id();
        By by = By.operator(now);
        switch (c.kind()) {
            case RELEASE_STATUS -> then.accept(true, status().encode());
            case RELEASE_START -> start(c.text(), by, then);
            case RELEASE_HALT -> propose(new ReleaseOp.Halt(by, id, c.text().isEmpty() ? "by an operator" : c.text()),
                    then);
            case RELEASE_RESUME -> propose(new ReleaseOp.Resume(by, id), then);
            default -> propose(new ReleaseOp.Back(by, id), then);
        }
    }

    private void propose(ReleaseOp op, BiConsumer<Boolean, String> then) {
        replica.rollouts().propose(op, o -> then.accept(o.done(), o.done() ? "done" : o.why()));
    }

    private void start(String text, By by, BiConsumer<Boolean, String> then) {
        Plan plan;
        try {
            plan = RolloutPlanFile.of(text);
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
        Release r = replica.state().rollouts().release();
        JsonObject o = new JsonObject().put("leader", replica.here().name()).put("doing", doing);
        if (r == null) {
            return o.put("phase", "NONE");
        }
        View v = replica.rollouts().view();
        JsonArray places = new JsonArray();
        for (Place p : r.places()) {
            View.Sight s = v.members().stream().filter(m -> m.name().equals(p.name())).findFirst().orElse(null);
            places.add(new JsonObject().put("name", p.name()).put("zone", p.zone()).put("wave", p.wave())
                    .put("stage", p.stage().name()).put("attempt", p.attempt())
                    .put("runs", s == null || s.serving() == null ? null : s.serving().version())
                    .put("out", s == null || s.out() == null ? null : s.out().phase().name())
                    .put("waits", waits(r, p, s)));
        }
        JsonArray history = new JsonArray();
        r.history().forEach(e -> history.add(new JsonObject().put("at", e.atMillis()).put("what", e.what())));
        return o.put("name", r.plan().name()).put("id", r.id()).put("from", r.plan().from()).put("to", r.plan().to())
                .put("back", r.back()).put("phase", r.phase().name()).put("why", r.why()).put("wave", r.wave())
                .put("places", places).put("history", history);
    }

    /** Why a place has not moved, in words. */
    private static String waits(Release r, Place p, View.Sight s) {
        if (p.stage() == Place.Stage.MOVED) {
            return null;
        } else if (r.phase() != Release.Phase.RUNNING) {
            return "the release is " + r.phase();
        } else if (p.wave() > r.wave()) {
            return "wave " + p.wave() + " has not begun";
        } else if (s == null) {
            return "it is not seen";
        } else if (s.waits() != null) {
            return s.waits();
        }
        return s.out() != null ? s.out().phase().name().toLowerCase(java.util.Locale.ROOT)
                : p.stage() == Place.Stage.LEFT ? "its turn" : "it is not steady";
    }
}
