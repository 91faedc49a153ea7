package topazladder.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import topazladder.emulator.Timeline;
import topazladder.membership.MemberStatus.State;

/** Failure detection under message loss, process pauses, network partitions and restarts, in virtual time. */
class MembershipTest {
    private static final double MAX_DELAY = 0.01;

    /** A cluster of members joined by a simulated network that can lose messages or be partitioned. */
    private static final class SimulatedCluster {
        private final Timeline time = new Timeline(0);
        private final SplittableRandom random;
        private final Map<String, Membership> members = new HashMap<>();
        private final Map<String, Integer> messagesSent = new HashMap<>();
        private final Set<String> paused = new HashSet<>();
        private final Map<String, List<Runnable>> backlog = new HashMap<>();
        private final Set<String> dead = new HashSet<>();
        private final Map<String, Integer> partitions = new HashMap<>();
        private double loss;
        private int mostUpdates;
        private int falselyGone;

        SimulatedCluster(long seed) {
            random = new SplittableRandom(seed);
        }

        static MemberStatus alive(String name, long processIncarnation) {
            return new MemberStatus(name, name, "", processIncarnation, 0, State.ALIVE, true, "");
        }

        void start(String name, long processIncarnation, String seed) {
            dead.remove(name);
            Membership member =
                    new Membership(Membership.Settings.DEFAULTS, alive(name, processIncarnation), random.split());
            members.put(name, member);
            carryOut(name, member, member.join(time.getAsDouble(), List.of(seed)));
            scheduleTick(name, member);
        }

        private void scheduleTick(String name, Membership member) {
            time.schedule(member.secondsUntilTick(time.getAsDouble()), () -> run(name, member, () -> {
                carryOut(name, member, member.tick(time.getAsDouble()));
                scheduleTick(name, member);
            }));
        }

        private void run(String name, Membership member, Runnable task) {
            if (members.get(name) != member || dead.contains(name)) {
                return;
            }
            if (paused.contains(name)) {
                backlog.computeIfAbsent(name, n -> new ArrayList<>()).add(() -> run(name, member, task));
            } else {
                task.run();
            }
        }

        void resume(String name) {
            paused.remove(name);
            List<Runnable> late = backlog.remove(name);
            if (late != null) {
                late.forEach(Runnable::run);
            }
        }

        private void carryOut(String from, Membership member, List<Membership.Step> steps) {
            for (Membership.Step step : steps) {
                if (step instanceof Membership.Step.Send send) {
                    messagesSent.merge(from, 1, Integer::sum);
                    mostUpdates = Math.max(mostUpdates, send.message().updates().size());
                    String to = send.address();
                    if (random.nextDouble() < loss
                            || !partitions.getOrDefault(from, 0).equals(partitions.getOrDefault(to, 0))) {
                        continue;
                    }
                    time.schedule(MAX_DELAY * random.nextDouble(), () -> {
                        Membership receiver = members.get(to);
                        if (receiver != null) {
                            run(to, receiver, () -> carryOut(to, receiver,
                                    receiver.handleMessage(time.getAsDouble(), from, send.message())));
                        }
                    });
                } else if (step instanceof Membership.Step.StatusChanged change
                        && change.current().state() == State.GONE
                        && !dead.contains(change.current().name()) && !paused.contains(change.current().name())
                        && partitions.getOrDefault(from, 0)
                                .equals(partitions.getOrDefault(change.current().name(), 0))) {
                    falselyGone++;
                }
            }
        }

        SimulatedCluster withMembers(int count) {
            for (int i = 0; i < count; i++) {
                start("n" + i, 1, "n0");
            }
            time.runUntil(15);
            return this;
        }

        State stateSeenBy(String observer, String name) {
            MemberStatus s = members.get(observer).member(name);
            return s == null ? null : s.state();
        }
    }

    @Test
    void allMembersFindEachOtherThroughOneSeed() {
        SimulatedCluster cluster = new SimulatedCluster(1).withMembers(40);
        cluster.members.values().forEach(m -> assertThat(m.size()).isEqualTo(40));
    }

    @Test
    void crashedMemberIsGoneForAllAndReturnsAsANewProcess() {
        SimulatedCluster cluster = new SimulatedCluster(2).withMembers(12);
        cluster.dead.add("n5");
        cluster.time.runUntil(60);
        cluster.members.forEach((name, m) -> assertThat(
                name.equals("n5") || cluster.stateSeenBy(name, "n5") == State.GONE).as(name).isTrue());
        cluster.start("n5", 2, "n0");
        cluster.time.runUntil(75);
        cluster.members.forEach((name, m) -> assertThat(cluster.stateSeenBy(name, "n5")).as(name)
                .isEqualTo(State.ALIVE));
        assertThat(cluster.falselyGone).isZero();
    }

