import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.net.NetServerOptions;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import topazladder.broker.Broker;
import topazladder.broker.BrokerServer;
import topazladder.broker.Ledger;
import topazladder.broker.Message;
import topazladder.broker.Message.Props;

/** The project's own stand-in broker on a free port, with its calls taken to its own thread. */
final class StandInBroker implements AutoCloseable {
    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final Ledger ledger = new Ledger();
    private final Broker broker;
    private final Lab lab;
    final int port;

    StandInBroker(Lab lab) throws Exception {
        this.lab = lab;
        broker = get(() -> new Broker(() -> System.nanoTime() / 1e9,
                (s, what) -> vertx.setTimer(Math.max(1, Math.round(s * 1000)), id -> what.run()), ledger));
        BrokerServer server = new BrokerServer(vertx, broker, new BrokerServer.Terms("desk", "secret", 10, 8192),
                new NetServerOptions());
        port = server.listen().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
        lab.keep(this);
    }

    <T> T get(Supplier<T> what) {
        CompletableFuture<T> got = new CompletableFuture<>();
        vertx.runOnContext(v -> {
            try {
                got.complete(what.get());
            } catch (RuntimeException e) {
                got.completeExceptionally(e);
            }
        });
        try {
            return got.get(10, TimeUnit.SECONDS);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    void queue(String name, Map<String, Object> arguments) {
        get(() -> {
            broker.declareQueue(name, arguments, true, false);
            return null;
        });
    }

    /** Declares a direct exchange, and a queue that takes one key of it. */
    void route(String exchange, String type, String key, String queue) {
        get(() -> {
            broker.declareExchange(exchange, type, false);
            broker.bind(queue, exchange, key, Map.of());
            return null;
        });
    }

    void publish(String queue, String id, Map<String, Object> headers, String replyTo, String body) {
        lab.note("published " + id + " to " + queue + ": " + body);
        get(() -> broker.publish("", queue, new LinkedHashMap<>(headers),
                new Props(null, 2, null, replyTo == null ? null : "c-" + id, replyTo, null, id, null, null, null, null),
                Lab.bytes(body)));
    }

    int ready(String queue) {
        return get(() -> broker.ready(queue));
    }

    int consumers(String queue) {
        return get(() -> broker.consumers(queue));
    }

    List<String> bodies(String queue) {
        return get(() -> {
            List<String> all = new ArrayList<>();
            for (Message m : broker.waiting(queue)) {
                all.add(new String(m.body(), StandardCharsets.UTF_8));
            }
            return all;
        });
    }

    /** Deliveries that were made and not settled yet. */
    long unsettled() {
        return get(() -> {
            long open = 0;
            for (Ledger.Entry e : ledger.entries()) {
                if (e.delivery() > 0) {
                    open += e.what() == Ledger.What.DELIVERED ? 1 : -1;
                }
            }
            return open;
        });
    }

    boolean delivered(String whatEnd) {
        return get(() -> ledger.entries().stream()
                .anyMatch(e -> e.what() == Ledger.What.DELIVERED && e.where().endsWith(whatEnd)));
    }

    /** Whether nothing waits on these queues and nothing is out. */
    boolean idle(String... names) {
        for (String name : names) {
            if (ready(name) > 0) {
                return false;
            }
        }
        return unsettled() == 0;
    }

    /** Writes the life of each message, as the broker saw it, to the record. */
    void noteLedger() {
        get(() -> {
            ledger.entries().forEach(e -> lab.note("broker: " + e));
            return null;
        });
    }

    @Override
    public void close() {
        vertx.close();
    }
}
