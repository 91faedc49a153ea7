package topazladder.below;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import topazladder.below.Use.State;

/** One instance's use of servers below, with a clock in hand. */
class UseTest {
    private static final List<String> FOUR = List.of("a", "b", "c", "d");
    private double now = 100;

    private static Use use(String... servers) {
        return new Use(new Use.Terms(List.of(servers), 0.25), new SplittableRandom(1));
    }

    /** So many rounds of calls, a tenth of a second apart; those to the servers named come to nothing. */
    private int[] calls(Use use, int rounds, int a, String... dead) {
        int[] to = new int[use.terms().servers().size()];
        for (int r = 0; r < rounds; r++) {
            now += 0.1;
            for (int i = 0; i < a; i++) {
                int s = use.pick(now, -1);
                if (s >= 0) {
                    to[s]++;
                    use.ended(now, s, List.of(dead).contains(use.terms().servers().get(s)) ? How.REFUSED
                            : How.ANSWERED);
                }
            }
        }
        return to;
    }

    @Test
    void callsAreSpreadOverAllThatAreInUse() {
        int[] to = calls(use("a", "b", "c", "d"), 100, 4);
        assertThat(Arrays.stream(to)).allMatch(n -> n > 60 && n < 140);
    }

    @Test
    void ofTwoTheOneWithLessInFlightIsTaken() {
        Use use = use("a", "b");
        int first = use.pick(now, -1);
        for (int i = 0; i < 20; i++) {
            // What hangs is given no more than what is drawn twice by chance.
            int s = use.pick(now, -1);
            if (s != first) {
                use.ended(now, s, How.ANSWERED);
            }
        }
        assertThat(use.told(now).get(first == 0 ? "a" : "b")).contains("in hand");
        int more = 0;
        for (int i = 0; i < 100; i++) {
            int s = use.pick(now, -1);
            more += s == first ? 1 : 0;
            use.dropped(s);
        }
        assertThat(more).isLessThan(50);
    }

    @Test
    void whileALeaderSpeaksToItNothingIsLeftOutWithoutItsWord() {
        Use use = use("a", "b", "c", "d");
        use.told(now, 1, List.of());
        calls(use, 30, 4, "a");
        assertThat(use.state("a")).isEqualTo(State.IN_USE);
        assertThat(use.reports(now)).filteredOn(r -> r.look() == Look.ILL).extracting(Report::server)
                .containsExactly("a");
        use.told(now, 1, List.of(new Word("a", Word.Kind.OUT, 5, 0)));
        assertThat(use.state("a")).isEqualTo(State.OUT);
        assertThat(calls(use, 30, 4, "a")[0]).isZero();
    }

    @Test
    void itTellsOnceThatAServerLooksOtherwise() {
        Use use = use("a", "b", "c", "d");
        use.told(now, 1, List.of());
        assertThat(use.news(now)).isFalse();
        calls(use, 30, 4, "a");
        assertThat(use.news(now)).isTrue();
        use.reports(now);
        assertThat(use.news(now)).isFalse();
        calls(use, 60, 4);
        assertThat(use.news(now)).as("well again").isTrue();
    }

    @Test
    void aloneItLeavesOutNoMoreThanItsShareAndNoneOfTwo() {
        Use use = use("a", "b", "c", "d");
        calls(use, 1, 4);
        now += Use.ALONE_AFTER + 1;
        untilOut(use, "a");
        calls(use, 10, 4, "a", "b");
        assertThat(use.state("b")).as("one of four, and no second").isEqualTo(State.IN_USE);
        Use two = use("a", "b");
        calls(two, 1, 4);
        now += Use.ALONE_AFTER + 1;
        calls(two, 60, 4, "a");
        assertThat(two.state("a")).isEqualTo(State.IN_USE);
    }

    private void untilOut(Use use, String server) {
        for (int i = 0; i < 100 && use.state(server) != State.OWN_OUT; i++) {
            calls(use, 1, 4, server);
        }
        assertThat(use.state(server)).isEqualTo(State.OWN_OUT);
    }

    @Test
    void oneThatHasJustStartedHasNotBeenToldYetAndIsNotAloneForThat() {
        Use use = use("a", "b", "c", "d");
        calls(use, 40, 4, "a");
        assertThat(use.state("a")).isEqualTo(State.IN_USE);
    }