    @Test
    void leavingMemberIsNotSuspectedFirst() {
        SimulatedCluster cluster = new SimulatedCluster(3).withMembers(12);
        Membership leaver = cluster.members.get("n7");
        cluster.carryOut("n7", leaver, leaver.leave(cluster.time.getAsDouble()));
        cluster.dead.add("n7");
        cluster.time.runUntil(cluster.time.getAsDouble() + 5);
        cluster.members.forEach((name, m) -> assertThat(
                name.equals("n7") || cluster.stateSeenBy(name, "n7") == State.LEFT).as(name).isTrue());
    }

    @Test
    void lossOfAThirdOfAllMessagesDeclaresNobodyGone() {
        SimulatedCluster cluster = new SimulatedCluster(4).withMembers(20);
        cluster.loss = 0.33;
        cluster.time.runUntil(240);
        assertThat(cluster.falselyGone).isZero();
    }

    @Test
    void partitionedHalvesDeclareEachOtherGoneAndMergeAfterwards() {
        SimulatedCluster cluster = new SimulatedCluster(5).withMembers(12);
        for (int i = 0; i < 6; i++) {
            cluster.partitions.put("n" + i, 1);
        }
        cluster.time.runUntil(90);
        assertThat(cluster.stateSeenBy("n1", "n8")).isEqualTo(State.GONE);
        assertThat(cluster.stateSeenBy("n8", "n1")).isEqualTo(State.GONE);
        cluster.partitions.clear();
        cluster.time.runUntil(150);
        cluster.members.forEach((name, m) -> assertThat(m.size()).as(name).isEqualTo(12));
    }

    @Test
    void memberWithRecurringPausesDoubtsItsOwnHealthAndDeclaresNobodyGone() {
        SimulatedCluster cluster = new SimulatedCluster(6).withMembers(12);
        for (int i = 0; i < 40; i++) {
            cluster.paused.add("n3");
            cluster.time.runUntil(cluster.time.getAsDouble() + 1.7);
            cluster.resume("n3");
            cluster.time.runUntil(cluster.time.getAsDouble() + 0.2);
        }
        assertThat(cluster.members.get("n3").healthScore()).isGreaterThan(2);
        assertThat(cluster.falselyGone).isZero();
        cluster.time.runUntil(cluster.time.getAsDouble() + 60);
        assertThat(cluster.members.get("n3").healthScore()).isLessThan(2);
        cluster.members.forEach((name, m) -> assertThat(cluster.stateSeenBy(name, "n3")).as(name)
                .isEqualTo(State.ALIVE));
    }

    @Test
    void messageRatePerMemberDoesNotGrowWithTheCluster() {
        double small = messagesPerMemberAndSecond(10);
        double large = messagesPerMemberAndSecond(300);
        assertThat(large).as("messages per member and second, %s in a cluster of 10", small).isLessThan(1.3 * small);
    }

    private static double messagesPerMemberAndSecond(int count) {
        SimulatedCluster cluster = new SimulatedCluster(7).withMembers(count);
        cluster.time.runUntil(40);
        cluster.messagesSent.clear();
        cluster.time.runUntil(100);
        assertThat(cluster.mostUpdates).isLessThanOrEqualTo(Membership.MAX_UPDATES_PER_MESSAGE);
        return cluster.messagesSent.values().stream().mapToInt(n -> n).sum() / 60.0 / count;
    }

    @Provide
    Arbitrary<MemberStatus> statuses() {
        return Combinators.combine(Arbitraries.longs().between(1, 2), Arbitraries.longs().between(0, 2),
                Arbitraries.of(State.class)).as(
                        (processIncarnation, incarnation, state) -> new MemberStatus("n1", "n1", "", processIncarnation,
                                incarnation, state, true, ""));
    }

    @Property(seed = "20261201", tries = 300)
    void exactlyOneOfTwoDifferentStatusesOverrulesTheOther(@ForAll("statuses") MemberStatus a,
            @ForAll("statuses") MemberStatus b) {
        assertThat(a.overrides(b) && b.overrides(a)).isFalse();
        assertThat(a.overrides(b) || b.overrides(a) || a.equals(b)).isTrue();
    }

    @Test
    void memberRefutesAFalseUpdateAboutItself() {
        Membership member =
                new Membership(Membership.Settings.DEFAULTS, SimulatedCluster.alive("n1", 4), new SplittableRandom(1));
        member.join(0, List.of());
        member.handleMessage(1, "n2", new Gossip.Ping(1, List.of(SimulatedCluster.alive("n2", 1),
                SimulatedCluster.alive("n1", 4).withState(State.GONE))));
        assertThat(member.self().incarnation()).isEqualTo(1);
        assertThat(member.self().state()).isEqualTo(State.ALIVE);
        assertThat(member.healthScore()).isEqualTo(1);
    }
}
