package topazladder.net.amqp;

import io.vertx.core.Vertx;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazladder.config.BrokerSettings;
import topazladder.config.ExtensionSettings;
import topazladder.config.ServiceSettings;
import topazladder.delivery.Consumer;
import topazladder.delivery.RandomRequestIds;
import topazladder.lease.LeasedTask;
import topazladder.service.Counters;
import topazladder.service.InstanceExtension;
import topazladder.service.InstanceLifecycle;
import topazladder.service.InstanceLifecycle.Phase;
import topazladder.service.RequestDispatcher;
import topazladder.service.Scheduler;

/** Consuming from brokers: a link and a consumer for each, as long as the instance serves. */
public final class AmqpNode implements InstanceExtension {
    private static final Logger LOG = LoggerFactory.getLogger(AmqpNode.class);
    private static final long LOOK_MS = 250;

    private record Source(BrokerSettings terms, AmqpLink link, Consumer consumer) {
    }

    private final Vertx vertx;
    private final InstanceLifecycle instance;
    private final Map<String, Source> sources = new LinkedHashMap<>();
    private boolean opened;
    private boolean leaving;

    public AmqpNode(Vertx vertx, ServiceSettings terms, ExtensionSettings own, DoubleSupplier clock, Scheduler timers,
            RequestDispatcher dispatcher, InstanceLifecycle instance, Counters counters) {
        this.vertx = vertx;
        this.instance = instance;
        // Names of tries must not come again after a restart, whatever the seed: the runtime keeps what it ran.
        SplittableRandom chance = new SplittableRandom(terms.seed() ^ System.nanoTime() ^ ProcessHandle.current()
                .pid() << 32);
        var loop = vertx.getOrCreateContext();
        for (BrokerSettings b : own.brokers()) {
            AmqpLink link = new AmqpLink(vertx, loop, b, counters, chance.split());
            sources.put(b.name(), new Source(b, link, new Consumer(clock, timers, dispatcher, counters,
                    new RandomRequestIds(chance.split()), link,
                    terms.terms(), b.queues())));
        }
    }

    /** A queue that is consumed only while this instance holds the duty for it. */
    public LeasedTask consumeBy(String broker, String queue) {
        Source s = sources.get(broker);
        s.link().holdBack(queue);
        return new ConsumeWork(vertx, new ConsumeWork.Queue() {
            @Override
            public void begin() {
                s.link().begin(queue);
            }

            @Override
            public void end() {
                s.link().holdBack(queue);
            }

            @Override
            public void giveBack() {
                s.link().giveBack(queue);
            }
        }, () -> s.consumer().open(queue));
    }

    /** Links are taken once the module decides: a message is not asked for that nobody could judge. */
    @Override
    public void open() {
        vertx.setPeriodic(LOOK_MS, LOOK_MS, id -> {
            if (!opened && !leaving && instance.phase() == Phase.SERVING) {
                opened = true;
                sources.values().forEach(s -> s.link().open(s.consumer()));
            }
            if (opened) {
                sources.values().forEach(s -> s.consumer().look());
            }
        });
    }

    @Override
    public void reload(ExtensionSettings settings) {
        for (BrokerSettings b : settings.brokers()) {
            Source had = sources.get(b.name());
            if (had == null || !had.terms().queues().equals(b.queues())) {
                LOG.warn("broker {} has other queues now, which needs a restart", b.name());
            } else {
                had.link().move(b);
            }
        }
    }

    @Override
    public void startShutdown() {
        leaving = true;
        if (opened) {
            sources.values().forEach(s -> s.consumer().leave());
        }
    }

    @Override
    public int pendingWork() {
        return sources.values().stream().filter(s -> s.link().isUp()).mapToInt(s -> s.consumer().open()).sum();
    }

    @Override
    public void close(Runnable done) {
        AtomicInteger left = new AtomicInteger(sources.size());
        sources.values().forEach(s -> s.link().close(() -> {
            if (left.decrementAndGet() == 0) {
                done.run();
            }
        }));
    }
}
