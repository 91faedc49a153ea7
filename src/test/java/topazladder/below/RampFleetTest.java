package topazladder.below;

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
 * What a server that comes back is met with by all processes together, in virtual time, by a ledger of its own. Beyond
 * the N calls that it can take then, two roots of N and two count as chance.
 */
class RampFleetTest {
    private static final List<String> SERVERS = List.of("a", "b", "c", "d", "e");
    /** Calls a second to all five; the one that comes back is used to a fifth, all that it can take when it is warm. */
    private static final double ALL = 500;
    private static final double USUAL = ALL / SERVERS.size();
    /** A cold one opens at this part of its speed and is warm after so many seconds, in even steps. */
    private static final double COLD = 0.25;
    private static final double WARM_AFTER = 8;
    private static final double STEP = 0.01;

    private final Deque<double[]> inFlight = new ArrayDeque<>(); // sender, server, when it ends
    private final List<Double> ledger = new ArrayList<>(); // when each call came to the first server
    private Use[] senders;
    private double[] rates;
    private RandomGenerator chance;
    private double now;

    @ParameterizedTest
    @CsvSource({"2,1", "2,2", "20,1", "20,2", "30,1", "30,2"})
    void unequalSendersThatAllKnowOfTheStart(int processes, long seed) {
        start(processes, seed);
        outAndBack(1, 1, 0);
        play(10);
        withinTheBudgetFrom(0);
    }

    @ParameterizedTest
    @CsvSource({"2,3", "20,3", "30,3", "30,4"})
    void halfLearnLateOfTheStartAndOneNever(int processes, long seed) {
        start(processes, seed);
        for (Use u : senders) {
            u.told(now, 1, List.of(new Word("a", Word.Kind.OUT, 1, 0)));
        }
        double began = now;
        for (int second = 0; second < 10; second++) {
            for (int i = 0; i < processes - 1; i++) { // the last keeps to what it heard before
                if (i % 2 == 0 || second >= 3) {
                    senders[i].told(now, 1, List.of(new Word("a", Word.Kind.RETURNING, 1, now - began)));
                } else {
                    senders[i].told(now, 1, List.of(new Word("a", Word.Kind.OUT, 1, 0)));
                }
            }
            play(1);
        }
        withinTheBudgetFrom(began);
    }

    @ParameterizedTest
    @CsvSource({"20,5", "20,6", "30,5", "30,6"})
    void oneInTenStartsInTheMiddleAndKnowsNothingForASecond(int processes, long seed) {
        start(processes, seed);
        outAndBack(1, 1, 0);
        double began = now;
        play(2);
        int late = processes / 10;
        for (int i = 0; i < late; i++) {
            senders[i] = use(chance.nextLong());
        }
        play(1);
        for (int i = 0; i < late; i++) {
            senders[i].told(now, 1, List.of(new Word("a", Word.Kind.RETURNING, 1, now - began)));
        }
        play(7);
        withinTheBudgetFrom(began);
    }

    @ParameterizedTest
    @CsvSource({"2,7", "20,7", "30,7", "30,8"})
    void secondRestartInTheRamp(int processes, long seed) {
        start(processes, seed);
        outAndBack(1, 1, 0);
        play(4);
        outAndBack(2, 2, 0);
        double began = now;
        play(10);
        withinTheBudgetFrom(began);
    }

    private void start(int processes, long seed) {
        System.out.println("seed " + seed);
        chance = new SplittableRandom(seed);
        senders = new Use[processes];
        rates = new double[processes];
        double sum = 0;
        for (int i = 0; i < processes; i++) {
            senders[i] = use(chance.nextLong());
            rates[i] = 1 + i % 9; // the first calls a ninth of what the ninth does
            sum += rates[i];
        }
        for (int i = 0; i < processes; i++) {
            rates[i] *= ALL / sum;
        }
    }

    private static Use use(long seed) {
        return new Use(new Use.Terms(SERVERS, 0.25), new SplittableRandom(seed));
    }

    private void outAndBack(long term, long token, double age) {
        for (Use u : senders) {
            u.told(now, term, List.of(new Word("a", Word.Kind.OUT, token, 0)));
            u.told(now, term, List.of(new Word("a", Word.Kind.RETURNING, token, age)));
        }
    }

    private void play(double seconds) {
        for (int steps = (int) Math.round(seconds / STEP); steps > 0; steps--) {
            now += STEP;
            while (!inFlight.isEmpty() && inFlight.peek()[2] <= now) {
                double[] call = inFlight.poll();
                senders[(int) call[0]].ended(now, (int) call[1], How.ANSWERED);
            }
            for (int i = 0; i < senders.length; i++) {
                for (double left = rates[i] * STEP; chance.nextDouble() < left; left--) {
                    int server = senders[i].pick(now, -1);
                    inFlight.add(new double[] {i, server, now + 0.05});
                    if (server == 0) {
                        ledger.add(now);
                    }
                }
            }
        }
    }

    private void withinTheBudgetFrom(double began) {
        double[] times = ledger.stream().mapToDouble(t -> t - began).filter(t -> t >= 0).toArray();
        assertThat(times.length).as("calls that came at all").isGreaterThan((int) USUAL);
        for (double from = 0; from < 8; from += 0.1) {
            for (double span : new double[] {0.5, 1, 3}) {
                double start = from;
                long came = Arrays.stream(times).filter(t -> t >= start && t < start + span).count();
                double budget = USUAL * (capacity(from + span) - capacity(from));
                assertThat((double) came).as("calls from %.1f s for %.1f s", from, span)
                        .isLessThanOrEqualTo(budget + 2 * Math.sqrt(budget) + 2);
            }
        }
    }

    /** Seconds of full speed that it has had by then. */
    private static double capacity(double t) {
        double ramp = Math.min(t, WARM_AFTER);
        return COLD * ramp + (1 - COLD) * ramp * ramp / (2 * WARM_AFTER) + Math.max(0, t - WARM_AFTER);
    }
}
