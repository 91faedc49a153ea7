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
import topazladder.membership.Standing.State;

/** Who is there, as members see it that lose messages, stand still, fall apart and come back; in virtual time. */
class MembershipTest {
    private static final double DELAY = 0.01;

    /** A few members, with links that a test may cut. */
    private static final class Hall {
        private final Timeline time = new Timeline(0);
        private final SplittableRandom chance;
        private final Map<String, Membership> members = new HashMap<>();
        private final Map<String, Integer> said = new HashMap<>();
        private final Set<String> still = new HashSet<>();
        private final Map<String, List<Runnable>> backlog = new HashMap<>();
        private final Set<String> dead = new HashSet<>();
        private final Map<String, Integer> sides = new HashMap<>();
        private double loss;
        private int largest;
        private int falselyGone;

        Hall(long seed) {
            chance = new SplittableRandom(seed);
        }

        static Standing standing(String name, long life) {
            return new Standing(name, name, "", life, 0, State.ALIVE, true, "");
        }

        void start(String name, long life, String seed) {
            dead.remove(name);
            Membership m = new Membership(Membership.Terms.USUAL, standing(name, life), chance.split());
            members.put(name, m);
            carryOut(name, m, m.join(time.getAsDouble(), List.of(seed)));
            tick(name, m);
        }

        private void tick(String name, Membership m) {
            time.schedule(m.next(time.getAsDouble()), () -> run(name, m, () -> {
                carryOut(name, m, m.tick(time.getAsDouble()));
                tick(name, m);
            }));
        }

        private void run(String name, Membership m, Runnable what) {
            if (members.get(name) != m || dead.contains(name)) {
                return;
            }
            if (still.contains(name)) {
                backlog.computeIfAbsent(name, n -> new ArrayList<>()).add(() -> run(name, m, what));
            } else {
                what.run();
            }
        }

        void resume(String name) {
            still.remove(name);
            List<Runnable> late = backlog.remove(name);
            if (late != null) {
                late.forEach(Runnable::run);
            }
        }

        private void carryOut(String from, Membership m, List<Membership.Step> steps) {
            for (Membership.Step s : steps) {
                if (s instanceof Membership.Step.Say say) {
                    said.merge(from, 1, Integer::sum);
                    largest = Math.max(largest, say.what().news().size());
                    String to = say.address();
                    if (chance.nextDouble() < loss
                            || !sides.getOrDefault(from, 0).equals(sides.getOrDefault(to, 0))) {
                        continue;
                    }
                    time.schedule(DELAY * chance.nextDouble(), () -> {
                        Membership other = members.get(to);
                        if (other != null) {
                            run(to, other, () -> carryOut(to, other,
                                    other.heard(time.getAsDouble(), from, say.what())));
                        }
                    });
                } else if (s instanceof Membership.Step.Changed c && c.now().state() == State.GONE
                        && !dead.contains(c.now().name()) && !still.contains(c.now().name())
                        && sides.getOrDefault(from, 0).equals(sides.getOrDefault(c.now().name(), 0))) {
                    falselyGone++;
                }
            }
        }

        Hall of(int count) {
            for (int i = 0; i < count; i++) {
                start("n" + i, 1, "n0");
            }
            time.runUntil(15);
            return this;
        }

        State seen(String by, String whom) {
            Standing s = members.get(by).other(whom);
            return s == null ? null : s.state();
        }
    }

    @Test
    void allFindEachOtherThroughOneMember() {
        Hall hall = new Hall(1).of(40);
        hall.members.values().forEach(m -> assertThat(m.size()).isEqualTo(40));
    }

    @Test
    void oneThatEndsIsGoneForAllAndBackUnderAnotherLife() {
        Hall hall = new Hall(2).of(12);
        hall.dead.add("n5");
        hall.time.runUntil(60);
        hall.members.forEach((name, m) -> assertThat(name.equals("n5") || hall.seen(name, "n5") == State.GONE)
                .as(name).isTrue());
        hall.start("n5", 2, "n0");
        hall.time.runUntil(75);
        hall.members.forEach((name, m) -> assertThat(hall.seen(name, "n5")).as(name).isEqualTo(State.ALIVE));
        assertThat(hall.falselyGone).isZero();
    }

