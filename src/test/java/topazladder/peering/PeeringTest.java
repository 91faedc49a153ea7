package topazladder.peering;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BiFunction;
import java.util.stream.IntStream;
import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;
import topazladder.peering.Asking.Ask;
import topazladder.peering.Asking.Bounds;
import topazladder.peering.Asking.Drop;
import topazladder.peering.Asking.Phase;
import topazladder.peering.Asking.Step;
import topazladder.peering.Asking.Wake;
import topazladder.peering.Giving.Turn;

/** Askers and givers on a clock in hand: whom they ask, how often, and when they stop. */
class PeeringTest {
    private static final Bounds BOUNDS = new Bounds(0.15, 2, 6);

    /** What a peer does with a question: how long it takes, and what comes of it. */
    private record Fate(double after, String what, double comeBackIn) {
    }

    private static final Fate HANGS = new Fate(99, "nothing", 0);
    private static final Fate DEAD = new Fate(0.001, "failed", 0);
    private static final Fate COLD = new Fate(0.002, "later", 0);
    private static final Fate GOOD = new Fate(0.01, "learned", 0);

    /** Plays askers against peers until all are done; what was asked when is kept. */
    private static final class Hall {
        private record Due(double at, int order, Runnable what) {
        }

        private final PriorityQueue<Due> due =
                new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingInt(Due::order));
        private final Map<Asking, Integer> wakes = new HashMap<>();
        private final List<String> asked = new ArrayList<>();
        private final Map<Asking, Double> over = new HashMap<>();
        private final BiFunction<String, Candidate, Fate> fate;
        private double now;
        private int order;

        Hall(BiFunction<String, Candidate, Fate> fate) {
            this.fate = fate;
        }

        void at(double time, Runnable what) {
            due.add(new Due(time, order++, what));
        }

        Asking start(String name, List<Candidate> peers) {
            Asking asking = new Asking(name, 1, "east", BOUNDS, new SplittableRandom(name.hashCode()));
            at(now, () -> carryOut(name, asking, asking.start(now, peers)));
            return asking;
        }

        void carryOut(String name, Asking asking, List<Step> steps) {
            for (Step step : steps) {
                if (step instanceof Ask ask) {
                    asked.add(name + ">" + ask.peer().name());
                    Fate f = fate.apply(name, ask.peer());
                    at(now + f.after(), () -> carryOut(name, asking, switch (f.what()) {
                        case "learned" -> asking.learned(now, ask.number());
                        case "later" -> asking.later(now, ask.number(), f.comeBackIn());
                        case "failed" -> asking.failed(now, ask.number());
                        default -> List.of();
                    }));
                } else if (step instanceof Wake w) {
                    int mine = wakes.merge(asking, 1, Integer::sum);
                    at(now + w.seconds(), () -> {
                        if (wakes.get(asking) == mine) {
                            carryOut(name, asking, asking.tick(now));
                        }
                    });
                }
            }
            if (asking.phase() != Phase.ASKING) {
                over.putIfAbsent(asking, now);
            }
        }

