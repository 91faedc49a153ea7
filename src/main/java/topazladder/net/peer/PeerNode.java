package topazladder.net.peer;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazladder.config.ExtensionSettings;
import topazladder.config.ExtensionSettings.Peering;
import topazladder.config.ServiceSettings;
import topazladder.config.ServiceSettings.Address;
import topazladder.config.SettingsReader;
import topazladder.net.cluster.ClusterNode;
import topazladder.peering.EstimateFetcher;
import topazladder.peering.EstimateFetcher.Cancel;
import topazladder.peering.EstimateFetcher.Fetch;
import topazladder.peering.EstimateFetcher.Limits;
import topazladder.peering.EstimateFetcher.Phase;
import topazladder.peering.EstimateFetcher.ScheduleTick;
import topazladder.peering.EstimateFetcher.Step;
import topazladder.peering.PeerCandidate;
import topazladder.peering.ShareLimiter;
import topazladder.request.LearnedEstimate;
import topazladder.request.RequestClass;
import topazladder.service.Counters;
import topazladder.service.Counters.Count;
import topazladder.service.InstanceExtension;
import topazladder.service.InstanceLifecycle;
import topazladder.service.RequestDispatcher;
import topazladder.warmstart.EstimateExchange;
import topazladder.warmstart.Origin;
import topazladder.warmstart.SharedEstimate;

