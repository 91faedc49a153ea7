package topazladder.rig;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.NetClient;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import topazladder.cluster.ClusterMessage;
import topazladder.cluster.ClusterMessage.Command.Kind;
import topazladder.faults.EffectLedger;
import topazladder.faults.Fault;
import topazladder.faults.Links;
import topazladder.faults.Schedule;
import topazladder.net.cluster.LinkTraffic;

/**
 * A cluster of real processes under faults: each link between two of them, each direction by itself, is led through a
 * relay; the processes are stalled, killed, told to leave and started again; their duties touch ledgers that this
 * process keeps. Schedules are played one after another in one cluster; after each, all must come right again.
 */
public final class HallRig implements AutoCloseable {
    private static final double ALIVE = 0.5;
    private static final long RELAYS_LOOK_MS = 10;
    private static final long CLOSE_SECONDS = 10;
    /** A fault that lasts until it is ended by name. */
    private static final double FOR_EVER = 1e9;

    /**
     * What came of one schedule.
     *
     * @param breaks of safety, by the ledgers
     * @param stuck what had not come right
     * @param gap seconds without an effect of the checked duties, at the most
     * @param overlap seconds of effects under an earlier token behind a later one, where nobody checks
     */
    public record Outcome(List<String> breaks, List<String> stuck, double gap, long late, double overlap, long effects,
            long tokens, double quiet, List<String> happenings) {

        public boolean good() {
            return breaks.isEmpty() && stuck.isEmpty();
        }
    }

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
    /** Links and relays are this loop's: what goes between members must not wait for callers, nor they for it. */
    private final Vertx between = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
    private final Set<Relay> open = new LinkedHashSet<>(); // of the relays, those with connections
    private final Path folder;
    private final RigPlan plan;
    private final RigPorts ports;
    private final RigProcesses processes;
    private final FaultInjector injector;
    private final RigLoad load;
    private final List<Relay> relays = new ArrayList<>();
    private final double began = System.nanoTime() / 1e9;
    private final Links links;
    private final LedgerServer checked;
    private final LedgerServer unchecked;
    private final ProcessSupervisor supervisor; // null where nobody supervises
    private final Happenings happenings = new Happenings(this::now);

    public HallRig(RigPlan plan) throws Exception {
        this.plan = plan;
        folder = Files.createTempDirectory("topazladder-hall");
        ports = new RigPorts(plan.count());
        load = new RigLoad(vertx, plan, ports, this::now);
        Files.writeString(folder.resolve("key"), "the key of this hall " + plan.seed());
        SplittableRandom chance = new SplittableRandom(plan.seed());
        links = new Links(chance.split());
        RigProcesses.Listener toTickets = load.listener();
        processes = new RigProcesses(plan, ports, folder, happenings, toTickets);
        supervisor = plan.supervisor() == null ? null : new ProcessSupervisor(plan, processes, ports, chance.split(),
                happenings, toTickets, this::now);
        injector = new FaultInjector(plan, processes, roles(), between, links, happenings, this::now, toTickets);
        checked = onLoop(() -> new LedgerServer(vertx, true, began, ports.checkedLedger(), happenings::add));
        unchecked = onLoop(() -> new LedgerServer(vertx, false, began, ports.uncheckedLedger(), happenings::add));
        if (plan.relayed()) {
            OnLoop.get(between, this::openRelays);
        }
        load.openRuntimes();
        for (int i = 0; i < plan.count(); i++) {
            JsonObject config =
                    Programs.config(name(i), ports.callers(i), ports.runtime(i), ports.index(), 9, RigLoad.CORES,
                            plan.scale());
            processes.programs().configure(name(i), config);
            if (plan.load() > 0 && i >= plan.unloaded()) {
                load.addCallers(i, config, chance.nextLong());
            }
            if (plan.hall() && i < plan.voters()) {
                processes.found(i, 0);
            }
            processes.start(i);
        }
        if (plan.load() > 0) {
            load.index(true);
        }
        if (supervisor != null) {
            supervisor.start();
        }
    }

    private FaultInjector.Roles roles() {
        return new FaultInjector.Roles() {
            @Override
            public int leader() throws Exception {
                return HallRig.this.leader();
            }

            @Override
            public int holder() throws Exception {
                return HallRig.this.holder();
            }
        };
    }

