package topazladder.net;

import static org.assertj.core.api.Assertions.assertThat;
import static topazladder.CallerFrameBuilder.deepHealthCheck;
import static topazladder.CallerFrameBuilder.frame;
import static topazladder.CallerFrameBuilder.healthCheck;
import static topazladder.CallerFrameBuilder.request;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import topazladder.LoopbackPorts;
import topazladder.StandInCaller;
import topazladder.config.ServiceSettings.Address;
import topazladder.config.SettingsReader;
import topazladder.service.Counters;
import topazladder.service.Counters.Count;
import topazladder.service.RequestDispatcher;
import topazladder.service.RuntimePort;

/** The callers' side alone; its event loop is held while bytes come, so that they lie unread as it ends. */
@Timeout(60)
class CallerServerTest {
    private static final String SETTINGS = """
        Classes.count=1
        Classes.0.Name=read
        Classes.0.Idempotency=safe
        Classes.0.DeadlineNs=5000000000
        Extra.Cores=2
        Extra.MemoryKb=100000
        """;

    private static final int MAX_CONNECTIONS = 8;

    private final Counters counters = new Counters();
    private Vertx vertx;
    private CallerServer server;
    private RequestDispatcher dispatcher;
    private final CountDownLatch deepCheckAsked = new CountDownLatch(1);
    private int port;

    @BeforeEach
    void listen() throws Exception {
        AcceptGate gate = new AcceptGate(MAX_CONNECTIONS);
        vertx = Vertx.builder().withTransport(gate).with(new VertxOptions().setEventLoopPoolSize(1)).build();
        server = new CallerServer(vertx, MAX_CONNECTIONS, gate::isShut, counters);
        dispatcher = new RequestDispatcher(() -> System.currentTimeMillis() / 1000.0, SettingsReader.ofLines(SETTINGS),
                silentRuntime(), null, server, null, counters);
        port = LoopbackPorts.free();
        CountDownLatch listening = new CountDownLatch(1);
        vertx.runOnContext(
                v -> server.listen(new Address("127.0.0.1", port), dispatcher).onComplete(s -> listening.countDown()));
        listening.await();
    }

