package topazladder.rig;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import topazladder.config.ServiceSettings;
import topazladder.emulator.Below;
import topazladder.emulator.PeerTrial;
import topazladder.emulator.PeerTrial.Condition;
import topazladder.emulator.PeerTrial.Outcome;
import topazladder.emulator.Runtime;
import topazladder.emulator.Traffic;
import topazladder.service.Scheduler;

/**
 * Real processes of the program on loopback, all round them played by the emulator's parts in real time: two that are
 * warm, then two that return cold at the same moment with requests of the same kind, one told by a warm one and one
 * not. All times are a quarter of the operators' brief, so that a pair takes half a minute.
 */
public final class PeerRig {
    private static final double SCALE = 0.25;
    private static final double WARMING = 12;
    private static final double MEASURED = 7.5;
    private static final double CORES = 6;
    private static final int INSTANCES = 4;

    /** Both outcomes of one run: the one that was told and the one that was not. */
    public record Pair(Outcome told, Outcome alone, int factsTaken) {
    }

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
    private final Path folder;
    private final Programs programs;

    private PeerRig(Path folder) {
        this.folder = folder;
        programs = new Programs(folder);
    }

    private static double seconds() {
        return System.nanoTime() / 1e9;
    }

    public static Pair play(Condition condition, long seed) throws Exception {
        Path folder = Files.createTempDirectory("topazladder-rig");
        PeerRig rig = new PeerRig(folder);
        try {
            return rig.run(condition, seed);
        } finally {
            rig.vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
            if (System.getProperty("keep") != null) {
                System.err.println(folder);
                return null;
            }
            Programs.delete(folder);
        }
    }

    private <T> T onLoop(Supplier<T> what) throws Exception {
        return OnLoop.get(vertx, what);
    }

    private Pair run(Condition condition, long seed) throws Exception {
        int[] ports = Programs.freePorts(3 * INSTANCES + 2);
        int index = ports[3 * INSTANCES];
        int control = ports[3 * INSTANCES + 1];
        SplittableRandom chance = new SplittableRandom(seed);
        Runtime.Shape shape = new Runtime.Shape(CORES, 1, 0.25 + 0.15 * chance.nextDouble(),
                (6 + 10 * chance.nextDouble()) * SCALE, 2);
        DoubleSupplier clock = PeerRig::seconds;
        Scheduler timers = (s, what) -> vertx.setTimer(Math.max(1, Math.round(s * 1000)), id -> what.run());
        Path key = folder.resolve("key");
        Files.writeString(key, "the key of this rig " + seed);
        List<Process> processes = new ArrayList<>();
        try {
            List<LiveRuntime> machines = new ArrayList<>();
            List<LiveCallers> callers = new ArrayList<>();
            Below below = onLoop(() -> new Below(clock, timers, 2 * INSTANCES));
            LiveIndex live = onLoop(() -> new LiveIndex(vertx, below, index));
            List<Traffic.Kind> kinds = null;
            double meanRun = 0.3 * SCALE;
            // Both that return get requests of the same seed: what one is asked the other is asked as well.
            long coldSeed = chance.nextLong();
            for (int i = 0; i < INSTANCES; i++) {
                int n = i;
                String name = List.of("warm0", "warm1", "told", "alone").get(i);
                JsonObject config = Programs.config(name, ports[3 * i], ports[3 * i + 1], index, control, CORES, SCALE);
                programs.configure(name, config);
                kinds = PeerTrial.kinds(ServiceSettings.of(config.encode(), Map.of()).terms(), SCALE);
                List<Traffic.Kind> mix = kinds;
                machines.add(onLoop(() -> new LiveRuntime(vertx, clock, timers, ports[3 * n + 1])));
                long mine = i < 2 ? chance.nextLong() : coldSeed;
                callers.add(onLoop(() -> new LiveCallers(vertx, clock, timers, name, ports[3 * n], machines.get(n),
                        callers,
                        mix, condition.load() * CORES / meanRun, new double[] {PeerTrial.HEED, PeerTrial.RETRY},
                        PeerTrial.READING * meanRun, SCALE, mine)));
            }
            List<LiveCallers> returning = List.copyOf(callers.subList(2, 4));
            onLoop(() -> callers.removeAll(returning));
            for (int i = 0; i < 2; i++) {
                int n = i;
                processes.add(start(List.of("warm0", "warm1").get(i), ports[3 * i + 2], List.of(), key));
                onLoop(() -> {
                    machines.get(n).up(shape, false);
                    callers.get(n).begin();
                    return null;
                });
            }
            Thread.sleep((long) (WARMING * 500));
            // Started well before they are up, as a machine is: the program awaits its runtime meanwhile.
            processes.add(start("told", ports[8], List.of(ports[2], ports[5]), key));
            processes.add(start("alone", ports[11], List.of(), key));
            Thread.sleep((long) (WARMING * 500 - 4000 * SCALE * 3));
            onLoop(() -> {
                below.slowDown(condition.slower());
                return null;
            });
            Thread.sleep((long) (4000 * SCALE * 3));
            double begin = onLoop(() -> {
                double now = seconds();
                machines.get(2).up(shape, true);
                machines.get(3).up(shape, true);
                returning.forEach(LiveCallers::begin);
                callers.addAll(returning);
                int windows = (int) (MEASURED / (PeerTrial.WINDOW * SCALE));
                callers.forEach(c -> c.count(now, PeerTrial.WINDOW * SCALE, windows));
                return now;
            });
            Thread.sleep((long) ((MEASURED + 1) * 1000));
            Outcome told = onLoop(() -> outcome(callers.get(2), callers.get(0)));
            Outcome alone = onLoop(() -> outcome(callers.get(3), callers.get(0)));
            onLoop(() -> {
                callers.forEach(LiveCallers::end);
                machines.forEach(LiveRuntime::close);
                live.close();
                return begin;
            });
            return new Pair(told, alone, facts(folder.resolve("told.log")));
        } finally {
            Programs.end(processes);
        }
    }

    private static int facts(Path log) throws IOException {
        return Files.readAllLines(log).stream().filter(l -> l.contains("facts taken"))
                .map(l -> l.replaceAll(".*, (\\d+) facts taken.*", "$1")).mapToInt(Integer::parseInt).sum();
    }

    private static Outcome outcome(LiveCallers cold, LiveCallers warm) {
        return new Outcome(PeerTrial.WINDOW * SCALE, cold.asked(), cold.earned(), warm.asked(), warm.earned());
    }

    private Process start(String name, int peerPort, List<Integer> peers, Path key) throws IOException {
        StringBuilder settings = new StringBuilder("machine { core_speed: 1 }\npeering {\n  listen: \"127.0.0.1:"
                + peerPort
                + "\"\n  key_file: \"" + key.getFileName() + "\"\n");
        for (int i = 0; i < peers.size(); i++) {
            settings.append("  peers { name: \"warm").append(i).append("\" address: \"127.0.0.1:").append(peers.get(i))
                    .append("\" }\n");
        }
        return programs.start(name, settings.append("}\n").toString(), 64);
    }
}
