package topazladder.net;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.time.Clock;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.DoubleSupplier;
import java.util.function.IntConsumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazladder.config.ClusterSettings;
import topazladder.config.ExtensionSettings;
import topazladder.config.InvalidSettingsException;
import topazladder.config.ServiceSettings;
import topazladder.disruption.ThroughputMeter;
import topazladder.net.amqp.AmqpNode;
import topazladder.net.hall.HallNode;
import topazladder.net.peer.PeerNode;
import topazladder.service.Callers;
import topazladder.service.Counters;
import topazladder.service.Counters.Count;
import topazladder.service.DependencyCircuitBreaker;
import topazladder.service.InstanceExtension;
import topazladder.service.InstanceLifecycle;
import topazladder.service.RequestDispatcher;
import topazladder.service.Timers;

/** Puts the parts of a real service instance together, all on one event loop. */
public final class ServiceInstance {
    private static final Logger LOG = LoggerFactory.getLogger(ServiceInstance.class);
    /**
     * Kept back of the descriptors: libraries, event loop and links hold 33, and a closed one is given back only
     * when the event loop comes round again. None left, nobody would be taken for a second.
     */
    private static final int OTHER_DESCRIPTORS = 128;
    /** Accepted, and not yet known to the event loop. */
    private static final int NEWCOMERS = 24;
    /** For the last words to callers that stayed to the end, and for theirs to be read away: the kill is near. */
    private static final long ENDING_MS = 40;
    /** The status of an instance that went out as its hall agreed, to be started again in whatever version is due. */
    private static final int AGREED = 75;
    /** One in so many descriptors may be a connection to the index. */
    private static final int INDEX_PART = 8;

    private final ServiceSettings terms;
    private final Vertx vertx;
    private final Counters counters = new Counters();
    private final CallerServer callers;
    private final RuntimeLink runtime;
    private final DependencyLink index;
    private final ControlPlane control;
    private final RequestDispatcher dispatcher;
    private final InstanceLifecycle instance;
    private final IntConsumer exit;
    private int status;
    private final List<InstanceExtension> parts = new ArrayList<>();

    /** @param exit ends the process with a status; nothing is done any more after it */
    public ServiceInstance(ServiceSettings terms, IntConsumer exit) {
        this(terms, ExtensionSettings.NONE, exit);
    }

