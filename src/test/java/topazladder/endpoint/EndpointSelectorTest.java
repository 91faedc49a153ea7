package topazladder.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import topazladder.endpoint.EndpointSelector.State;

/** Endpoint selection and outlier detection of one instance, under a manual clock. */
class EndpointSelectorTest {
    private static final List<String> FOUR = List.of("a", "b", "c", "d");

    private double now = 100;

    private static EndpointSelector use(String... servers) {
        return new EndpointSelector(new EndpointSelector.Settings(List.of(servers), 0.25), new SplittableRandom(1));
    }

    /** Makes rounds of calls, 0.1 s apart; calls to the dead endpoints are refused. Returns the calls by endpoint. */
    private int[] makeCalls(EndpointSelector use, int rounds, int callsPerRound, String... dead) {
        int[] calls = new int[use.settings().endpoints().size()];
        for (int r = 0; r < rounds; r++) {
            now += 0.1;
            for (int i = 0; i < callsPerRound; i++) {
                int s = use.pick(now, -1);
                if (s >= 0) {
                    calls[s]++;
                    use.callEnded(now, s,
                            List.of(dead).contains(use.settings().endpoints().get(s)) ? CallOutcome.UNREACHABLE
                                    : CallOutcome.ANSWERED);
                }
            }
        }
        return calls;
    }

    @Test
    void callsAreSpreadOverAllEndpointsInUse() {
        int[] calls = makeCalls(use("a", "b", "c", "d"), 100, 4);
        assertThat(Arrays.stream(calls)).allMatch(n -> n > 60 && n < 140);
    }

    @Test
    void endpointWithFewerCallsInFlightIsPreferred() {
        EndpointSelector use = use("a", "b");
        int first = use.pick(now, -1);
        for (int i = 0; i < 20; i++) {
            // The first endpoint never answers, so it is chosen only where both draws hit it.
            int s = use.pick(now, -1);
            if (s != first) {
                use.callEnded(now, s, CallOutcome.ANSWERED);
            }
        }
        assertThat(use.describe(now).get(first == 0 ? "a" : "b")).contains("in hand");
        int toHanging = 0;
        for (int i = 0; i < 100; i++) {
            int s = use.pick(now, -1);
            toHanging += s == first ? 1 : 0;
            use.callAbandoned(s);
        }
        assertThat(toHanging).isLessThan(50);
    }

    @Test
    void nothingIsEjectedWithoutDirectiveWhileALeaderIsHeard() {
        EndpointSelector use = use("a", "b", "c", "d");
        use.applyDirectives(now, 1, List.of());
        makeCalls(use, 30, 4, "a");
        assertThat(use.state("a")).isEqualTo(State.IN_USE);
        assertThat(use.reports(now)).filteredOn(r -> r.health() == EndpointHealth.ILL)
                .extracting(EndpointReport::endpoint)
                .containsExactly("a");
        use.applyDirectives(now, 1, List.of(new EjectionDirective("a", EjectionDirective.Kind.OUT, 5, 0)));
        assertThat(use.state("a")).isEqualTo(State.OUT);
        assertThat(makeCalls(use, 30, 4, "a")[0]).isZero();
    }

    @Test
    void changedHealthIsNewsUntilReported() {
        EndpointSelector use = use("a", "b", "c", "d");
        use.applyDirectives(now, 1, List.of());
        assertThat(use.hasNews(now)).isFalse();
        makeCalls(use, 30, 4, "a");
        assertThat(use.hasNews(now)).isTrue();
        use.reports(now);
        assertThat(use.hasNews(now)).isFalse();
        makeCalls(use, 60, 4);
        assertThat(use.hasNews(now)).as("well again").isTrue();
    }

    @Test
    void withoutALeaderOwnEjectionsStayWithinTheShareAndAreNoneOfTwo() {
        EndpointSelector use = use("a", "b", "c", "d");
        makeCalls(use, 1, 4);
        now += EndpointSelector.LEADER_LOST_SECONDS + 1;
        callUntilEjected(use, "a");
        makeCalls(use, 10, 4, "a", "b");
        assertThat(use.state("b")).as("one of four, and no second").isEqualTo(State.IN_USE);
        EndpointSelector two = use("a", "b");
        makeCalls(two, 1, 4);
        now += EndpointSelector.LEADER_LOST_SECONDS + 1;
        makeCalls(two, 60, 4, "a");
        assertThat(two.state("a")).isEqualTo(State.IN_USE);
    }

    private void callUntilEjected(EndpointSelector use, String server) {
        for (int i = 0; i < 100 && use.state(server) != State.OWN_OUT; i++) {
            makeCalls(use, 1, 4, server);
        }
        assertThat(use.state(server)).isEqualTo(State.OWN_OUT);
    }

    @Test
    void newInstanceGivesTheLeaderTimeToBeHeard() {
        EndpointSelector use = use("a", "b", "c", "d");
        makeCalls(use, 40, 4, "a");
        assertThat(use.state("a")).isEqualTo(State.IN_USE);
    }

