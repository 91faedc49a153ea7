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

/** Which peers starting instances ask, how often and until when, and how running ones limit their shares. */
class PeeringTest {
    private static final Bounds BOUNDS = new Bounds(0.15, 2, 6);

    /** How a peer answers: after how many seconds, and with which result. */
    private record Answer(double after, String result, double retryAfter) {
    }

    private static final Answer HANGS = new Answer(99, "none", 0);
    private static final Answer DEAD = new Answer(0.001, "failed", 0);
    private static final Answer COLD = new Answer(0.002, "postponed", 0);
    private static final Answer GOOD = new Answer(0.01, "learned", 0);

    /** Simulates askers and peers on a virtual clock until all are done, and records who asked whom. */
    private static final class Simulation {
        private record Event(double at, int order, Runnable action) {
        }

        private final PriorityQueue<Event> events =
                new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingInt(Event::order));
        private final Map<Asking, Integer> wakes = new HashMap<>();
        private final List<String> asked = new ArrayList<>();
        private final Map<Asking, Double> endedAt = new HashMap<>();
        private final BiFunction<String, Candidate, Answer> answers;
        private double now;
        private int order;

        Simulation(BiFunction<String, Candidate, Answer> answers) {
            this.answers = answers;
        }

        void at(double time, Runnable action) {
            events.add(new Event(time, order++, action));
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
                    Answer answer = answers.apply(name, ask.peer());
                    at(now + answer.after(), () -> carryOut(name, asking, switch (answer.result()) {
                        case "learned" -> asking.learned(now, ask.number());
                        case "postponed" -> asking.later(now, ask.number(), answer.retryAfter());
                        case "failed" -> asking.failed(now, ask.number());
                        default -> List.of();
                    }));
                } else if (step instanceof Wake wake) {
                    int wakeNumber = wakes.merge(asking, 1, Integer::sum);
                    at(now + wake.seconds(), () -> {
                        if (wakes.get(asking) == wakeNumber) {
                            carryOut(name, asking, asking.tick(now));
                        }
                    });
                }
            }
            if (asking.phase() != Phase.ASKING) {
                endedAt.putIfAbsent(asking, now);
            }
        }

        Simulation run() {
            for (int i = 0; !events.isEmpty() && i < 100_000; i++) {
                Event event = events.poll();
                now = Math.max(now, event.at());
                event.action().run();
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
    void deadPeersAndTheAskerItselfAreGivenUpWithinTheLimits() {
        List<Candidate> all = new ArrayList<>(peers(4));
        all.add(new Candidate("me", "127.0.0.1:4999", "east"));
        Simulation simulation = new Simulation((asker, peer) -> DEAD);
        Asking asking = simulation.start("me", all);
        simulation.run();
        assertThat(asking.phase()).isEqualTo(Phase.GIVEN_UP);
        assertThat(simulation.asked).hasSize(6).doesNotContain("me>me");
        assertThat(simulation.endedAt.get(asking)).isLessThan(10);
    }

    @Test
    void anAttemptThatHangsIsHedgedAndTheSecondPeersShareIsUsed() {
        Candidate first = PeerRanking.of("me", 1, "east", peers(3)).get(0);
        Simulation simulation = new Simulation((asker, peer) -> peer.equals(first) ? HANGS : GOOD);
        Asking asking = simulation.start("me", peers(3));
        simulation.run();
        assertThat(asking.phase()).isEqualTo(Phase.LEARNED);
        assertThat(simulation.asked).hasSize(2);
        assertThat(simulation.endedAt.get(asking)).isBetween(0.15, 0.2);
    }

    @Test
    void anAttemptThatIsBeingAnsweredIsNotHedged() {
        Asking asking = new Asking("me", 1, "", BOUNDS, new SplittableRandom(1));
        asking.start(0, peers(3));
        asking.heard(1);
        assertThat(asking.tick(1)).noneMatch(Ask.class::isInstance);
        assertThat(asking.tick(2.1)).anyMatch(Drop.class::isInstance);
    }

    @Test
    void attemptsThatAllHangEndByTheirTimeouts() {
        Simulation simulation = new Simulation((asker, peer) -> HANGS);
        Asking asking = simulation.start("me", peers(10));
        simulation.run();
        assertThat(asking.phase()).isEqualTo(Phase.GIVEN_UP);
        assertThat(simulation.asked).hasSize(6);
        assertThat(simulation.endedAt.get(asking)).isLessThan(12);
    }

    @Test
    void twoColdInstancesThatAskEachOtherGiveUpAtOnce() {
        Simulation simulation = new Simulation((asker, peer) -> COLD);
        Asking a = simulation.start("a", List.of(new Candidate("b", "127.0.0.1:1", "")));
        Asking b = simulation.start("b", List.of(new Candidate("a", "127.0.0.1:2", "")));
        simulation.run();
        assertThat(List.of(a.phase(), b.phase())).containsOnly(Phase.GIVEN_UP);
        assertThat(simulation.asked).containsExactlyInAnyOrder("a>b", "b>a");
    }

    @Test
    void aHundredAskersOfOnePeerAreServedAtItsRateOrSentElsewhereWithinTheLimits() {
        Giving giving = new Giving(5, 0.02);
        Simulation[] simulation = new Simulation[1];
        List<Double> shareTimes = new ArrayList<>();
        simulation[0] = new Simulation((asker, peer) -> {
            Turn turn = giving.ask(simulation[0].now, asker);
            if (turn.now()) {
                shareTimes.add(simulation[0].now);
                return GOOD;
            }
            return new Answer(0.002, "postponed", turn.comeBackIn());
        });
        List<Asking> all = IntStream.range(0, 100).mapToObj(i -> simulation[0].start("c" + i, peers(1))).toList();
        simulation[0].run();
        assertThat(all).allMatch(a -> a.phase() != Phase.ASKING);
        long learned = all.stream().filter(a -> a.phase() == Phase.LEARNED).count();
        // Reservations for five seconds at five a second, and the first share at once; all reservations were served.
        assertThat(learned).isEqualTo(shareTimes.size()).isBetween(25L, 27L);
        assertThat(simulation[0].asked).hasSizeLessThanOrEqualTo(100 + 27 * 2);
        for (double t : shareTimes) {
            assertThat(shareTimes.stream().filter(g -> g >= t && g < t + 1).count()).isLessThanOrEqualTo(7);
        }
        assertThat(giving.reservationCount()).isZero();
    }

    @Test
    void aZoneThatRestartsSpreadsOverTheRunningPeers() {
        Map<String, Integer> firsts = new HashMap<>();
        for (int i = 0; i < 1000; i++) {
            firsts.merge(PeerRanking.of("c" + i, i, "", peers(10)).get(0).name(), 1, Integer::sum);
        }
        assertThat(firsts.values()).hasSize(10).allSatisfy(n -> assertThat(n).isBetween(65, 140));
    }

    @Test
    void ofTwoZonesTheOwnIsAskedFirstTwiceAsOften() {
        long own = IntStream.range(0, 3000)
                .filter(i -> PeerRanking.of("c" + i, i, "east", peers(10)).get(0).zone().equals("east")).count();
        assertThat(own).isBetween(1900L, 2100L);
    }

    @Test
    void aPeerThatIsRemovedChangesNothingInTheOrderOfTheOthers() {
        List<Candidate> ten = PeerRanking.of("me", 1, "east", peers(10));
        List<Candidate> nine = PeerRanking.of("me", 1, "east", peers(9));
        assertThat(ten.stream().filter(nine::contains).toList()).isEqualTo(nine);
    }

    @Test
    void aNewListAddsNewPeersAndRepeatsNoneThatHadNoShare() {
        Simulation simulation = new Simulation((asker, peer) -> peer.name().equals("p3") ? GOOD : COLD);
        Asking asking = new Asking("me", 1, "", BOUNDS, new SplittableRandom(1));
        simulation.at(0, () -> simulation.carryOut("me", asking, asking.start(0, List.of(peers(1).get(0),
                new Candidate("slow", "127.0.0.1:9", "")))));
        simulation.at(0.001, () -> simulation.carryOut("me", asking, asking.replace(0.001, peers(4))));
        simulation.run();
        assertThat(asking.phase()).isEqualTo(Phase.LEARNED);
        assertThat(simulation.asked).doesNotHaveDuplicates().contains("me>p3");
    }

    @Test
    void sharesTakeNoMoreOfTheEventLoopThanTheirPart() {
        Giving giving = new Giving(1000, 0.02);
        assertThat(giving.ask(0, "a").now()).isTrue();
        giving.took(0.01, 0.01);
        Turn turn = giving.ask(0.02, "b");
        assertThat(turn.now()).isFalse();
        assertThat(turn.comeBackIn()).isCloseTo(0.49, Offset.offset(1e-9));
        assertThat(giving.ask(0.3, "b").comeBackIn()).as("a peer that comes too early keeps its reservation")
                .isCloseTo(0.21, Offset.offset(1e-9));
        assertThat(giving.ask(0.52, "b").now()).isTrue();
    }
}