    /** @param own switches on the parts that are off by default */
    public ServiceInstance(ServiceSettings terms, ExtensionSettings own, IntConsumer exit) {
        this.terms = terms;
        this.exit = exit;
        int toIndex = Math.max(1, terms.sockets() / INDEX_PART);
        int toCallers = Math.max(1, terms.sockets() - OTHER_DESCRIPTORS - toIndex);
        AcceptGate gate = new AcceptGate(toCallers + NEWCOMERS);
        vertx = Vertx.builder().withTransport(gate)
                .with(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1)
                        .setInternalBlockingPoolSize(1).setFileSystemOptions(new FileSystemOptions()
                                .setFileCachingEnabled(false).setClassPathResolvingEnabled(false)))
                .build();
        vertx.exceptionHandler(this::fault);
        callers = new CallerServer(vertx, toCallers, gate::shut, counters);
        runtime = new RuntimeLink(vertx, terms.runtime(), counters);
        index = new DependencyLink(vertx, terms.index(), toIndex, counters);
        control = new ControlPlane(vertx, terms.control(), terms.name());
        DoubleSupplier clock = ServiceInstance::unixSeconds;
        Timers timers = (seconds, what) -> vertx.setTimer(Math.max(1, Math.round(seconds * 1000)),
                id -> what.run());
        dispatcher = new RequestDispatcher(clock, terms.terms(), runtime, index, callers, timers, counters);
        instance = new InstanceLifecycle(terms.name(), terms.seed(), terms.stopAfter(), clock, dispatcher,
                withParts(callers),
                timers,
                this::exit);
        addParts(own, clock, timers);
    }

    private void addParts(ExtensionSettings own, DoubleSupplier clock, Timers timers) {
        AmqpNode brokers = own.brokers().isEmpty() ? null
                : new AmqpNode(vertx, terms, own, clock, timers, dispatcher, instance, counters);
        if (own.peering() != null) {
            HallNode[] hall = new HallNode[1];
            PeerNode peers = new PeerNode(vertx, terms, own, dispatcher, instance, counters, () -> hall[0]);
            parts.add(peers);
            if (own.members() != null) {
                DependencyCircuitBreaker reach =
                        new DependencyCircuitBreaker(new SplittableRandom(terms.seed() ^ System.nanoTime()));
                if (own.members().duties().stream().anyMatch(d -> d.what() instanceof ClusterSettings.Probe)) {
                    index.tryBy(reach);
                }
                hall[0] = new HallNode(vertx, terms, own, instance::phase, counters, peers::keys,
                        this::leaveAsAgreed, this::counted, c -> brokers.consumeBy(c.broker(), c.queue()),
                        index::address, reach);
                parts.add(hall[0]);
                if (hall[0].choice() != null) {
                    index.choose(hall[0].choice());
                }
            }
        }
        if (brokers != null) {
            parts.add(brokers);
        }
    }

    public void start() {
        onLoop(() -> callers.listen(terms.listen(), dispatcher).onComplete(s -> {
            instance.listenersOpened();
            parts.forEach(InstanceExtension::open);
            index.open(dispatcher);
            runtime.open(dispatcher, instance);
            control.open(instance);
        }, e -> {
            System.err.println("serve: can't listen on " + terms.listen().host() + ":" + terms.listen().port()
                    + ": " + e.getMessage());
            vertx.close().onComplete(v2 -> exit.accept(1));
        }));
    }

    /** The notice to leave, from any thread. */
    public void leave() {
        onLoop(() -> {
            parts.forEach(InstanceExtension::leave);
            instance.shutdown();
        });
    }

    /** The hall has agreed that this instance goes out: whoever supervises it is told so by the status. */
    private void leaveAsAgreed(double notice) {
        status = AGREED;
        instance.announceShutdown();
        vertx.setTimer(Math.max(1, Math.round(notice * 1000)), id -> leave());
    }

    private ThroughputMeter.Totals counted() {
        double[] payoff = dispatcher.payoff();
        return new ThroughputMeter.Totals(payoff[0], payoff[1], counters.of(Count.FAILED));
    }

    /** What a part has to settle holds the stop back as an open connection does. */
    private Callers withParts(Callers server) {
        return new Callers() {
            @Override
            public void closeIdle(double seconds) {
                server.closeIdle(seconds);
            }

            @Override
            public void lastCall() {
                server.lastCall();
            }

            @Override
            public int connections() {
                return server.connections() + parts.stream().mapToInt(InstanceExtension::busy).sum();
            }
        };
    }

    /** Moves to the addresses of the configuration as it is now, from any thread. One that is bad changes nothing. */
    public void reload(Supplier<ServiceSettings> configuration) {
        try {
            ServiceSettings read = configuration.get();
            onLoop(() -> {
                counters.add(Count.CONFIGURATIONS_READ);
                LOG.info("{} reads its configuration anew", terms.name());
                if (!read.alikeButForAddresses(terms)) {
                    LOG.warn("the configuration differs in more than addresses: that holds from the next start on");
                }
                runtime.move(read.runtime());
                index.move(read.index());
                control.move(read.control());
            });
        } catch (InvalidSettingsException e) {
            onLoop(() -> {
                counters.add(Count.CONFIGURATIONS_REFUSED);
                LOG.error("the configuration stays as it was: {}", e.getMessage());
            });
        }
    }

    /** The same for the settings of the parts that are switched on. */
    public void reloadOwn(Supplier<ExtensionSettings> settings) {
        try {
            ExtensionSettings read = settings.get();
            onLoop(() -> parts.forEach(p -> p.reload(read)));
        } catch (InvalidSettingsException e) {
            onLoop(() -> {
                counters.add(Count.CONFIGURATIONS_REFUSED);
                LOG.error("the settings stay as they were: {}", e.getMessage());
            });
        }
    }

    /** Logs the counters and what is in hand, from any thread. */
    public void tell() {
        onLoop(this::tellCounters);
    }

    private void onLoop(Runnable what) {
        try {
            vertx.runOnContext(v -> what.run());
        } catch (RejectedExecutionException e) {
            // A signal that comes while the process ends has nothing left to tell.
            LOG.debug("after the end", e);
        }
    }

    /** One request's fault must not end the process that all others are in. */
    private void fault(Throwable e) {
        counters.add(Count.FAULTS);
        LOG.error("a fault of the program", e);
    }

    private void tellCounters() {
        LOG.info("{} {} {} connections={}", terms.name(), counters, dispatcher, callers.connections());
    }

    private void exit() {
        tellCounters();
        boolean left = callers.connections() > 0;
        callers.end();
        closeParts(parts.iterator(), () -> {
            runtime.close();
            if (left) {
                vertx.setTimer(ENDING_MS, id -> close());
            } else {
                close();
            }
        });
    }

    private void close() {
        control.close();
        vertx.close().onComplete(v -> exit.accept(status));
    }

    private static void closeParts(Iterator<InstanceExtension> left, Runnable then) {
        if (left.hasNext()) {
            left.next().close(() -> closeParts(left, then));
        } else {
            then.run();
        }
    }

    private static double unixSeconds() {
        Instant now = Clock.systemUTC().instant();
        return now.getEpochSecond() + now.getNano() / 1e9;
    }
}