    @Test
    void whereMostLookIllItLeavesNoneOut() {
        Use use = use("a", "b", "c", "d");
        calls(use, 1, 4);
        now += Use.ALONE_AFTER + 1;
        calls(use, 60, 4, "a", "b", "c");
        assertThat(FOUR).allMatch(s -> use.state(s) != State.OWN_OUT);
        // One that was left out when the others follow is tried again: it says nothing against it any more.
        Use other = use("a", "b", "c", "d");
        calls(other, 1, 4);
        now += Use.ALONE_AFTER + 1;
        untilOut(other, "a");
        calls(other, 15, 4, "b", "c", "d");
        assertThat(other.state("a")).isNotEqualTo(State.OWN_OUT);
    }

    @Test
    void whatTheLeaderLetsItAvoidItLeavesOutAndTriesAgainLaterEachTime() {
        Use use = use("a", "b", "c", "d");
        int outs = 0;
        boolean was = false;
        for (int i = 0; i < 300; i++) {
            use.told(now, 1, List.of(new Word("a", Word.Kind.AVOID, 0, 0)));
            calls(use, 1, 4, "a");
            boolean is = use.state("a") == State.OWN_OUT;
            outs += is && !was ? 1 : 0;
            was = is;
        }
        assertThat(outs).as("times in 30 s, with waits of 2, 4, 8 s").isBetween(2, 4);
    }

    @Test
    void oneThatReturnsIsGivenALittleAtFirstAndTwiceAsMuchEachStep() {
        Use use = use("a", "b", "c", "d");
        use.told(now, 1, List.of(new Word("a", Word.Kind.OUT, 5, 0)));
        calls(use, 10, 4);
        double back = now;
        int first = 0;
        int later = 0;
        for (int i = 0; i < 80; i++) {
            use.told(now, 1, List.of(new Word("a", Word.Kind.RETURNING, 5, now - back)));
            int n = calls(use, 1, 20)[0];
            first += i < 10 ? n : 0;
            later += i >= 70 ? n : 0;
        }
        assertThat(first).as("calls of 200 in its first second").isLessThan(15);
        assertThat(later).as("calls of 200 in its eighth second").isBetween(30, 70);
        use.told(now, 1, List.of());
        assertThat(use.state("a")).isEqualTo(State.IN_USE);
    }

    @Test
    void theWordOfAnEarlierLeaderSaysNothingAgainstALaterOnes() {
        Use use = use("a", "b", "c");
        use.told(now, 4, List.of(new Word("a", Word.Kind.OUT, 5, 0)));
        use.told(now, 3, List.of());
        assertThat(use.state("a")).isEqualTo(State.OUT);
    }

    @Test
    void oneCallInTenMayBeMadeTwiceAndAStormMayNot() {
        Use use = use("a", "b");
        int repeats = 0;
        for (int i = 0; i < 1000; i++) {
            use.ended(now, use.pick(now, -1), How.REFUSED);
            repeats += use.mayRepeat() ? 1 : 0;
        }
        assertThat(repeats).isBetween(100, 115);
    }

    @Property(tries = 200)
    void inFlightNeverFallsBelowNothingAndNoCallGoesToOneThatIsOut(@ForAll long seed,
            @ForAll @IntRange(min = 1, max = 6) int servers) {
        SplittableRandom chance = new SplittableRandom(seed);
        String[] names = new String[servers];
        for (int i = 0; i < servers; i++) {
            names[i] = "s" + i;
        }
        Use use = use(names);
        for (int i = 0; i < 200; i++) {
            now += chance.nextDouble(0.5);
            if (chance.nextInt(4) == 0) {
                use.told(now, 1, chance.nextBoolean() ? List.of() : List.of(new Word("s" + chance.nextInt(servers),
                        Word.Kind.values()[chance.nextInt(3)], chance.nextInt(9), chance.nextDouble(20))));
            }
            int s = use.pick(now, chance.nextInt(servers + 1) - 1);
            if (s >= 0) {
                assertThat(use.state(names[s])).isNotIn(State.OUT, State.OWN_OUT);
                if (chance.nextInt(5) == 0) {
                    use.dropped(s);
                } else {
                    use.ended(now, s, How.values()[chance.nextInt(How.values().length)]);
                }
            }
        }
        assertThat(use.told(now).values()).allMatch(t -> t.endsWith("in hand 0"));
    }
}