    @AfterEach
    void close() throws Exception {
        CountDownLatch over = new CountDownLatch(1);
        vertx.close().onComplete(v -> over.countDown());
        assertThat(over.await(20, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void requestThatLiesUnreadAsTheInstanceEndsIsNeverTakenInAndResetsNothing() throws Exception {
        try (StandInCaller caller = answeredOnce()) {
            sendUnreadBefore(caller, request(2, "00000000000000bb", "read"), CallerServer::end);
            assertThat(caller.receive()).isEqualTo("48 on 0");
            assertThat(caller.receive()).isEqualTo("closed");
            awaitConnections(0);
            awaitConnections(0); // a turn of the event loop later the socket is given back
            assertThat(caller.wasResetAfterClose()).isFalse();
            assertThat(counters.get(Count.REQUESTS_RECEIVED)).isEqualTo(1);
        }
    }

    @Test
    void halfARequestThatLiesUnreadAsTheInstanceEndsResetsNothing() throws Exception {
        try (StandInCaller caller = answeredOnce()) {
            byte[] request = request(2, "00000000000000bb", "read");
            sendUnreadBefore(caller, Arrays.copyOf(request, request.length / 2), CallerServer::end);
            assertThat(caller.receive()).isEqualTo("48 on 0");
            assertThat(caller.receive()).isEqualTo("closed");
            awaitConnections(0);
            awaitConnections(0); // a turn of the event loop later the socket is given back
            assertThat(caller.wasResetAfterClose()).isFalse();
        }
    }

    @Test
    void requestThatLiesUnreadAtTheLastCallIsAnswered() throws Exception {
        try (StandInCaller caller = answeredOnce()) {
            sendUnreadBefore(caller, request(2, "00000000000000bb", "read"), CallerServer::stopAccepting);
            assertThat(caller.receive()).isEqualTo("48 on 0");
            assertThat(caller.receive()).isEqualTo("17 on 2 code 1");
            assertThat(caller.receive()).isEqualTo("closed");
            assertThat(caller.wasReset()).isFalse();
        }
    }

    @Test
    void callerThatClosedWhileItIsOwedAnAnswerIsFoundOut() throws Exception {
        try (StandInCaller caller = new StandInCaller(port)) {
            caller.send(deepHealthCheck(1));
            deepCheckAsked.await();
        }
        awaitConnections(0);
    }

    // Messages past one turn's share wait in the connection, and the end of its caller's side must not drop them.
    @Test
    void requestsBehindManyMessagesAreAnsweredThoughTheirCallerSendsNoMore() throws Exception {
        int checks = 500;
        try (StandInCaller caller = new StandInCaller(port)) {
            byte[][] frames = new byte[checks + 1][];
            for (int i = 0; i < checks; i++) {
                frames[i] = healthCheck(i + 1);
            }
            frames[checks] = request(checks + 1, "00000000000000cc", "read");
            caller.send(frames);
            caller.shutdownOutput();
            int answers = 0;
            String last = "";
            for (String next = caller.receive(); !next.equals(StandInCaller.CLOSED); next = caller.receive()) {
                answers += next.startsWith("48") ? 0 : 1;
                last = next.startsWith("48") ? last : next;
            }
            assertThat(answers).isEqualTo(checks + 1);
            assertThat(last).isEqualTo("17 on " + (checks + 1) + " code 1");
            assertThat(caller.wasReset()).isFalse();
            assertThat(counters.get(Count.READS_POSTPONED)).isPositive();
        }
    }

    // Nothing is written to a caller that takes back nothing, so that its end went unseen until all was read.
    @Test
    void cancellationsOfNothingEndTheirConnectionLikeOthers() throws Exception {
        try (StandInCaller caller = new StandInCaller(port)) {
            byte[][] cancellations = new byte[65][];
            Arrays.setAll(cancellations, i -> frame(18, i + 1));
            caller.send(cancellations);
            assertThat(caller.receive()).contains("17 on 0 code 2");
            assertThat(caller.receive()).isEqualTo("closed");
            assertThat(counters.get(Count.CONNECTIONS_CLOSED_TOO_MANY_CANCELLED)).isEqualTo(1);
        }
    }

    @Test
    void callerThatSendsNoMoreIsStillAnswered() throws Exception {
        try (StandInCaller caller = new StandInCaller(port)) {
            caller.send(deepHealthCheck(1));
            deepCheckAsked.await();
            caller.shutdownOutput();
            assertThat(caller.receive()).isEqualTo("48 on 0");
            assertThat(caller.receive()).isEqualTo("48 on 0");
            vertx.runOnContext(v -> dispatcher.healthCheckCompleted(1, true));
            assertThat(caller.receive()).isEqualTo("33 on 1 code 0");
            assertThat(caller.receive()).isEqualTo("closed");
            assertThat(caller.wasReset()).isFalse();
        }
    }

    @Test
    void callerThatSpeaksRightAfterAPauseIsNotTakenForSilent() throws Exception {
        try (StandInCaller caller = new StandInCaller(port)) {
            awaitConnections(1);
            // The machine stands still for longer than one may say nothing; all looks that were missed come at once.
            CountDownLatch over = new CountDownLatch(1);
            vertx.runOnContext(v -> {
                for (long end = System.nanoTime() + 2_500_000_000L; System.nanoTime() < end;) {
                    LockSupport.parkNanos(end - System.nanoTime());
                }
                vertx.setTimer(50, id -> over.countDown());
            });
            over.await();
            caller.send(request(1, "00000000000000aa", "read"));
            assertThat(caller.receive()).isEqualTo("17 on 1 code 1");
        }
    }

    @Test
    void callersWhomTheSystemHoldsBehindAFullGateAtTheLastCallAreAnswered() throws Exception {
        List<StandInCaller> inside = new ArrayList<>();
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            inside.add(new StandInCaller(port).send(deepHealthCheck(1)));
            awaitConnections(i + 1);
        }
        deepCheckAsked.await();
        try (StandInCaller outside = new StandInCaller(port)) {
            outside.send(request(1, "00000000000000aa", "read"));
            CountDownLatch told = new CountDownLatch(1);
            vertx.runOnContext(v -> {
                server.stopAccepting();
                told.countDown();
            });
            told.await();
            for (StandInCaller caller : inside) {
                caller.close();
            }
            assertThat(outside.receive()).isEqualTo("48 on 0");
            assertThat(outside.receive()).isEqualTo("17 on 1 code 1");
        }
    }

    private void awaitConnections(int count) throws Exception {
        for (int current = -1; current != count;) {
            CompletableFuture<Integer> now = new CompletableFuture<>();
            vertx.runOnContext(v -> now.complete(server.openConnections()));
            current = now.get();
        }
    }

    /** A runtime that never says whether work gets done. */
    private RuntimePort silentRuntime() {
        return new RuntimePort() {
            @Override
            public void start(String ref, String requestClass, byte[] body) {
                throw new AssertionError("nothing is started before the runtime is up");
            }

            @Override
            public void resumeWithReply(String ref, byte[] reply) {}

            @Override
            public void resumeWithoutReply(String ref, long notice) {}

            @Override
            public void requestGauges() {}

            @Override
            public void requestHealthCheck(long tag) {
                deepCheckAsked.countDown();
            }
        };
    }

    private StandInCaller answeredOnce() throws Exception {
        StandInCaller caller = new StandInCaller(port);
        caller.send(request(1, "00000000000000aa", "read"));
        assertThat(caller.receive()).isEqualTo("17 on 1 code 1");
        return caller;
    }

    /** Bytes come while the event loop is held, and what ends it is done before any of them is read. */
    private void sendUnreadBefore(StandInCaller caller, byte[] bytes, Consumer<CallerServer> action) throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch sent = new CountDownLatch(1);
        vertx.runOnContext(v -> { // there is one event loop, on which the sockets are read too
            held.countDown();
            try {
                sent.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            action.accept(server);
        });
        held.await();
        caller.send(bytes);
        sent.countDown();
    }
}
