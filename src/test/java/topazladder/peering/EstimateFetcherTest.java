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
import topazladder.peering.EstimateFetcher.Cancel;
import topazladder.peering.EstimateFetcher.Fetch;
import topazladder.peering.EstimateFetcher.Limits;
import topazladder.peering.EstimateFetcher.Phase;
import topazladder.peering.EstimateFetcher.ScheduleTick;
import topazladder.peering.EstimateFetcher.Step;
import topazladder.peering.ShareLimiter.Decision;

/** Which peers starting instances ask, how often and until when, and how running ones limit their shares. */
class EstimateFetcherTest {
    private static final Limits BOUNDS = new Limits(0.15, 2, 6);

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
        private final Map<EstimateFetcher, Integer> wakes = new HashMap<>();
        private final List<String> asked = new ArrayList<>();
        private final Map<EstimateFetcher, Double> endedAt = new HashMap<>();
        private final BiFunction<String, PeerCandidate, Answer> answers;
        private double now;
        private int order;

        Simulation(BiFunction<String, PeerCandidate, Answer> answers) {
            this.answers = answers;
        }

        void at(double time, Runnable action) {
            events.add(new Event(time, order++, action));
        }

        EstimateFetcher start(String name, List<PeerCandidate> peers) {
            EstimateFetcher asking =
                    new EstimateFetcher(name, 1, "east", BOUNDS, new SplittableRandom(name.hashCode()));
            at(now, () -> carryOut(name, asking, asking.start(now, peers)));
            return asking;
        }