    @Test
    void noneIsEjectedWhereMostLookUnhealthy() {
        EndpointSelector use = use("a", "b", "c", "d");
        makeCalls(use, 1, 4);
        now += EndpointSelector.LEADER_LOST_SECONDS + 1;
        makeCalls(use, 60, 4, "a", "b", "c");
        assertThat(FOUR).allMatch(s -> use.state(s) != State.OWN_OUT);
        // An endpoint ejected before the others fail is tried again, as its failures may have had the same cause.
        EndpointSelector other = use("a", "b", "c", "d");
        makeCalls(other, 1, 4);
        now += EndpointSelector.LEADER_LOST_SECONDS + 1;
        callUntilEjected(other, "a");
        makeCalls(other, 15, 4, "b", "c", "d");
        assertThat(other.state("a")).isNotEqualTo(State.OWN_OUT);
    }

    @Test
    void permittedEjectionIsRetriedWithGrowingBackoff() {
        EndpointSelector use = use("a", "b", "c", "d");
        int ejections = 0;
        boolean wasEjected = false;
        for (int i = 0; i < 300; i++) {
            use.applyDirectives(now, 1, List.of(new EjectionDirective("a", EjectionDirective.Kind.MAY_EJECT, 0, 0)));
            makeCalls(use, 1, 4, "a");
            boolean isEjected = use.state("a") == State.OWN_OUT;
            ejections += isEjected && !wasEjected ? 1 : 0;
            wasEjected = isEjected;
        }
        assertThat(ejections).as("ejections in 30 s, with backoffs of 2, 4, 8 s").isBetween(2, 4);
    }

    @Test
    void returningEndpointGetsItsLoadInASlowStart() {
        EndpointSelector use = use("a", "b", "c", "d");
        use.applyDirectives(now, 1, List.of(new EjectionDirective("a", EjectionDirective.Kind.OUT, 5, 0)));
        makeCalls(use, 10, 4);
        double returnedAt = now;
        int firstSecond = 0;
        int eighthSecond = 0;
        for (int i = 0; i < 80; i++) {
            use.applyDirectives(now, 1,
                    List.of(new EjectionDirective("a", EjectionDirective.Kind.RETURNING, 5, now - returnedAt)));
            int n = makeCalls(use, 1, 20)[0];
            firstSecond += i < 10 ? n : 0;
            eighthSecond += i >= 70 ? n : 0;
        }
        assertThat(firstSecond).as("calls of 200 in its first second").isLessThan(15);
        assertThat(eighthSecond).as("calls of 200 in its eighth second").isBetween(30, 70);
        use.applyDirectives(now, 1, List.of());
        assertThat(use.state("a")).isEqualTo(State.IN_USE);
    }

    @Test
    void directivesOfAnEarlierTermAreIgnored() {
        EndpointSelector use = use("a", "b", "c");
        use.applyDirectives(now, 4, List.of(new EjectionDirective("a", EjectionDirective.Kind.OUT, 5, 0)));
        use.applyDirectives(now, 3, List.of());
        assertThat(use.state("a")).isEqualTo(State.OUT);
    }

    @Test
    void retriesAreBoundedToATenthOfTheCalls() {
        EndpointSelector use = use("a", "b");
        int retries = 0;
        for (int i = 0; i < 1000; i++) {
            use.callEnded(now, use.pick(now, -1), CallOutcome.UNREACHABLE);
            retries += use.tryAcquireRetry() ? 1 : 0;
        }
        assertThat(retries).isBetween(100, 115);
    }

    @Property(tries = 200)
    void inFlightIsNeverNegativeAndNoCallGoesToAnEjectedEndpoint(@ForAll long seed,
            @ForAll @IntRange(min = 1, max = 6) int servers) {
        SplittableRandom random = new SplittableRandom(seed);
        String[] names = new String[servers];
        for (int i = 0; i < servers; i++) {
            names[i] = "s" + i;
        }
        EndpointSelector use = use(names);
        for (int i = 0; i < 200; i++) {
            now += random.nextDouble(0.5);
            if (random.nextInt(4) == 0) {
                use.applyDirectives(now, 1,
                        random.nextBoolean() ? List.of() : List.of(new EjectionDirective("s" + random.nextInt(servers),
                                EjectionDirective.Kind.values()[random.nextInt(3)], random.nextInt(9),
                                random.nextDouble(20))));
            }
            int s = use.pick(now, random.nextInt(servers + 1) - 1);
            if (s >= 0) {
                assertThat(use.state(names[s])).isNotIn(State.OUT, State.OWN_OUT);
                if (random.nextInt(5) == 0) {
                    use.callAbandoned(s);
                } else {
                    use.callEnded(now, s, CallOutcome.values()[random.nextInt(CallOutcome.values().length)]);
                }
            }
        }
        assertThat(use.describe(now).values()).allMatch(t -> t.endsWith("in hand 0"));
    }
}
