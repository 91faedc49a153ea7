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
import java.util.concurrent.atomic.AtomicReference;
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
import topazladder.net.cluster.ClusterNode;
import topazladder.net.peer.PeerNode;
import topazladder.service.Counters;
import topazladder.service.Counters.Count;
import topazladder.service.DependencyCircuitBreaker;
import topazladder.service.InstanceExtension;
import topazladder.service.InstanceLifecycle;
import topazladder.service.RequestDispatcher;
import topazladder.service.Scheduler;
import topazladder.service.ServedValue;

/**
 * Puts the parts of a real service instance together, all on one event loop.
 *
 * <p>Invariant: the process exits only after all that was written to callers has had time to go out, and every
 * extension is closed.
 */
public final class ServiceInstance {
    private static final Logger LOG = LoggerFactory.getLogger(ServiceInstance.class);
    /** For the last responses to callers that stayed to the end, and for theirs to be read away: the kill is near. */
    private static final long LAST_RESPONSES_MILLIS = 40;
    /** A supervisor starts the instance again with it, in whatever version the rollout has reached. */
    private static final int AGREED_SHUTDOWN_STATUS = 75;
    private static final int CANNOT_LISTEN_STATUS = 1;
    private static final double NANOS_PER_SECOND = 1e9;

    private final ServiceSettings settings;
    private final Vertx vertx;
    private final Counters counters = new Counters();
    private final CallerServer callers;
    private final RuntimeLink runtime;
    private final DependencyClient dependency;
    private final ControlPlaneHeartbeat heartbeat;
    private final RequestDispatcher dispatcher;
    private final InstanceLifecycle instance;
    private final IntConsumer exit;
    private int exitStatus;
    private final List<InstanceExtension> extensions = new ArrayList<>();

    /** @param exit ends the process with a status; nothing is done any more after it */
    public ServiceInstance(ServiceSettings settings, IntConsumer exit) {
        this(settings, ExtensionSettings.NONE, exit);
    }

    /** @param extensionSettings switches on the extensions that are off by default */
    public ServiceInstance(ServiceSettings settings, ExtensionSettings extensionSettings, IntConsumer exit) {
        this.settings = settings;
        this.exit = exit;
        SocketBudget budget = SocketBudget.of(settings.maxSockets());
        AcceptGate gate = new AcceptGate(budget.acceptedConnections());
        vertx = singleEventLoop(gate);
        vertx.exceptionHandler(this::unhandledException);
        callers = new CallerServer(vertx, budget.callerConnections(), gate::isShut, counters);
        runtime = new RuntimeLink(vertx, settings.runtime(), counters);
        dependency = new DependencyClient(vertx, settings.index(), budget.dependencyConnections(), counters);
        heartbeat = new ControlPlaneHeartbeat(vertx, settings.control(), settings.name());
        DoubleSupplier clock = ServiceInstance::unixSeconds;
        Scheduler scheduler =
                (delaySeconds, task) -> vertx.setTimer(timerMillis(delaySeconds), id -> task.run());
        dispatcher = new RequestDispatcher(clock, settings.terms(), runtime, dependency, callers, scheduler, counters);
        instance =
                new InstanceLifecycle(settings.name(), settings.seed(), settings.stopAfterSeconds(), clock, dispatcher,
                        new CallersAndExtensions(callers, extensions), scheduler, this::exit);
        addExtensions(extensionSettings, clock, scheduler);
    }

