package topazladder.rig;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;
import topazladder.cluster.ClusterMessage;
import topazladder.cluster.ClusterMessage.Command.Kind;

/** An operator who takes a rig's cluster from one version to another, and what was wrong with it in the end. */
final class ReleasePlay {
    /** Seconds within which a release has to start. */
    private static final double MOST_START = 60;
    /** Seconds within which a release under faults has to come to an end, operators' help included. */
    private static final double MOST_RELEASE = 240;
    private static final long LOOK_MS = 300;
    private static final long BEFORE_TURN_MS = 3000;

    private final RigPlan plan;
    private final RigProcesses processes;
    private final Happenings happenings;
    private final DoubleSupplier clock;
    private final String from;
    private final String to;
    private final double begun;

    ReleasePlay(RigPlan plan, RigProcesses processes, Happenings happenings, DoubleSupplier clock, String from,
            String to) {
        this.plan = plan;
        this.processes = processes;
        this.happenings = happenings;
        this.clock = clock;
        this.from = from;
        this.to = to;
        begun = clock.getAsDouble();
    }

    void start() throws InterruptedException {
        String text = "name: \"" + to + "\" from { name: \"" + from + "\" } to { name: \"" + to + "\" }\n"
                + "waves { most: 1 soak: 4 } waves { soak: 1 }\npatience: 25 tries: 4 most_out: " + plan.count() + "\n";
        int asked = plan.count() - 1;
        while (plan.apart().contains(asked)) {
            asked--;
        }
        String said = "";
        while (clock.getAsDouble() - begun < MOST_START) {
            ClusterMessage.CommandResponse told = processes.ask(asked, Kind.RELEASE_START, "", text);
            said = told.text();
            if (told.done() || said.contains("under way")) {
                break;
            }
            Thread.sleep(LOOK_MS);
        }
        happenings.add("the release to " + to + ": " + said);
    }

    /** Back to where it came from, after a moment. */
    void turn() throws InterruptedException {
        Thread.sleep(BEFORE_TURN_MS);
        happenings.add("back: " + processes.ask(0, Kind.RELEASE_BACK, "", "").text());
    }

    /** Has what is halted go on until the release is done or its time is over; returns what is wrong then. */
    List<String> finish() throws Exception {
        JsonObject status = new JsonObject();
        while (clock.getAsDouble() - begun < MOST_RELEASE) {
            ClusterMessage.CommandResponse told = processes.ask(0, Kind.RELEASE_STATUS, "", "");
            status = told.done() ? new JsonObject(told.text()) : status;
            if ("DONE".equals(status.getString("phase"))) {
                break;
            }
            if ("HALTED".equals(status.getString("phase"))) {
                happenings.add("halted: " + status.getString("why"));
                processes.ask(0, Kind.RELEASE_RESUME, "", "");
            }
            for (int i = 0; i < plan.count(); i++) {
                processes.startDead(i, true);
            }
            Thread.sleep(LOOK_MS);
        }
        return wrong(status);
    }

    private List<String> wrong(JsonObject status) {
        String target = Boolean.TRUE.equals(status.getBoolean("back")) ? from : to;
        List<String> wrong = new ArrayList<>();
        if (!"DONE".equals(status.getString("phase"))) {
            status.remove("history");
            wrong.add("the release is " + status.encode());
            return wrong;
        }
        for (int i = 0; i < plan.count(); i++) {
            if (!processes.version(i).equals(target)) {
                wrong.add(RigSettings.name(i) + " was started as " + processes.version(i) + ", and the release to "
                        + target + " is done; it was about " + places(status));
            }
        }
        return wrong;
    }

    private static List<String> places(JsonObject status) {
        JsonArray places = status.getJsonArray("places", new JsonArray());
        return places.stream().map(p -> (JsonObject) p).map(p -> p.getString("name") + " " + p.getString("stage"))
                .toList();
    }
}
