package topazladder.rig;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.json.JsonObject;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import topazladder.config.ExtensionSettings;
import topazladder.config.ExtensionSettingsFile;
import topazladder.config.ServiceSettings;
import topazladder.config.ServiceSettings.Address;
import topazladder.disruption.ThroughputMeter;
import topazladder.membership.MemberStatus;
import topazladder.net.cluster.ClusterNode;
import topazladder.net.cluster.LinkTraffic;
import topazladder.net.peer.PeerServer;
import topazladder.peering.ShareLimiter;
import topazladder.service.Counters;
import topazladder.service.DependencyCircuitBreaker;
import topazladder.service.InstanceLifecycle.Phase;
import topazladder.warmstart.EstimateExchange;
import topazladder.warmstart.Origin;

/**
 * Hollow members of a cluster in this process: the program's own membership, lease and link code on real sockets on
 * loopback, each with its own name, links, clock and counters, but with no runtime, no callers and no requests. They do
 * not vote. Several share an event loop.
 */
public final class HollowMembers implements AutoCloseable {
    private static final double CORES = 1;
    /** One would be the bottleneck of several hundred. */
    private static final int LOOPS = 4;
    /** Between two starts: all at once would be a rush on the seeds that no installation has. */
    private static final long APART_MS = 10;
    private static final double ANSWERED_WITHIN = 30;

    private final HollowPlan plan;
    private final byte[] key;
    private final List<Vertx> loops = new ArrayList<>();
    private final List<Hollow> members = new ArrayList<>();

    /** One member; all but the fields that are set here is its loop's. */
    private final class Hollow {
        private final Vertx vertx;
        private final ServiceSettings terms;
        private final ExtensionSettings own;
        private ClusterNode node; // null while it is down
        private PeerServer server;
        private LinkTraffic.Totals before = LinkTraffic.Totals.NONE; // of its earlier lives

        Hollow(int number, int port) {
            vertx = loops.get(number % LOOPS);
            JsonObject config = Programs.config(plan.prefix() + number, port, port, port, 9, CORES, 1);
            terms = ServiceSettings.of(config.encode(), Map.of());
            own = ExtensionSettingsFile.of(plan.settings(port), plan.folder());
        }

        private void start() {
            Counters counters = new Counters();
            node = new ClusterNode(vertx, terms, own, () -> Phase.SERVING, counters, () -> List.of(key),
                    notice -> restart(Math.round(notice * 1000)), () -> new ThroughputMeter.Totals(0, 0, 0),
                    queue -> null,
                    () -> null, new DependencyCircuitBreaker(new SplittableRandom(1)));
            server = new PeerServer(vertx, new EstimateExchange(new Origin(terms.name(), 1, CORES, 1, 0),
                    () -> System.nanoTime() / 1e9, List.of()), List::of, () -> Phase.SERVING, counters,
                    new ShareLimiter(1, 0.01), () -> List.of(key), node::acceptConnection);
            server.listen(new Address("127.0.0.1", own.peering().listen().port()));
            node.open();
        }

        /** Ends, in order or without a word. */
        private void stop(boolean inOrder) {
            if (node != null) {
                ClusterNode ended = node;
                node = null;
                if (inOrder) {
                    ended.startShutdown();
                    ended.close(() -> {});
                } else {
                    ended.abort();
                }
                before = before.plus(ended.traffic());
                server.close();
            }
        }

        /** Leaves, and comes back as another life of the name. */
        private void restart(long downMs) {
            stop(true);
            vertx.setTimer(Math.max(1, downMs), id -> {
                if (node == null) {
                    start();
                }
            });
        }

        private HollowSample sample(double since) {
            if (node == null) {
                return new HollowSample(0, 0, 0, 0, before, 0);
            }
            long notAlive = node.member().membership().otherMembers().stream()
                    .filter(s -> s.state() != MemberStatus.State.ALIVE).count();
            return new HollowSample(1, node.member().lastResponseAt() > since ? 1 : 0,
                    node.member().membership().otherMembers().size(), notAlive, before.plus(node.traffic()), 0);
        }

        private boolean knowsToBeGone(String name) {
            MemberStatus s = node.member().membership().member(name);
            return s == null || !s.isPresent();
        }
    }

    /** Starts all, some time apart. */
    public HollowMembers(HollowPlan plan) throws Exception {
        this.plan = plan;
        key = java.nio.file.Files.readAllBytes(plan.folder().resolve("key"));
        int[] ports = Programs.freePorts(plan.count());
        for (int l = 0; l < LOOPS; l++) {
            loops.add(Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1)));
        }
        for (int i = 0; i < plan.count(); i++) {
            Hollow h = new Hollow(i, ports[i]);
            members.add(h);
            Thread.sleep(APART_MS);
            onLoop(h, h::start);
        }
    }

    private static void onLoop(Hollow h, Runnable what) throws Exception {
        OnLoop.get(h.vertx, () -> {
            what.run();
            return null;
        });
    }

    /** @param collect whether the heap is collected first, so that what it says is what lives */
    public HollowSample sample(boolean collect) throws Exception {
        double since = System.nanoTime() / 1e9 - ANSWERED_WITHIN;
        HollowSample all = HollowSample.NONE;
        for (Hollow h : members) {
            all = all.plus(OnLoop.get(h.vertx, () -> h.sample(since)));
        }
        if (collect) {
            System.gc();
        }
        return all.plus(new HollowSample(0, 0, 0, 0, LinkTraffic.Totals.NONE,
                ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed()));
    }

    /** These end, without a word where it is not in order. */
    public void stop(int from, int count, boolean inOrder) throws Exception {
        for (Hollow h : members.subList(from, Math.min(members.size(), from + count))) {
            onLoop(h, () -> h.stop(inOrder));
        }
    }

    /** This one leaves and comes back. */
    public void restart(int which, long downMs) throws Exception {
        Hollow h = members.get(which);
        onLoop(h, () -> h.restart(downMs));
    }

    /** How many of those that run know of all these that they are gone. */
    public int knowToBeGone(List<String> names) throws Exception {
        int know = 0;
        for (Hollow h : members) {
            know += OnLoop.get(h.vertx, () -> h.node != null && names.stream().allMatch(h::knowsToBeGone)) ? 1 : 0;
        }
        return know;
    }

    /** How many a leader has answered since, by the machine's clock. */
    long answeredSince(double seconds) throws Exception {
        long answered = 0;
        for (Hollow h : members) {
            answered += OnLoop.get(h.vertx, () -> h.node != null && h.node.member().lastResponseAt() > seconds) ? 1 : 0;
        }
        return answered;
    }

    /** Those that no leader has answered since, with whom each would ask now. */
    List<String> unanswered(double seconds) throws Exception {
        List<String> all = new ArrayList<>();
        for (Hollow h : members) {
            String told = OnLoop.get(h.vertx, () -> h.node == null || h.node.member().lastResponseAt() > seconds ? null
                    : h.node.describe());
            if (told != null) {
                all.add(told);
            }
        }
        return all;
    }

    @Override
    public void close() throws Exception {
        for (Hollow h : members) {
            onLoop(h, () -> h.stop(true));
        }
        for (Vertx loop : loops) {
            loop.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
        }
    }
}
