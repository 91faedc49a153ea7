package topazladder.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The load that all processes together put on an endpoint that returns cold, in virtual time. The test counts the calls
 * itself. In a span in which the endpoint can take N calls, up to N + 2 * sqrt(N) + 2 may come, to allow for chance.
 */
class SlowStartFleetTest {
    private static final List<String> SERVERS = List.of("a", "b", "c", "d", "e");
    /** Calls per second to all endpoints. A warm endpoint can take exactly its usual share. */
    private static final double TOTAL_RATE = 500;
    private static final double USUAL_RATE = TOTAL_RATE / SERVERS.size();
    /** A cold endpoint starts at this fraction of its speed and warms up linearly. */
    private static final double COLD_SPEED = 0.25;
    private static final double WARM_UP_SECONDS = 8;
    private static final double TIME_STEP = 0.01;

    private final Deque<double[]> inFlight = new ArrayDeque<>(); // sender, endpoint, time of the answer
    private final List<Double> arrivals = new ArrayList<>(); // times of the calls to the first endpoint
    private EndpointSelector[] senders;
    private double[] rates;
    private RandomGenerator random;
    private double now;

    @ParameterizedTest
    @CsvSource({"2,1", "2,2", "20,1", "20,2", "30,1", "30,2"})
    void unequalSendersThatAllKnowTheStartTime(int processes, long seed) {
        start(processes, seed);
        ejectAndReturn(1, 1, 0);
        play(10);
        assertLoadWithinCapacitySince(0);
    }

    @ParameterizedTest
    @CsvSource({"2,3", "20,3", "30,3", "30,4"})
    void halfOfTheSendersLearnOfTheReturnLateAndOneNever(int processes, long seed) {
        start(processes, seed);
        for (EndpointSelector sender : senders) {
            sender.applyDirectives(now, 1, List.of(new EjectionDirective("a", EjectionDirective.Kind.OUT, 1, 0)));
        }
        double returnedAt = now;
        for (int second = 0; second < 10; second++) {
            for (int i = 0; i < processes - 1; i++) { // the last one is told nothing more
                if (i % 2 == 0 || second >= 3) {
                    senders[i].applyDirectives(now, 1,
                            List.of(new EjectionDirective("a", EjectionDirective.Kind.RETURNING, 1, now - returnedAt)));
                } else {
                    senders[i].applyDirectives(now, 1,
                            List.of(new EjectionDirective("a", EjectionDirective.Kind.OUT, 1, 0)));
                }
            }
            play(1);
        }
        assertLoadWithinCapacitySince(returnedAt);
    }

    @ParameterizedTest
    @CsvSource({"20,5", "20,6", "30,5", "30,6"})
    void oneSenderInTenStartsDuringTheSlowStartAndKnowsNothingForASecond(int processes, long seed) {
        start(processes, seed);
        ejectAndReturn(1, 1, 0);
        double returnedAt = now;
        play(2);
        int late = processes / 10;
        for (int i = 0; i < late; i++) {
            senders[i] = use(random.nextLong());
        }
        play(1);
        for (int i = 0; i < late; i++) {
            senders[i].applyDirectives(now, 1,
                    List.of(new EjectionDirective("a", EjectionDirective.Kind.RETURNING, 1, now - returnedAt)));
        }
        play(7);
        assertLoadWithinCapacitySince(returnedAt);
    }

    @ParameterizedTest
    @CsvSource({"2,7", "20,7", "30,7", "30,8"})
    void secondRestartDuringTheSlowStart(int processes, long seed) {
        start(processes, seed);
        ejectAndReturn(1, 1, 0);
        play(4);
        ejectAndReturn(2, 2, 0);
        double returnedAt = now;
        play(10);
        assertLoadWithinCapacitySince(returnedAt);
    }

    private void start(int processes, long seed) {
        System.out.println("seed " + seed);
        random = new SplittableRandom(seed);
        senders = new EndpointSelector[processes];
        rates = new double[processes];
        double sum = 0;
        for (int i = 0; i < processes; i++) {
            senders[i] = use(random.nextLong());
            rates[i] = 1 + i % 9; // the ninth sender calls nine times as often as the first
            sum += rates[i];
        }
        for (int i = 0; i < processes; i++) {
            rates[i] *= TOTAL_RATE / sum;
        }
    }

    private static EndpointSelector use(long seed) {
        return new EndpointSelector(new EndpointSelector.Settings(SERVERS, 0.25), new SplittableRandom(seed));
    }

    private void ejectAndReturn(long term, long token, double age) {
        for (EndpointSelector sender : senders) {
            sender.applyDirectives(now, term,
                    List.of(new EjectionDirective("a", EjectionDirective.Kind.OUT, token, 0)));
            sender.applyDirectives(now, term,
                    List.of(new EjectionDirective("a", EjectionDirective.Kind.RETURNING, token, age)));
        }
    }

    private void play(double seconds) {
        for (int steps = (int) Math.round(seconds / TIME_STEP); steps > 0; steps--) {
            now += TIME_STEP;
            while (!inFlight.isEmpty() && inFlight.peek()[2] <= now) {
                double[] call = inFlight.poll();
                senders[(int) call[0]].callEnded(now, (int) call[1], CallOutcome.ANSWERED);
            }
            for (int i = 0; i < senders.length; i++) {
                for (double left = rates[i] * TIME_STEP; random.nextDouble() < left; left--) {
                    int endpoint = senders[i].pick(now, -1);
                    inFlight.add(new double[] {i, endpoint, now + 0.05});
                    if (endpoint == 0) {
                        arrivals.add(now);
                    }
                }
            }
        }
    }

    private void assertLoadWithinCapacitySince(double returnedAt) {
        double[] times = arrivals.stream().mapToDouble(t -> t - returnedAt).filter(t -> t >= 0).toArray();
        assertThat(times.length).as("calls to the endpoint").isGreaterThan((int) USUAL_RATE);
        for (double from = 0; from < 8; from += 0.1) {
            for (double span : new double[] {0.5, 1, 3}) {
                double start = from;
                long calls = Arrays.stream(times).filter(t -> t >= start && t < start + span).count();
                double capacity = USUAL_RATE * (fullSpeedSeconds(from + span) - fullSpeedSeconds(from));
                assertThat((double) calls).as("calls from %.1f s for %.1f s", from, span)
                        .isLessThanOrEqualTo(capacity + 2 * Math.sqrt(capacity) + 2);
            }
        }
    }

    /** The endpoint's capacity in the first {@code t} seconds, in seconds at full speed. */
    private static double fullSpeedSeconds(double t) {
        double warming = Math.min(t, WARM_UP_SECONDS);
        return COLD_SPEED * warming + (1 - COLD_SPEED) * warming * warming / (2 * WARM_UP_SECONDS)
                + Math.max(0, t - WARM_UP_SECONDS);
    }
}