/** Learning from running instances: asks at the start, and gives while it serves. */
public final class PeerNode implements InstanceExtension, PeerAsker.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(PeerNode.class);

    private final Vertx vertx;
    private final RequestDispatcher dispatcher;
    private final InstanceLifecycle instance;
    private final Counters counters;
    private final Peering settings;
    private final EstimateExchange learning;
    private final EstimateFetcher asking;
    private final PeerAsker asker;
    private final PeerServer server;
    private List<byte[]> keys;
    private Collection<PeerCandidate> peers;
    private long wake = -1;
    private double began;
    private boolean closed;

    /** @param hall the member of a hall that speaks over the same link, or null */
    public PeerNode(Vertx vertx, ServiceSettings terms, ExtensionSettings own, RequestDispatcher dispatcher,
            InstanceLifecycle instance,
            Counters counters, Supplier<ClusterNode> hall) {
        this.vertx = vertx;
        this.dispatcher = dispatcher;
        this.instance = instance;
        this.counters = counters;
        settings = own.peering();
        take(settings);
        // Only to differ from any process before: a clock that is wrong does no harm.
        long incarnation = System.currentTimeMillis() << 16 ^ ProcessHandle.current().pid();
        Origin here = new Origin(terms.name(), incarnation, terms.terms().admissionSettings().cores(),
                own.coreSpeed(), digest(terms.terms()));
        learning = new EstimateExchange(here, PeerNode::seconds, settings.excludedKinds());
        asking = new EstimateFetcher(terms.name(), incarnation, own.zone(),
                new Limits(settings.hedgeAfterSeconds(), settings.attemptTimeoutSeconds(), settings.maxAttempts()),
                new SplittableRandom(terms.seed() ^ incarnation));
        asker = new PeerAsker(vertx, here, settings.attemptTimeoutSeconds(), () -> keys, this);
        server = settings.listen() == null ? null : new PeerServer(vertx, learning, dispatcher::learnedEstimates,
                instance::phase, counters,
                new ShareLimiter(settings.sharesPerSecond(), settings.maxEventLoopShare()), () -> keys,
                own.cluster() == null ? null
                        : (socket, seal, greeting, reader) -> hall.get().acceptConnection(socket, seal, greeting,
                                reader));
    }

    /** Seconds of a clock that never runs backwards, as ages must not hang on one that is set. */
    static double seconds() {
        return System.nanoTime() / 1e9;
    }

    /** The same wherever the same work is done with the same limits. */
    static long digest(SettingsReader terms) {
        HashStream64 hash = Hashing.komihash5_0().hashStream();
        // Older versions hash the word "null" where the settings give none.
        hash.putString(terms.dependencyTopologyWord().orElse("null"));
        for (RequestClass o : terms.requestClasses()) {
            hash.putString(o.name()).putInt(o.idempotency().ordinal()).putDouble(o.latencyObjectiveSeconds())
                    .putDouble(o.deadlineSeconds())
                    .putDouble(o.priorityWeight()).putBoolean(o.callsDependency()).putDouble(o.degradedValueShare());
        }
        return hash.getAsLong();
    }

    /** The keys that are valid now, the one to sign with first. */
    public List<byte[]> keys() {
        return keys;
    }

    private void take(Peering p) {
        List<byte[]> valid = new ArrayList<>(List.of(p.key().bytes()));
        if (p.secondaryKey() != null) {
            valid.add(p.secondaryKey().bytes());
        }
        keys = valid;
        peers = p.peers().stream().map(peer -> new PeerCandidate(peer.name(),
                peer.address().host() + ":" + peer.address().port(), peer.zone())).toList();
    }

    @Override
    public void open() {
        if (server != null) {
            server.listen(settings.listen()).onFailure(e -> LOG.error("no peer can ask at {}:{}: {}",
                    settings.listen().host(), settings.listen().port(), e.getMessage()));
        }
        began = seconds();
        List<Step> steps = asking.start(began, peers);
        if (asking.phase() == Phase.ASKING) {
            instance.delayServing(settings.maxWaitSeconds());
        }
        carryOut(steps);
    }

    /** Keys and peers are those of now; where it listens needs a restart. */
    @Override
    public void reload(ExtensionSettings own) {
        if (own.peering() == null) {
            LOG.warn("peering can't be switched off without a restart");
            return;
        }
        take(own.peering());
        LOG.info("{} peers may be asked from now on", peers.size());
        if (asking.phase() == Phase.ASKING) {
            carryOut(asking.replacePeers(seconds(), peers));
        }
    }

    @Override
    public void close(Runnable done) {
        closed = true;
        vertx.cancelTimer(wake);
        asker.close();
        if (server != null) {
            server.close();
        }
        done.run();
    }

    private void carryOut(List<Step> steps) {
        if (closed) {
            return;
        }
        for (Step step : steps) {
            if (step instanceof Fetch ask) {
                counters.add(Count.PEERS_ASKED);
                asker.ask(ask.number(), Address.of("peer", ask.peer().address()));
            } else if (step instanceof Cancel drop) {
                asker.drop(drop.number());
            } else if (step instanceof ScheduleTick w) {
                vertx.cancelTimer(wake);
                wake = vertx.setTimer(Math.max(1, Math.round(w.seconds() * 1000)),
                        id -> carryOut(asking.tick(seconds())));
            }
        }
        if (asking.phase() == Phase.LEARNED || asking.phase() == Phase.GIVEN_UP) {
            over();
        }
    }

    /** What came is used as far as it came; what comes once the module has started is told it then. */
    private void over() {
        vertx.cancelTimer(wake);
        List<LearnedEstimate> fresh = learning.newEstimates();
        dispatcher.applyEstimates(fresh);
        if (!fresh.isEmpty() || asking.phase() == Phase.GIVEN_UP) {
            LOG.info("asking peers is over: {} in {} s, {} facts taken", asking,
                    Math.round((seconds() - began) * 1000) / 1e3, fresh.size());
        }
        instance.resumeServing();
    }

    @Override
    public void heard(int number, Collection<SharedEstimate> facts) {
        asking.partReceived(number);
        learning.receive(facts);
    }

    @Override
    public void whole(int number) {
        counters.add(Count.SHARES_RECEIVED);
        carryOut(asking.shareReceived(seconds(), number));
    }

    @Override
    public void later(int number, double comeBackIn) {
        counters.add(Count.SHARES_POSTPONED);
        carryOut(asking.postponed(seconds(), number, comeBackIn));
    }

    @Override
    public void failed(int number, String why) {
        counters.add(Count.PEERS_FAILED);
        LOG.debug("peer asked at try {} failed: {}", number, why);
        carryOut(asking.failed(seconds(), number));
    }
}