    private static Vertx singleEventLoop(AcceptGate gate) {
        FileSystemOptions noFiles =
                new FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false);
        return Vertx.builder().withTransport(gate)
                .with(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1)
                        .setFileSystemOptions(noFiles))
                .build();
    }

    private void addExtensions(ExtensionSettings extensionSettings, DoubleSupplier clock, Scheduler scheduler) {
        AmqpNode brokers = extensionSettings.brokers().isEmpty() ? null
                : new AmqpNode(vertx, settings, extensionSettings, clock, scheduler, dispatcher, instance, counters);
        if (extensionSettings.peering() != null) {
            AtomicReference<ClusterNode> cluster = new AtomicReference<>();
            PeerNode peers =
                    new PeerNode(vertx, settings, extensionSettings, dispatcher, instance, counters, cluster::get);
            extensions.add(peers);
            if (extensionSettings.cluster() != null) {
                cluster.set(clusterNode(extensionSettings, peers, brokers));
                extensions.add(cluster.get());
                if (cluster.get().dependencyEndpointChoice() != null) {
                    dependency.choose(cluster.get().dependencyEndpointChoice());
                }
            }
        }
        if (brokers != null) {
            extensions.add(brokers);
        }
    }

    private ClusterNode clusterNode(ExtensionSettings extensionSettings, PeerNode peers, AmqpNode brokers) {
        DependencyCircuitBreaker circuitBreaker =
                new DependencyCircuitBreaker(new SplittableRandom(settings.seed() ^ System.nanoTime()));
        if (extensionSettings.cluster().leases().stream().anyMatch(d -> d.task() instanceof ClusterSettings.Probe)) {
            dependency.guardBy(circuitBreaker);
        }
        return new ClusterNode(vertx, settings, extensionSettings, instance::phase, counters, peers::keys,
                this::leaveAsAgreed, this::counted, c -> brokers.consumeBy(c.broker(), c.queue()),
                dependency::address, circuitBreaker);
    }

    /** Listens, and then reaches out; exits with status 1 if the address can't be listened on. */
    public void start() {
        onLoop(() -> callers.listen(settings.listen(), dispatcher).onComplete(listening -> {
            instance.listenersOpened();
            extensions.forEach(InstanceExtension::open);
            dependency.open(dispatcher);
            runtime.open(dispatcher, instance);
            heartbeat.start(instance);
        }, e -> {
            System.err.println("serve: can't listen on " + settings.listen().host() + ":" + settings.listen().port()
                    + ": " + e.getMessage());
            vertx.close().onComplete(closed -> exit.accept(CANNOT_LISTEN_STATUS));
        }));
    }

    /** Begins the graceful shutdown; may be called from any thread. */
    public void leave() {
        onLoop(() -> {
            extensions.forEach(InstanceExtension::startShutdown);
            instance.shutdown();
        });
    }

    /** The cluster has agreed that this instance shuts down: the status tells so to whoever supervises it. */
    private void leaveAsAgreed(double noticeSeconds) {
        exitStatus = AGREED_SHUTDOWN_STATUS;
        instance.announceShutdown();
        vertx.setTimer(timerMillis(noticeSeconds), id -> leave());
    }

    private ThroughputMeter.Totals counted() {
        ServedValue value = dispatcher.servedValue();
        return new ThroughputMeter.Totals(value.offered(), value.served(), counters.get(Count.FAILED));
    }

    /**
     * Moves to the addresses of the configuration as it is now; an invalid one changes nothing. May be called from any
     * thread, on which the configuration is read.
     */
    public void reload(Supplier<ServiceSettings> configuration) {
        try {
            ServiceSettings read = configuration.get();
            onLoop(() -> moveTo(read));
        } catch (InvalidSettingsException e) {
            onLoop(() -> rejected("configuration rejected reason=\"{}\"", e));
        }
    }

    private void moveTo(ServiceSettings read) {
        counters.add(Count.CONFIGURATIONS_RELOADED);
        LOG.info("configuration reloaded name={}", settings.name());
        if (!read.alikeButForAddresses(settings)) {
            LOG.warn("configuration change deferred name={} until=next-start"
                    + " reason=\"it differs in more than addresses\"", settings.name());
        }
        runtime.moveTo(read.runtime());
        dependency.moveTo(read.index());
        heartbeat.moveTo(read.control());
    }

    /** The same for the settings of the extensions. */
    public void reloadOwn(Supplier<ExtensionSettings> configuration) {
        try {
            ExtensionSettings read = configuration.get();
            onLoop(() -> extensions.forEach(extension -> extension.reload(read)));
        } catch (InvalidSettingsException e) {
            onLoop(() -> rejected("extension settings rejected reason=\"{}\"", e));
        }
    }

    private void rejected(String event, InvalidSettingsException e) {
        counters.add(Count.CONFIGURATIONS_REJECTED);
        LOG.error(event, e.getMessage());
    }

    /** Logs the counters and what is in flight; may be called from any thread. */
    public void tell() {
        onLoop(this::logCounters);
    }

    private void onLoop(Runnable what) {
        try {
            vertx.runOnContext(v -> what.run());
        } catch (RejectedExecutionException e) {
            // A signal that comes while the process ends has nothing left to tell.
            LOG.debug("event loop closed", e);
        }
    }

    /** One request's fault must not end the process that all others are in. */
    private void unhandledException(Throwable e) {
        counters.add(Count.INTERNAL_ERRORS);
        LOG.error("unhandled exception", e);
    }

    private void logCounters() {
        LOG.info("counters name={} {} {} connections={}", settings.name(), counters, dispatcher,
                callers.openConnections());
    }

    private void exit() {
        logCounters();
        boolean callersLeft = callers.openConnections() > 0;
        callers.end();
        closeAll(extensions.iterator(), () -> {
            runtime.close();
            if (callersLeft) {
                vertx.setTimer(LAST_RESPONSES_MILLIS, id -> close());
            } else {
                close();
            }
        });
    }

    private void close() {
        heartbeat.stop();
        vertx.close().onComplete(v -> exit.accept(exitStatus));
    }

    /** Closes one extension after the other. */
    private static void closeAll(Iterator<InstanceExtension> remaining, Runnable then) {
        if (remaining.hasNext()) {
            remaining.next().close(() -> closeAll(remaining, then));
        } else {
            then.run();
        }
    }

    private static long timerMillis(double seconds) {
        return Math.max(1, Math.round(seconds * 1000));
    }

    private static double unixSeconds() {
        Instant now = Clock.systemUTC().instant();
        return now.getEpochSecond() + now.getNano() / NANOS_PER_SECOND;
    }
}