    private long openRelays() {
        NetClient client = Relay.client(between);
        for (int i = 0; i < plan.count(); i++) {
            for (int j = 0; j < plan.count(); j++) {
                if (i != j) {
                    relays.add(new Relay(between, client, links, began, open, i, j, RigPorts.relayHost(i, j),
                            ports.relays(), ports.members(j)));
                }
            }
        }
        plan.apart().forEach(process -> links.begin(apart(process)));
        return between.setPeriodic(RELAYS_LOOK_MS, id -> List.copyOf(open).forEach(Relay::look));
    }

    private static Fault apart(int process) {
        return new Fault(0, Fault.Kind.ISOLATE, process, -1, FOR_EVER, 0);
    }

    /** One that was apart from its start is heard by the others from now on. */
    public void join(int process) {
        happenings.add(name(process) + " is not apart any more");
        between.runOnContext(v -> links.end(apart(process)));
    }

    /** Callers begin, on each instance that serves. */
    public void beginLoad() throws Exception {
        load.begin();
    }

    /**
     * How the cluster stands at one moment, as seen from outside; but for who leads and who is suspected, which one
     * member told.
     *
     * @param at seconds since the rig began
     * @param asked payoff of all requests so far, and earned
     * @param level that callers heard last, in the mean
     * @param up processes that run and do not stand still
     * @param held duties whose effects came within the last half second
     * @param out instances out by agreement
     * @param suspected members that one of them suspects or takes for gone
     */
    public record Sample(double at, double asked, double earned, double level, int up, int held, int out, int suspected,
            String leader) {
    }

    public Sample sample() throws Exception {
        RigLoad.Served served = onLoop(load::served);
        int held = onLoop(this::held);
        int up = 0;
        String leader = null;
        int suspected = -1;
        for (int i = 0; i < plan.count(); i++) {
            if (processes.up(i)) {
                up++;
                JsonObject status = suspected < 0 ? status(i) : null;
                if (status != null) {
                    suspected = (int) status.getJsonArray("members").stream().map(m -> (JsonObject) m)
                            .filter(m -> !m.getString("state").equals("ALIVE")).count();
                    leader = leaderIn(status);
                }
            }
        }
        int out = supervisor == null ? 0 : supervisor.outNow();
        return new Sample(now(), served.asked(), served.earned(), served.level(), up, held, out, Math.max(0, suspected),
                leader);
    }

    private int held() {
        int held = 0;
        for (int d = 0; d < plan.duties(); d++) {
            held += now() - ledger(d).lastEffect("duty-" + d) <= ALIVE ? 1 : 0;
        }
        return held;
    }

    /** All duties but the last are checked. */
    private EffectLedger ledger(int duty) {
        return (duty < plan.duties() - 1 ? checked : unchecked).ledger();
    }

    /** The most that one process holds of memory, in megabytes, and of descriptors; of those that run. */
    public double[] most() throws IOException {
        double memory = 0;
        double descriptors = 0;
        for (int i = 0; i < plan.count(); i++) {
            ProcessUsage usage = usage(i);
            memory = Math.max(memory, usage.residentMegabytes());
            descriptors = Math.max(descriptors, usage.descriptors());
        }
        return new double[] {memory, descriptors};
    }

    /** What one process uses of the machine; nothing where it has ended. */
    public ProcessUsage usage(int process) throws IOException {
        return ProcessUsage.of(processes.process(process).pid());
    }

    /** Counts what is asked and earned over the next seconds, of all instances. */
    public double[] earned(double seconds) throws Exception {
        return load.earned(seconds);
    }

    /** Seconds of a core that each process has used so far, and megabytes that it holds. */
    public double[][] usage() throws IOException {
        double[][] all = new double[plan.count()][];
        for (int i = 0; i < plan.count(); i++) {
            ProcessUsage usage = usage(i);
            all[i] = new double[] {usage.cpuSeconds(), usage.residentMegabytes()};
        }
        return all;
    }

    /** Lines of all logs so far in which the words stand. */
    public long lines(String words) throws IOException {
        return processes.linesWith(words);
    }

