package topazladder.rig;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import topazladder.faults.Schedule;
import topazladder.net.cluster.LinkTraffic;
import topazladder.rig.ProcessUsage.ThreadKind;
import topazladder.rig.ScaleMeasurement.Role;

/**
 * A cluster at size on loopback: voters and loaded service instances as processes of the whole program, hollow members
 * in further processes. All end with it.
 */
public final class ScaleCluster implements AutoCloseable {
    private static final double LOAD_SCALE = 0.25;
    private static final double MINUTE = 60;
    private static final long DOWN_MS = 2000;
    /** Permits to go out at once: a cluster of this size is released a few at a time. */
    private static final String BUDGET = "  budgets { name: \"all\" most: 10 }\n";

    private final ScaleSettings settings;
    private final RigPlan.Pace pace = RigPlan.Pace.USUAL;
    private final SplittableRandom chance;
    private final HallRig rig;
    private final List<HollowProcess> hollow = new ArrayList<>();

    /** Starts all of it, and returns once the hollow members are started and each lease is held. */
    public ScaleCluster(ScaleSettings settings) throws Exception {
        ScaleLimits.check(settings);
        this.settings = settings;
        chance = new SplittableRandom(settings.seed());
        int processes = settings.voters() + settings.real();
        RigPlan plan = RigPlan.of(processes, settings.voters(), Collections.nCopies(processes, 1.0), settings.seed())
                .with(settings.leases(), BUDGET, "").withLoad(settings.load(), LOAD_SCALE, true, List.of())
                .withUnloaded(settings.voters()).straight(pace);
        rig = new HallRig(plan);
        try {
            rig.play(new Schedule(settings.seed(), processes, settings.voters(), plan.clocks(), List.of(), 0));
            if (settings.load() > 0) {
                rig.beginLoad();
            }
            startHollow();
        } catch (Exception | Error e) {
            close();
            throw e;
        }
    }

    private void startHollow() throws IOException {
        int left = settings.hollow();
        for (int p = 0; p < settings.hollowProcesses(); p++) {
            int count = Math.min(left, settings.eachProcess());
            left -= count;
            HollowPlan plan = rig.hollowPlan("h" + p + "x", count, pace, BUDGET + rig.duties());
            hollow.add(HollowProcess.start(plan, ScaleLimits.heapMb(settings)));
        }
        for (HollowProcess p : hollow) {
            p.awaitReady();
        }
    }

    private record ProcessReading(LinkTraffic.Totals traffic, ProcessUsage usage, int known, long committed,
            boolean leads) {
    }

    private record HollowReading(HollowSample sample, ProcessUsage usage) {
    }

    private record Reading(long nanos, List<ProcessReading> processes, List<HollowReading> hollow) {
    }

    /** Waits until it has settled, then measures over the window. */
    public ScaleMeasurement measure() throws Exception {
        Thread.sleep((long) (settings.settleSeconds() * 1000));
        Reading before = read(false);
        changeFor(settings.seconds());
        Reading after = read(false);
        // The collection would count as processor time, so it comes behind the window.
        List<HollowReading> live = new ArrayList<>();
        for (HollowProcess p : hollow) {
            live.add(new HollowReading(p.sample(true), p.usage()));
        }
        return measured(before, after, live);
    }

    private void changeFor(double seconds) throws Exception {
        long end = System.nanoTime() + (long) (seconds * 1e9);
        double every = settings.changes() > 0 ? MINUTE / settings.changes() : Double.POSITIVE_INFINITY;
        double next = every;
        long begin = System.nanoTime();
        while (System.nanoTime() < end) {
            double now = (System.nanoTime() - begin) / 1e9;
            if (now >= next) {
                next += every;
                HollowProcess p = hollow.get(chance.nextInt(hollow.size()));
                p.restart(chance.nextInt(p.plan().count()), DOWN_MS);
            }
            Thread.sleep(10);
        }
    }

