package topazladder.rig;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import topazladder.config.ServiceSettings;
import topazladder.emulator.Below;
import topazladder.emulator.PeerTrial;
import topazladder.emulator.Runtime;
import topazladder.emulator.Traffic;
import topazladder.faults.RequestLedger;
import topazladder.service.Scheduler;

/**
 * What stands round a rig's processes: the runtime of each, its callers where there is load, the index of all, and the
 * ledger of what became of each request. All of it is the event loop's.
 */
final class RigLoad {
    static final double CORES = 6;
    private static final double RUN = 0.3;
    private static final double HEED = 0.8;
    private static final double RETRY = 0.5;
    private static final double READING = 0.01;
    private static final long SWEEP_MS = 500;
    /** Longest that a request may take, in seconds of the operators' brief. */
    private static final double LONGEST = 4.6;

    private final Vertx vertx;
    private final RigPlan plan;
    private final RigPorts ports;
    private final DoubleSupplier sinceStart;
    private final RequestLedger requests;
    private final List<LiveRuntime> runtimes = new ArrayList<>();
    private final List<LiveCallers> callers = new ArrayList<>();
    private LiveIndex index;

    /** @param sinceStart seconds since the rig began */
    RigLoad(Vertx vertx, RigPlan plan, RigPorts ports, DoubleSupplier sinceStart) {
        this.vertx = vertx;
        this.plan = plan;
        this.ports = ports;
        this.sinceStart = sinceStart;
        requests = new RequestLedger(plan.count());
    }

    /** Payoff of all requests so far, what of it was earned, and the mean level that callers heard last. */
    record Served(double asked, double earned, double level) {
    }

    /** Tells the ledger of requests what becomes of processes; from any thread. */
    RigProcesses.Listener listener() {
        return new RigProcesses.Listener() {
            @Override
            public void stalled(int process, boolean still) {
                vertx.runOnContext(v -> requests.stands(process, System.nanoTime() / 1e9, still));
            }

            @Override
            public void ended(int process, boolean inOrder) {
                vertx.runOnContext(v -> requests.ended(process, inOrder));
            }

            @Override
            public void forgot(int process) {
                vertx.runOnContext(v -> requests.forgets(process));
            }
        };
    }

    private static DoubleSupplier clock() {
        return () -> System.nanoTime() / 1e9;
    }

    private Scheduler timers() {
        return (s, what) -> vertx.setTimer(Math.max(1, Math.round(s * 1000)), id -> what.run());
    }

    void openRuntimes() throws Exception {
        OnLoop.get(vertx, () -> {
            for (int i = 0; i < plan.count(); i++) {
                openRuntime(i);
            }
            return null;
        });
    }

    private void openRuntime(int process) {
        LiveRuntime runtime = new LiveRuntime(vertx, clock(), timers(), ports.runtime(process));
        runtime.up(new Runtime.Shape(CORES, 1, 1, 1, 2), false);
        runtime.whenRan((fingerprint, ref) -> requests.ran(process, sinceStart.getAsDouble(), fingerprint, ref));
        runtimes.add(runtime);
    }

    /** Callers for one process, who wait until {@link #begin}. */
    void addCallers(int process, JsonObject config, long seed) throws Exception {
        List<Traffic.Kind> kinds = PeerTrial.kinds(ServiceSettings.of(config.encode(), Map.of()).terms(), plan.scale());
        double rate = plan.load() * CORES / (RUN * plan.scale());
        callers.add(OnLoop.get(vertx, () -> new LiveCallers(vertx, clock(), timers(), RigSettings.name(process),
                ports.callers(process), runtimes.get(process), callers, kinds, rate, new double[] {HEED, RETRY},
                READING * RUN * plan.scale(), plan.scale(), seed)));
    }

    void begin() throws Exception {
        OnLoop.get(vertx, () -> {
            for (int i = 0; i < callers.size(); i++) {
                callers.get(i).tellAll(requests, i + plan.unloaded());
                callers.get(i).begin();
            }
            return vertx.setPeriodic(SWEEP_MS, id -> callers.forEach(LiveCallers::sweep));
        });
    }

    /** The index of all processes is there, or ends with all its connections. */
    void index(boolean up) throws Exception {
        OnLoop.get(vertx, () -> {
            if (index != null) {
                index.close();
            }
            index = up ? new LiveIndex(vertx, new Below(clock(), timers(), 2 * plan.count()), ports.index()) : null;
            return null;
        });
    }

    /** To be asked on the loop. */
    Served served() {
        double asked = 0;
        double earned = 0;
        double level = 0;
        for (LiveCallers c : callers) {
            asked += c.sinceStart()[0];
            earned += c.sinceStart()[1];
            level += c.level() / callers.size();
        }
        return new Served(asked, earned, level);
    }

    /** Counts what is asked and earned over the next seconds, of all instances. */
    double[] earned(double seconds) throws Exception {
        OnLoop.get(vertx, () -> {
            double from = System.nanoTime() / 1e9;
            callers.forEach(c -> c.count(from, seconds, 1));
            return null;
        });
        Thread.sleep((long) ((seconds + LONGEST * plan.scale()) * 1000));
        return OnLoop.get(vertx, () -> new double[] {callers.stream().mapToDouble(c -> c.asked()[0]).sum(),
                callers.stream().mapToDouble(c -> c.earned()[0]).sum()});
    }

    /** To be asked on the loop. */
    RequestLedger requests() {
        return requests;
    }

    /** To be called on the loop. */
    void close() {
        callers.forEach(LiveCallers::end);
        if (index != null) {
            index.close();
        }
        runtimes.forEach(LiveRuntime::close);
    }
}