        Hall play() {
            for (int i = 0; !due.isEmpty() && i < 100_000; i++) {
                Due next = due.poll();
                now = Math.max(now, next.at());
                next.what().run();
            }
            return this;
        }
    }

    private static List<Candidate> peers(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> new Candidate("p" + i, "127.0.0.1:" + (5000 + i), i % 2 == 0 ? "east" : "west"))
                .toList();
    }

    @Test
    void aListOfDeadOnesAndOneselfIsGivenUpWithinBounds() {
        List<Candidate> all = new ArrayList<>(peers(4));
        all.add(new Candidate("me", "127.0.0.1:4999", "east"));
        Hall hall = new Hall((who, peer) -> DEAD);
        Asking asking = hall.start("me", all);
        hall.play();
        assertThat(asking.phase()).isEqualTo(Phase.GIVEN_UP);
        assertThat(hall.asked).hasSize(6).doesNotContain("me>me");
        assertThat(hall.over.get(asking)).isLessThan(10);
    }

    @Test
    void aPeerThatHangsIsHedgedAndTheSecondOnesShareCounts() {
        Candidate first = Ranking.of("me", 1, "east", peers(3)).get(0);
        Hall hall = new Hall((who, peer) -> peer.equals(first) ? HANGS : GOOD);
        Asking asking = hall.start("me", peers(3));
        hall.play();
        assertThat(asking.phase()).isEqualTo(Phase.LEARNED);
        assertThat(hall.asked).hasSize(2);
        assertThat(hall.over.get(asking)).isBetween(0.15, 0.2);
    }

    @Test
    void aPeerThatWasHeardIsNotHedged() {
        Asking asking = new Asking("me", 1, "", BOUNDS, new SplittableRandom(1));
        asking.start(0, peers(3));
        asking.heard(1);
        assertThat(asking.tick(1)).noneMatch(Ask.class::isInstance);
        assertThat(asking.tick(2.1)).anyMatch(Drop.class::isInstance);
    }

    @Test
    void allHangAndTheTriesEndByTheirOwnTime() {
        Hall hall = new Hall((who, peer) -> HANGS);
        Asking asking = hall.start("me", peers(10));
        hall.play();
        assertThat(asking.phase()).isEqualTo(Phase.GIVEN_UP);
        assertThat(hall.asked).hasSize(6);
        assertThat(hall.over.get(asking)).isLessThan(12);
    }

    @Test
    void twoColdOnesThatAskEachOtherGiveUpAtOnce() {
        Hall hall = new Hall((who, peer) -> COLD);
        Asking a = hall.start("a", List.of(new Candidate("b", "127.0.0.1:1", "")));
        Asking b = hall.start("b", List.of(new Candidate("a", "127.0.0.1:2", "")));
        hall.play();
        assertThat(List.of(a.phase(), b.phase())).containsOnly(Phase.GIVEN_UP);
        assertThat(hall.asked).containsExactlyInAnyOrder("a>b", "b>a");
    }

    @Test
    void aHundredThatAskOneAreServedAtItsRateOrSentElsewhereAndNoneAsksMoreThanBounded() {
        Giving giving = new Giving(5, 0.02);
        Hall[] hall = new Hall[1];
        List<Double> given = new ArrayList<>();
        hall[0] = new Hall((who, peer) -> {
            Turn turn = giving.ask(hall[0].now, who);
            if (turn.now()) {
                given.add(hall[0].now);
                return GOOD;
            }
            return new Fate(0.002, "later", turn.comeBackIn());
        });
        List<Asking> all = IntStream.range(0, 100).mapToObj(i -> hall[0].start("c" + i, peers(1))).toList();
        hall[0].play();
        assertThat(all).allMatch(a -> a.phase() != Phase.ASKING);
        long learned = all.stream().filter(a -> a.phase() == Phase.LEARNED).count();
        // Five seconds of turns at five a second, and the first at once; who was told to return was served then.
        assertThat(learned).isEqualTo(given.size()).isBetween(25L, 27L);
        assertThat(hall[0].asked).hasSizeLessThanOrEqualTo(100 + 27 * 2);
        for (double t : given) {
            assertThat(given.stream().filter(g -> g >= t && g < t + 1).count()).isLessThanOrEqualTo(7);
        }
        assertThat(giving.waiting()).isZero();
    }

    @Test
    void aReturningHallSpreadsOverThoseThatRun() {
        Map<String, Integer> firsts = new HashMap<>();
        for (int i = 0; i < 1000; i++) {
            firsts.merge(Ranking.of("c" + i, i, "", peers(10)).get(0).name(), 1, Integer::sum);
        }
        assertThat(firsts.values()).hasSize(10).allSatisfy(n -> assertThat(n).isBetween(65, 140));
    }

    @Test
    void ofTwoHallsTheOwnIsAskedFirstTwiceAsOften() {
        long own = IntStream.range(0, 3000)
                .filter(i -> Ranking.of("c" + i, i, "east", peers(10)).get(0).hall().equals("east")).count();
        assertThat(own).isBetween(1900L, 2100L);
    }

    @Test
    void aPeerThatGoesMovesNoOther() {
        List<Candidate> ten = Ranking.of("me", 1, "east", peers(10));
        List<Candidate> nine = Ranking.of("me", 1, "east", peers(9));
        assertThat(ten.stream().filter(nine::contains).toList()).isEqualTo(nine);
    }

    @Test
    void aNewListAddsWhoeverIsNewAndAsksNobodyAgainWhoHadNothing() {
        Hall hall = new Hall((who, peer) -> peer.name().equals("p3") ? GOOD : COLD);
        Asking asking = new Asking("me", 1, "", BOUNDS, new SplittableRandom(1));
        hall.at(0, () -> hall.carryOut("me", asking, asking.start(0, List.of(peers(1).get(0),
                new Candidate("slow", "127.0.0.1:9", "")))));
        hall.at(0.001, () -> hall.carryOut("me", asking, asking.replace(0.001, peers(4))));
        hall.play();
        assertThat(asking.phase()).isEqualTo(Phase.LEARNED);
        assertThat(hall.asked).doesNotHaveDuplicates().contains("me>p3");
    }

    @Test
    void sharesTakeNoMoreOfTheLoopThanTheirPart() {
        Giving giving = new Giving(1000, 0.02);
        assertThat(giving.ask(0, "a").now()).isTrue();
        giving.took(0.01, 0.01);
        Turn turn = giving.ask(0.02, "b");
        assertThat(turn.now()).isFalse();
        assertThat(turn.comeBackIn()).isCloseTo(0.49, Offset.offset(1e-9));
        assertThat(giving.ask(0.3, "b").comeBackIn()).as("who comes early keeps its turn")
                .isCloseTo(0.21, Offset.offset(1e-9));
        assertThat(giving.ask(0.52, "b").now()).isTrue();
    }
}