    private Reading read(boolean collect) throws Exception {
        long nanos = System.nanoTime();
        List<ProcessReading> processes = new ArrayList<>();
        for (int i = 0; i < settings.voters() + settings.real(); i++) {
            JsonObject status = rig.status(i);
            if (status == null) {
                throw new IOException("n" + i + " does not tell its status");
            }
            JsonObject group = status.getJsonObject("group", new JsonObject());
            processes.add(new ProcessReading(LinkTraffic.Totals.fromJson(status.getJsonObject("traffic")), rig.usage(i),
                    status.getJsonArray("members").size() - 1, group.getLong("committed", 0L),
                    group.getBoolean("leading", false)));
        }
        List<HollowReading> readings = new ArrayList<>();
        for (HollowProcess p : hollow) {
            readings.add(new HollowReading(p.sample(collect), p.usage()));
        }
        return new Reading(nanos, processes, readings);
    }

    private ScaleMeasurement measured(Reading before, Reading after, List<HollowReading> live) throws IOException {
        double seconds = (after.nanos - before.nanos) / 1e9;
        Map<Role, List<Integer>> byRole = new EnumMap<>(Role.class);
        boolean changed = false;
        int leader = 0;
        for (int i = 0; i < after.processes.size(); i++) {
            boolean leads = after.processes.get(i).leads;
            changed |= leads != before.processes.get(i).leads;
            leader = leads ? i : leader;
            Role role = leads ? Role.LEADER : i < settings.voters() ? Role.VOTER : Role.MEMBER;
            byRole.computeIfAbsent(role, r -> new ArrayList<>()).add(i);
        }
        Map<Role, RoleCost> costs = new EnumMap<>(Role.class);
        byRole.forEach((role, who) -> costs.put(role, costOf(who, before, after, seconds)));
        HollowSample end = HollowSample.NONE;
        for (HollowReading r : live) {
            end = end.plus(r.sample);
        }
        if (!hollow.isEmpty()) {
            costs.put(Role.HOLLOW_MEMBER, costOfHollow(before, after, live, seconds));
        }
        double entries = (after.processes.get(leader).committed - before.processes.get(leader).committed)
                * MINUTE / seconds;
        return new ScaleMeasurement(settings, seconds, costs, end.answered() / Math.max(1.0, end.members()),
                end.notAlive(), entries, size(rig.folder().resolve("n" + leader + ".folder")), changed);
    }

    private static RoleCost costOf(List<Integer> who, Reading before, Reading after, double seconds) {
        LinkTraffic.Totals traffic = LinkTraffic.Totals.NONE;
        double cpu = 0;
        double work = 0;
        double megabytes = 0;
        double descriptors = 0;
        double known = 0;
        for (int i : who) {
            ProcessReading from = before.processes.get(i);
            ProcessReading to = after.processes.get(i);
            traffic = traffic.plus(to.traffic.minus(from.traffic));
            cpu += to.usage.cpuSeconds() - from.usage.cpuSeconds();
            work += to.usage.workSeconds() - from.usage.workSeconds();
            megabytes += to.usage.residentMegabytes();
            descriptors += to.usage.descriptors();
            known += to.known;
        }
        return RoleCost.of(who.size(), seconds, traffic, cpu, work, megabytes, 0, descriptors, known);
    }