        void carryOut(String name, EstimateFetcher asking, List<Step> steps) {
            for (Step step : steps) {
                if (step instanceof Fetch ask) {
                    asked.add(name + ">" + ask.peer().name());
                    Answer answer = answers.apply(name, ask.peer());
                    at(now + answer.after(), () -> carryOut(name, asking, switch (answer.result()) {
                        case "learned" -> asking.shareReceived(now, ask.number());
                        case "postponed" -> asking.postponed(now, ask.number(), answer.retryAfter());
                        case "failed" -> asking.failed(now, ask.number());
                        default -> List.of();
                    }));
                } else if (step instanceof ScheduleTick wake) {
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

    private static List<PeerCandidate> peers(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> new PeerCandidate("p" + i, "127.0.0.1:" + (5000 + i), i % 2 == 0 ? "east" : "west"))
                .toList();
    }

    @Test
    void deadPeersAndTheAskerItselfAreGivenUpWithinTheLimits() {
        List<PeerCandidate> all = new ArrayList<>(peers(4));
        all.add(new PeerCandidate("me", "127.0.0.1:4999", "east"));
        Simulation simulation = new Simulation((asker, peer) -> DEAD);
        EstimateFetcher asking = simulation.start("me", all);
        simulation.run();
        assertThat(asking.phase()).isEqualTo(Phase.GIVEN_UP);
        assertThat(simulation.asked).hasSize(6).doesNotContain("me>me");
        assertThat(simulation.endedAt.get(asking)).isLessThan(10);
    }

    @Test
    void anAttemptThatHangsIsHedgedAndTheSecondPeersShareIsUsed() {
        PeerCandidate first = PeerRanking.of("me", 1, "east", peers(3)).get(0);
        Simulation simulation = new Simulation((asker, peer) -> peer.equals(first) ? HANGS : GOOD);
        EstimateFetcher asking = simulation.start("me", peers(3));
        simulation.run();
        assertThat(asking.phase()).isEqualTo(Phase.LEARNED);
        assertThat(simulation.asked).hasSize(2);
        assertThat(simulation.endedAt.get(asking)).isBetween(0.15, 0.2);
    }

    @Test
    void anAttemptThatIsBeingAnsweredIsNotHedged() {
        EstimateFetcher asking = new EstimateFetcher("me", 1, "", BOUNDS, new SplittableRandom(1));
        asking.start(0, peers(3));
        asking.partReceived(1);
        assertThat(asking.tick(1)).noneMatch(Fetch.class::isInstance);
        assertThat(asking.tick(2.1)).anyMatch(Cancel.class::isInstance);
    }

    @Test
    void attemptsThatAllHangEndByTheirTimeouts() {
        Simulation simulation = new Simulation((asker, peer) -> HANGS);
        EstimateFetcher asking = simulation.start("me", peers(10));
        simulation.run();
        assertThat(asking.phase()).isEqualTo(Phase.GIVEN_UP);
        assertThat(simulation.asked).hasSize(6);
        assertThat(simulation.endedAt.get(asking)).isLessThan(12);
    }

    @Test
    void twoColdInstancesThatAskEachOtherGiveUpAtOnce() {
        Simulation simulation = new Simulation((asker, peer) -> COLD);
        EstimateFetcher a = simulation.start("a", List.of(new PeerCandidate("b", "127.0.0.1:1", "")));
        EstimateFetcher b = simulation.start("b", List.of(new PeerCandidate("a", "127.0.0.1:2", "")));
        simulation.run();
        assertThat(List.of(a.phase(), b.phase())).containsOnly(Phase.GIVEN_UP);
        assertThat(simulation.asked).containsExactlyInAnyOrder("a>b", "b>a");
    }

    @Test
    void aHundredAskersOfOnePeerAreServedAtItsRateOrSentElsewhereWithinTheLimits() {
        ShareLimiter giving = new ShareLimiter(5, 0.02);
        Simulation[] simulation = new Simulation[1];
        List<Double> shareTimes = new ArrayList<>();
        simulation[0] = new Simulation((asker, peer) -> {
            Decision turn = giving.request(simulation[0].now, asker);
            if (turn.isGranted()) {
                shareTimes.add(simulation[0].now);
                return GOOD;
            }
            return new Answer(0.002, "postponed", turn.retryAfterSeconds());
        });
        List<EstimateFetcher> all =
                IntStream.range(0, 100).mapToObj(i -> simulation[0].start("c" + i, peers(1))).toList();
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
        List<PeerCandidate> ten = PeerRanking.of("me", 1, "east", peers(10));
        List<PeerCandidate> nine = PeerRanking.of("me", 1, "east", peers(9));
        assertThat(ten.stream().filter(nine::contains).toList()).isEqualTo(nine);
    }

    @Test
    void aNewListAddsNewPeersAndRepeatsNoneThatHadNoShare() {
        Simulation simulation = new Simulation((asker, peer) -> peer.name().equals("p3") ? GOOD : COLD);
        EstimateFetcher asking = new EstimateFetcher("me", 1, "", BOUNDS, new SplittableRandom(1));
        simulation.at(0, () -> simulation.carryOut("me", asking, asking.start(0, List.of(peers(1).get(0),
                new PeerCandidate("slow", "127.0.0.1:9", "")))));
        simulation.at(0.001, () -> simulation.carryOut("me", asking, asking.replacePeers(0.001, peers(4))));
        simulation.run();
        assertThat(asking.phase()).isEqualTo(Phase.LEARNED);
        assertThat(simulation.asked).doesNotHaveDuplicates().contains("me>p3");
    }

    @Test
    void sharesTakeNoMoreOfTheEventLoopThanTheirPart() {
        ShareLimiter giving = new ShareLimiter(1000, 0.02);
        assertThat(giving.request(0, "a").isGranted()).isTrue();
        giving.recordCost(0.01, 0.01);
        Decision turn = giving.request(0.02, "b");
        assertThat(turn.isGranted()).isFalse();
        assertThat(turn.retryAfterSeconds()).isCloseTo(0.49, Offset.offset(1e-9));
        assertThat(giving.request(0.3, "b").retryAfterSeconds()).as("a peer that comes too early keeps its reservation")
                .isCloseTo(0.21, Offset.offset(1e-9));
        assertThat(giving.request(0.52, "b").isGranted()).isTrue();
    }
}
