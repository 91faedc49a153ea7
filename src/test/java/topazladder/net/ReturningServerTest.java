package topazladder.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import topazladder.config.ServiceSettings.Address;
import topazladder.config.SettingsReader;
import topazladder.endpoint.CallOutcome;
import topazladder.endpoint.EjectionDirective;
import topazladder.endpoint.EndpointSelector;
import topazladder.net.codec.LineReader;
import topazladder.net.codec.MalformedMessageException;
import topazladder.service.Counters;
import topazladder.service.RequestDispatcher;

/**
 * The calls that one of five endpoints receives on loopback from fleets of 2, 20 and 30 as it comes back, by its own
 * record: unequal senders, of which one in four learns of the start two seconds late; after three seconds it starts
 * once more. Beyond the N calls that a cold server can take then, two roots of N and two count as chance.
 */
@Timeout(60)
class ReturningServerTest {
    private static final List<String> SERVERS = List.of("a", "b", "c", "d", "e");
    private static final double ALL = 400;
    private static final double USUAL = ALL / SERVERS.size();
    private static final double COLD = 0.25;
    private static final double WARM_AFTER = 8;
    private static final long SEED = 11;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final long startNanos = System.nanoTime();

    @Test
    void theSumOfAllSendersStaysWithinWhatAColdServerCanTake() throws Exception {
        System.out.println("seed " + SEED);
        List<Fleet> fleets = new ArrayList<>();
        for (int processes : new int[] {2, 20, 30}) {
            fleets.add(new Fleet(processes));
        }
        CountDownLatch over = new CountDownLatch(1);
        vertx.runOnContext(v -> {
            fleets.forEach(f -> f.begin(1, 1));
            vertx.setTimer(3000, id -> fleets.forEach(f -> f.begin(2, 2)));
            vertx.setTimer(8000, id -> over.countDown());
        });
        over.await();
        CountDownLatch closed = new CountDownLatch(1);
        vertx.close().onComplete(v -> closed.countDown());
        assertThat(closed.await(20, TimeUnit.SECONDS)).isTrue();
        fleets.forEach(Fleet::check);
    }

    private double now() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    private final class Fleet {
        private final RandomGenerator chance = new SplittableRandom(SEED);
        private final List<Double> ledger = new ArrayList<>(); // when each call came to the first server
        private final List<Double> starts = new ArrayList<>();
        private final List<EndpointSelector> uses = new ArrayList<>();
        private int calls;

        Fleet(int processes) throws Exception {
            List<Address> addresses = new ArrayList<>();
            for (int i = 0; i < SERVERS.size(); i++) {
                addresses.add(new Address("127.0.0.1", serve(i == 0)));
            }
            Counters counters = new Counters();
            RequestDispatcher nobody = new RequestDispatcher(this::unused, SettingsReader.ofLines("""
                Classes.count=1
                Classes.0.Idempotency=safe
                Classes.0.DeadlineNs=5000000000
                Extra.Cores=2
                Extra.MemoryKb=100000
                """), null, null, null, null, counters);
            double sum = 0;
            for (int i = 0; i < processes; i++) {
                sum += 1 + i % 9;
            }
            CountDownLatch opened = new CountDownLatch(1);
            double all = sum;
            vertx.runOnContext(v -> {
                for (int i = 0; i < processes; i++) {
                    EndpointSelector use = new EndpointSelector(new EndpointSelector.Settings(SERVERS, 0.25),
                            new SplittableRandom(chance.nextLong()));
                    uses.add(use);
                    DependencyClient client = new DependencyClient(vertx, null, 32, counters);
                    client.choose(new UseBackedChoice(use, addresses, ReturningServerTest.this::now));
                    client.open(nobody);
                    double rate = ALL * (1 + i % 9) / all;
                    vertx.setPeriodic(10, id -> {
                        for (double left = rate * 0.01; chance.nextDouble() < left; left--) {
                            client.call(String.format("%016x", ++calls), 2, true, new byte[1]);
                        }
                    });
                }
                opened.countDown();
            });
            opened.await();
        }

        private double unused() {
            return 0;
        }

        /** Those that learn late take it for out until then, as they were told before. */
        void begin(long term, long token) {
            double start = now();
            starts.add(start);
            for (int i = 0; i < uses.size(); i++) {
                EndpointSelector use = uses.get(i);
                use.applyDirectives(now(), term,
                        List.of(new EjectionDirective("a", EjectionDirective.Kind.OUT, token, 0)));
                if (i % 4 == 3) {
                    vertx.setTimer(2000, id -> use.applyDirectives(now(), term, back(token, start)));
                } else {
                    use.applyDirectives(now(), term, back(token, start));
                }
            }
        }

        private List<EjectionDirective> back(long token, double start) {
            return List.of(new EjectionDirective("a", EjectionDirective.Kind.RETURNING, token, now() - start));
        }

        private int serve(boolean kept) throws Exception {
            NetServer server = vertx.createNetServer();
            server.connectHandler(socket -> {
                LineReader reader = new LineReader(200, words -> LineReader.length(words[3]));
                socket.handler(bytes -> {
                    try {
                        reader.feed(bytes.getBytes());
                        for (LineReader.Line line = reader.next(); line != null; line = reader.next()) {
                            if (kept) {
                                ledger.add(now());
                            }
                            byte[] reply = (line.words()[1] + " HIT 1\r\ny\r\n").getBytes(StandardCharsets.UTF_8);
                            socket.write(Buffer.buffer(reply));
                        }
                    } catch (MalformedMessageException e) {
                        throw new AssertionError(e);
                    }
                });
            });
            return server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().get().actualPort();
        }

        void check() {
            double until = 0;
            for (int i = 0; i < starts.size(); i++) {
                double start = starts.get(i);
                until = i + 1 < starts.size() ? starts.get(i + 1) : start + 5;
                for (double span : new double[] {0.5, 1, 2}) {
                    for (double from = start; from + span <= until; from += 0.1) {
                        double begins = from;
                        long came = ledger.stream().filter(t -> t >= begins && t < begins + span).count();
                        double budget = USUAL * (capacity(from + span - start) - capacity(from - start));
                        assertThat((double) came).as("calls from %d processes, %.1f s after the start, for %.1f s",
                                uses.size(), from - start, span)
                                .isLessThanOrEqualTo(budget + 2 * Math.sqrt(budget) + 2);
                    }
                }
            }
            double end = until;
            assertThat(ledger.stream().filter(t -> t > end - 1 && t < end).count()).as("it does come back")
                    .isGreaterThan((long) (USUAL / 8));
        }
    }

    /** Seconds of full speed that a cold server has had by then. */
    private static double capacity(double t) {
        return COLD * t + (1 - COLD) * t * t / (2 * WARM_AFTER);
    }

    private record UseBackedChoice(EndpointSelector use, List<Address> addresses, DoubleSupplier clock)
            implements
                DependencyEndpointChoice {
        @Override
        public int pick(int excluded) {
            return use.pick(clock.getAsDouble(), excluded);
        }

        @Override
        public Address address(int endpoint) {
            return addresses.get(endpoint);
        }

        @Override
        public boolean isInUse(int endpoint) {
            return use.state(SERVERS.get(endpoint)) != EndpointSelector.State.OUT;
        }

        @Override
        public void callEnded(int endpoint, CallOutcome how) {
            use.callEnded(clock.getAsDouble(), endpoint, how);
        }

        @Override
        public void callAbandoned(int endpoint) {
            use.callAbandoned(endpoint);
        }

        @Override
        public boolean isRetryPermitted() {
            return false;
        }
    }
}