    private static RoleCost costOfHollow(Reading before, Reading after, List<HollowReading> live, double seconds) {
        HollowSample sum = HollowSample.NONE;
        LinkTraffic.Totals traffic = LinkTraffic.Totals.NONE;
        double cpu = 0;
        double work = 0;
        double megabytes = 0;
        double descriptors = 0;
        for (int p = 0; p < live.size(); p++) {
            HollowReading from = before.hollow.get(p);
            HollowReading to = after.hollow.get(p);
            sum = sum.plus(live.get(p).sample);
            traffic = traffic.plus(to.sample.traffic().minus(from.sample.traffic()));
            cpu += to.usage.cpuSeconds() - from.usage.cpuSeconds();
            work += to.usage.threadSeconds().getOrDefault(ThreadKind.EVENT_LOOP, 0.0)
                    - from.usage.threadSeconds().getOrDefault(ThreadKind.EVENT_LOOP, 0.0);
            megabytes += to.usage.residentMegabytes();
            descriptors += to.usage.descriptors();
        }
        return RoleCost.of(sum.members(), seconds, traffic, cpu, work, megabytes, sum.heapBytes(), descriptors,
                sum.known());
    }

    private static long size(Path folder) throws IOException {
        if (!Files.exists(folder)) {
            return 0;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            long bytes = 0;
            for (Path each : (Iterable<Path>) files.filter(Files::isRegularFile)::iterator) {
                bytes += Files.size(each);
            }
            return bytes;
        }
    }

    // ---- failures

    /**
     * What came of members that ended without a word.
     *
     * @param gone how many
     * @param halfKnow seconds until half of the hollow members left knew of all of them; NaN where it took too long
     * @param allKnow seconds until all did; NaN likewise
     * @param falseNotAlive entries of others' tables that wrongly said suspected or dead, at the end
     * @param bytesOut a second and member over that time, sent by hollow members
     */
    public record FailureResult(int gone, double halfKnow, double allKnow, long falseNotAlive, double bytesOut) {
    }

    /** Ends so many hollow members of the first processes without a word, and waits until the others know. */
    public FailureResult crash(int members, double mostSeconds) throws Exception {
        LinkTraffic.Totals before = all().traffic();
        long begin = System.nanoTime();
        List<String> names = crashFirst(members);
        double half = Double.NaN;
        double allKnow = Double.NaN;
        while (Double.isNaN(allKnow) && (System.nanoTime() - begin) / 1e9 < mostSeconds) {
            int know = 0;
            for (HollowProcess p : hollow) {
                know += p.knowToBeGone(names);
            }
            double now = (System.nanoTime() - begin) / 1e9;
            int left = settings.hollow() - members;
            half = Double.isNaN(half) && 2 * know >= left ? now : half;
            allKnow = know >= left ? now : allKnow;
            Thread.sleep(100);
        }
        double seconds = (System.nanoTime() - begin) / 1e9;
        HollowSample after = all();
        long wrong = Math.max(0, after.notAlive() - (long) members * after.members());
        return new FailureResult(members, half, allKnow, wrong,
                after.traffic().minus(before).bytesSent() / seconds / Math.max(1, after.members()));
    }

    private List<String> crashFirst(int members) throws IOException {
        List<String> names = new ArrayList<>();
        for (HollowProcess p : hollow) {
            int here = Math.min(members - names.size(), p.plan().count());
            if (here > 0) {
                p.stop(0, here, false);
                for (int i = 0; i < here; i++) {
                    names.add(p.plan().prefix() + i);
                }
            }
        }
        return names;
    }

    /**
     * Ends the leader's process without a word.
     *
     * @return seconds until another voter led; NaN where it took too long
     */
    public double crashLeader(double mostSeconds) throws Exception {
        int leader = rig.leader();
        long begin = System.nanoTime();
        rig.kill(leader);
        while ((System.nanoTime() - begin) / 1e9 < mostSeconds) {
            if (rig.anotherLeads(leader)) {
                return (System.nanoTime() - begin) / 1e9;
            }
            Thread.sleep(200);
        }
        return Double.NaN;
    }

    private HollowSample all() throws IOException {
        HollowSample all = HollowSample.NONE;
        for (HollowProcess p : hollow) {
            all = all.plus(p.sample(false));
        }
        return all;
    }

    @Override
    public void close() throws Exception {
        for (HollowProcess p : hollow) {
            p.close();
        }
        rig.close();
    }
}
