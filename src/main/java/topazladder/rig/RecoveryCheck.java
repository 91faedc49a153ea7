package topazladder.rig;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.DoubleSupplier;
import java.util.function.IntToDoubleFunction;
import topazladder.cluster.ClusterMessage;
import topazladder.cluster.ClusterMessage.Command.Kind;

/**
 * Waits until a rig's cluster has come right again: each duty is done by somebody, and each voter votes. Starts what
 * has ended meanwhile, as an operator would.
 */
final class RecoveryCheck {
    /** Seconds until all has come right; a cluster that needs longer counts as one that does not. */
    private static final double MOST_SECONDS = 60;
    /** Seconds without an effect after which nobody does a duty; two effects' distance where that is longer. */
    private static final double IDLE = 0.5;
    private static final long LOOK_MS = 50;
    private static final long VOTER_LOOK_MS = 100;

    private final RigPlan plan;
    private final RigProcesses processes;
    private final IntToDoubleFunction lastEffect;
    private final DoubleSupplier clock;
    private final Vertx ledgersLoop;

    /** @param lastEffect of a duty, in seconds of the clock; asked on the ledgers' loop */
    RecoveryCheck(RigPlan plan, RigProcesses processes, IntToDoubleFunction lastEffect, DoubleSupplier clock,
            Vertx ledgersLoop) {
        this.plan = plan;
        this.processes = processes;
        this.lastEffect = lastEffect;
        this.clock = clock;
        this.ledgersLoop = ledgersLoop;
    }

    /** Returns what had not come right when the time was over; empty where all had. */
    List<String> await() throws Exception {
        double from = clock.getAsDouble();
        List<String> idle = idleDuties();
        while (!idle.isEmpty() && clock.getAsDouble() - from < MOST_SECONDS) {
            Thread.sleep(LOOK_MS);
            for (int i = 0; i < plan.count(); i++) {
                startDead(i);
            }
            idle = idleDuties();
        }
        // Voters that are not seated are as good as dead: the next schedule must not take that for its own doing.
        for (int i = 0; i < plan.voters() && idle.isEmpty(); i++) {
            idle = awaitVoter(i, from);
        }
        return idle;
    }

    private List<String> awaitVoter(int voter, double from) throws Exception {
        while (!votes(voter)) {
            if (clock.getAsDouble() - from > MOST_SECONDS) {
                return List.of(RigSettings.name(voter) + " does not vote: "
                        + processes.ask(voter, Kind.STATUS, "", "").text());
            }
            startDead(voter);
            Thread.sleep(VOTER_LOOK_MS);
        }
        return List.of();
    }

    private void startDead(int process) throws IOException {
        processes.startDead(process, plan.supervisor() != null);
    }

    private boolean votes(int voter) throws InterruptedException {
        ClusterMessage.CommandResponse told = processes.ask(voter, Kind.STATUS, "", "");
        return told.done() && "SEATED".equals(new JsonObject(told.text()).getJsonObject("group").getString("vote"));
    }

    private List<String> idleDuties() throws Exception {
        return OnLoop.get(ledgersLoop, () -> {
            List<String> all = new ArrayList<>();
            for (int duty = 0; duty < plan.duties(); duty++) {
                double idle = clock.getAsDouble() - lastEffect.applyAsDouble(duty);
                if (idle > Math.max(IDLE, 2 * plan.pace().touch())) {
                    all.add(String.format(Locale.ROOT, "duty-%d: nothing for %.1f s", duty, idle));
                }
            }
            return all;
        });
    }
}