    @Test
    void oneThatLeavesIsNotSuspectedFirst() {
        Hall hall = new Hall(3).of(12);
        Membership leaver = hall.members.get("n7");
        hall.carryOut("n7", leaver, leaver.leave(hall.time.getAsDouble()));
        hall.dead.add("n7");
        hall.time.runUntil(hall.time.getAsDouble() + 5);
        hall.members.forEach((name, m) -> assertThat(name.equals("n7") || hall.seen(name, "n7") == State.LEFT)
                .as(name).isTrue());
    }

    @Test
    void aThirdOfAllMessagesLostTakesNobodyForGone() {
        Hall hall = new Hall(4).of(20);
        hall.loss = 0.33;
        hall.time.runUntil(240);
        assertThat(hall.falselyGone).isZero();
    }

    @Test
    void twoHalvesTakeEachOtherForGoneAndFindEachOtherAgain() {
        Hall hall = new Hall(5).of(12);
        for (int i = 0; i < 6; i++) {
            hall.sides.put("n" + i, 1);
        }
        hall.time.runUntil(90);
        assertThat(hall.seen("n1", "n8")).isEqualTo(State.GONE);
        assertThat(hall.seen("n8", "n1")).isEqualTo(State.GONE);
        hall.sides.clear();
        hall.time.runUntil(150);
        hall.members.forEach((name, m) -> assertThat(m.size()).as(name).isEqualTo(12));
    }

    @Test
    void oneThatStandsStillNowAndThenSuspectsItselfAndTakesNobodyForGone() {
        Hall hall = new Hall(6).of(12);
        for (int i = 0; i < 40; i++) {
            hall.still.add("n3");
            hall.time.runUntil(hall.time.getAsDouble() + 1.7);
            hall.resume("n3");
            hall.time.runUntil(hall.time.getAsDouble() + 0.2);
        }
        assertThat(hall.members.get("n3").health()).isGreaterThan(2);
        assertThat(hall.falselyGone).isZero();
        hall.time.runUntil(hall.time.getAsDouble() + 60);
        assertThat(hall.members.get("n3").health()).isLessThan(2);
        hall.members.forEach((name, m) -> assertThat(hall.seen(name, "n3")).as(name).isEqualTo(State.ALIVE));
    }

    @Test
    void whatAMemberSaysInASecondDoesNotGrowWithTheHall() {
        double small = perMemberAndSecond(10);
        double large = perMemberAndSecond(300);
        assertThat(large).as("beside " + small + " in a hall of 10").isLessThan(1.3 * small);
    }

    private static double perMemberAndSecond(int count) {
        Hall hall = new Hall(7).of(count);
        hall.time.runUntil(40);
        hall.said.clear();
        hall.time.runUntil(100);
        assertThat(hall.largest).isLessThanOrEqualTo(Membership.MOST_NEWS);
        return hall.said.values().stream().mapToInt(n -> n).sum() / 60.0 / count;
    }

    @Provide
    Arbitrary<Standing> standings() {
        return Combinators.combine(Arbitraries.longs().between(1, 2), Arbitraries.longs().between(0, 2),
                Arbitraries.of(State.class)).as(
                        (life, inc, state) -> new Standing("n1", "n1", "", life, inc, state,
                                true, ""));
    }

    @Property(seed = "20261201", tries = 300)
    void ofTwoStandingsOneOverrulesWhicheverComesFirst(@ForAll("standings") Standing a,
            @ForAll("standings") Standing b) {
        assertThat(a.overrules(b) && b.overrules(a)).isFalse();
        assertThat(a.overrules(b) || b.overrules(a) || a.equals(b)).isTrue();
    }

    @Test
    void whatIsSaidOfOneThatIsThereItRefutes() {
        Membership m = new Membership(Membership.Terms.USUAL, Hall.standing("n1", 4), new SplittableRandom(1));
        m.join(0, List.of());
        m.heard(1, "n2", new Gossip.Ping(1, List.of(Hall.standing("n2", 1),
                Hall.standing("n1", 4).as(State.GONE))));
        assertThat(m.self().incarnation()).isEqualTo(1);
        assertThat(m.self().state()).isEqualTo(State.ALIVE);
        assertThat(m.health()).isEqualTo(1);
    }
}