    /** Grants so far, of the duties that touch ledgers. */
    public long grants() throws Exception {
        return onLoop(() -> checked.ledger().tokens() + unchecked.ledger().tokens());
    }

    public Vertx vertx() {
        return vertx;
    }

    /** Where a process hears the others. */
    public int peerPort(int i) {
        return ports.members(i);
    }

    /** Where the index of all processes is, or would be. */
    public int indexPort() {
        return ports.index();
    }

    /** The index of all processes is there, or ends with all its connections; for clusters with load. */
    public void index(boolean up) throws Exception {
        load.index(up);
    }

    /** Where the key of the cluster and the folders of its voters lie. */
    Path folder() {
        return folder;
    }

    /** Hollow members for this cluster, over straight links. */
    HollowPlan hollowPlan(String prefix, int members, RigPlan.Pace pace, String duties) {
        return new HollowPlan(prefix, members, pace.heartbeat(), pace.period(), peerPorts(plan.voters()), plan.voters(),
                folder, duties);
    }

    /** The leases that processes of this cluster may hold, as lines of settings. */
    String duties() {
        return processes.settings().duties();
    }

    private List<Integer> peerPorts(int first) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < first; i++) {
            all.add(peerPort(i));
        }
        return all;
    }

    public byte[] key() throws IOException {
        return Files.readAllBytes(folder.resolve("key"));
    }

    /**
     * What an operator does where a majority's folders are lost for good: ends all voters, founds each anew, and starts
     * them.
     */
    public void foundAnew(long formed, int... lost) throws Exception {
        for (int i = 0; i < plan.voters(); i++) {
            processes.kill(i);
        }
        for (int i : lost) {
            processes.loseFolder(i);
        }
        for (int i = 0; i < plan.voters(); i++) {
            processes.found(i, formed);
        }
        for (int i = 0; i < plan.voters(); i++) {
            processes.start(i);
        }
    }

    /** Ends these, with their folders lost, and starts them again: they will ask to be taken in. */
    public void loseFolders(int... lost) throws Exception {
        for (int i : lost) {
            processes.kill(i);
            processes.loseFolder(i);
        }
        for (int i : lost) {
            processes.start(i);
        }
    }

    /** The same as an operator who has changed a file would. */
    public void reload(int i) throws Exception {
        processes.signal(i, "HUP");
    }

    public void stall(int i, boolean on) throws Exception {
        processes.stall(i, on);
    }

    /** What became of all requests so far: sent, answered, late, dropped by drains, excused. */
    public Map<String, Long> requests() throws Exception {
        return onLoop(() -> load.requests().counts());
    }

    public void kill(int i) throws Exception {
        processes.kill(i);
    }

    public void killAndStart(int i, double after) throws Exception {
        processes.kill(i);
        Thread.sleep((long) (after * 1000));
        processes.start(i);
    }

    public void leaveAndStart(int i) throws Exception {
        processes.leave(i);
        processes.awaitLeft(i);
        processes.start(i);
    }

    private static String name(int i) {
        return RigSettings.name(i);
    }

    private <T> T onLoop(Supplier<T> what) throws Exception {
        return OnLoop.get(vertx, what);
    }

    private double now() {
        return System.nanoTime() / 1e9 - began;
    }

    // ---- what members tell

    /** What a member says of itself and its cluster, or null where it does not answer. */
    public JsonObject status(int member) throws InterruptedException {
        ClusterMessage.CommandResponse told = ask(member, Kind.STATUS, "", "");
        return told.done() ? new JsonObject(told.text()) : null;
    }

    /** What the links between members have cost one, since its start; nothing where it does not answer. */
    public LinkTraffic.Totals traffic(int member) throws InterruptedException {
        JsonObject status = status(member);
        return status == null ? LinkTraffic.Totals.NONE : LinkTraffic.Totals.fromJson(status.getJsonObject("traffic"));
    }

    private static String leaderIn(JsonObject status) {
        JsonObject group = status.getJsonObject("group");
        return group == null ? status.getString("leader") : group.getString("leader");
    }

    /** As members are told; where they differ the first is as good as any. */
    public int leader() throws InterruptedException {
        for (int i = 0; i < plan.count(); i++) {
            JsonObject status = processes.up(i) ? status(i) : null;
            if (status != null) {
                String leader = leaderIn(status);
                return leader == null ? 0 : Integer.parseInt(leader.substring(1));
            }
        }
        return 0;
    }

    /** Whether a voter but that one leads, by its own word. */
    boolean anotherLeads(int than) throws InterruptedException {
        for (int i = 0; i < plan.voters(); i++) {
            JsonObject status = i == than || !processes.up(i) ? null : status(i);
            if (status != null && status.getJsonObject("group").getBoolean("leading", false)) {
                return true;
            }
        }
        return false;
    }

    /** A command straight to one process, past all relays. */
    public ClusterMessage.CommandResponse ask(int member, Kind kind, String duty, String text)
            throws InterruptedException {
        return processes.ask(member, kind, duty, text);
    }

    private int holder() throws Exception {
        String name = onLoop(() -> checked.holder("duty-0"));
        return name == null ? 0 : Integer.parseInt(name.substring(1));
    }

    // ---- releases

    /**
     * A release from one version to another while a schedule is played; what is halted goes on, or back, by an
     * operator's word, until the release is done.
     *
     * @param back whether an operator turns it in the middle
     * @return the outcome, with what was wrong with the release among what is stuck
     */
    public Outcome release(Schedule schedule, String from, String to, boolean back) throws Exception {
        ReleasePlay release = new ReleasePlay(plan, processes, happenings, this::now, from, to);
        release.start();
        if (back) {
            release.turn();
        }
        Outcome o = play(schedule);
        List<String> stuck = new ArrayList<>(o.stuck());
        stuck.addAll(release.finish());
        return onLoop(() -> {
            List<String> breaks = new ArrayList<>(o.breaks());
            breaks.addAll(supervisor.breaks());
            return new Outcome(breaks, stuck, o.gap(), o.late(), o.overlap(), o.effects(), o.tokens(), o.quiet(),
                    happenings.all());
        });
    }

    /** What runs in most places. */
    public String version() {
        return processes.version();
    }

    /** Who went as agreed so far, and how many at once at the most; by what this process saw of them. */
    public int[] outs() {
        return supervisor.wentAndMost();
    }

    // ---- schedules

    /** Plays it at twice its speed, and waits until all has come right again. */
    public Outcome play(Schedule schedule) throws Exception {
        happenings.clear();
        long lateBefore = onLoop(() -> {
            long late = unchecked.ledger().late();
            checked.ledger().measureAnew();
            unchecked.ledger().measureAnew();
            return late;
        });
        injector.play(schedule);
        double quiet = now();
        List<String> stuck =
                new RecoveryCheck(plan, processes, duty -> ledger(duty).lastEffect("duty-" + duty), this::now,
                        vertx).await();
        EffectLedger c = checked.ledger();
        EffectLedger u = unchecked.ledger();
        return onLoop(() -> {
            List<String> breaks = new ArrayList<>(c.breaks());
            breaks.addAll(u.breaks());
            breaks.addAll(load.requests().breaks());
            if (supervisor != null) {
                breaks.addAll(supervisor.breaks());
            }
            return new Outcome(breaks, stuck, c.longestGap(), u.late() - lateBefore, u.longestOverlap(),
                    c.effects() + u.effects(), c.tokens() + u.tokens(), now() - quiet, happenings.all());
        });
    }

    /** The last lines of all processes, by time; for whoever has to find out why. */
    public List<String> logs(int lines) throws IOException {
        return processes.logs(lines);
    }

    @Override
    public void close() throws Exception {
        if (supervisor != null) {
            supervisor.end();
        }
        processes.end();
        onLoop(() -> {
            load.close();
            checked.close();
            unchecked.close();
            return null;
        });
        OnLoop.get(between, () -> {
            relays.forEach(Relay::close);
            return null;
        });
        between.close().toCompletionStage().toCompletableFuture().get(CLOSE_SECONDS, TimeUnit.SECONDS);
        vertx.close().toCompletionStage().toCompletableFuture().get(CLOSE_SECONDS, TimeUnit.SECONDS);
        if (System.getProperty("keep") != null) {
            System.err.println(folder);
        } else {
            Programs.delete(folder);
        }
    }
}
