package topazladder.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/** The ledger's invariants hold whatever is proposed, in whatever order, however often. */
class LeaseStateMachineTest {
    private static final LeaseSettings PROBE = new LeaseSettings("probe", 2, 3);
    private static final LeaseSettings SWEEP = new LeaseSettings("sweep", 2, 3);

    @Provide
    Arbitrary<List<LeaseCommand>> ops() {
        Arbitrary<String> duties = Arbitraries.of("probe", "sweep", "other");
        Arbitrary<Long> tokens = Arbitraries.longs().between(0, 6);
        Arbitrary<MemberIdentity> members =
                Combinators.combine(Arbitraries.of("n0", "n1"), Arbitraries.longs().between(1, 3))
                        .as(MemberIdentity::new);
        Arbitrary<LeaseCommand> any = Arbitraries.oneOf(
                Combinators.combine(duties, members, tokens).as(LeaseCommand.Grant::new),
                Combinators.combine(duties, tokens).as(LeaseCommand.Release::new),
                Combinators.combine(duties, tokens).as(LeaseCommand.Expire::new),
                Combinators.combine(duties, tokens).as(LeaseCommand.Settled::new),
                Combinators.combine(duties, tokens).as(LeaseCommand.Crashed::new),
                Combinators.combine(duties, tokens).as((d, t) -> new LeaseCommand.Failed(d, t, "no")),
                duties.map(d -> new LeaseCommand.Halt(d, "by hand")), duties.map(LeaseCommand.Resume::new),
                Combinators.combine(duties, Arbitraries.of("", "n0", "n1")).as(LeaseCommand.HandOver::new),
                Arbitraries.of(new LeaseCommand.Define(List.of(PROBE, SWEEP)), new LeaseCommand.Define(List.of(PROBE))),
                tokens.map(LeaseCommand.RaiseTokens::new));
        return any.list().ofMaxSize(60);
    }

    @Property(seed = "20261201", tries = 500)
    void aTokenIsGrantedOnceAndOnlyGrowsAndNothingIsGrantedWhileHeld(@ForAll("ops") List<LeaseCommand> ops) {
        LeaseStateMachine ledger = new LeaseStateMachine();
        ledger.apply(new LeaseCommand.Define(List.of(PROBE, SWEEP)));
        Map<String, Long> highest = new HashMap<>();
        Set<String> granted = new HashSet<>();
        for (LeaseCommand op : ops) {
            LeaseState before = op instanceof LeaseCommand.Grant g ? ledger.get(g.duty()) : null;
            LeaseStateMachine.Outcome outcome = ledger.apply(op);
            if (op instanceof LeaseCommand.Grant g && outcome.done()) {
                assertThat(before.held()).isFalse();
                assertThat(before.halted()).isNull();
                assertThat(granted.add(g.duty() + outcome.token())).as(op + " gives a new token").isTrue();
            }
            for (LeaseState s : ledger.all()) {
                assertThat(s.token()).isGreaterThanOrEqualTo(highest.getOrDefault(s.terms().name(), 0L));
                highest.put(s.terms().name(), s.token());
                assertThat(s.losses()).hasSizeLessThanOrEqualTo(LeaseState.MOST_LOSSES);
            }
        }
    }

    @Property(seed = "20261201", tries = 300)
    void oneThatBeginsWithACopyGoesOnAsTheOther(@ForAll("ops") List<LeaseCommand> ops,
            @ForAll("ops") List<LeaseCommand> more) {
        LeaseStateMachine one = new LeaseStateMachine();
        one.apply(new LeaseCommand.Define(List.of(PROBE, SWEEP)));
        ops.forEach(one::apply);
        LeaseStateMachine other = new LeaseStateMachine();
        other.replace(one.copy());
        for (LeaseCommand op : more) {
            assertThat(other.apply(op)).isEqualTo(one.apply(op));
        }
        assertThat(other.copy()).isEqualTo(one.copy());
    }

    @Test
    void aDutyThatIsTakenOutAndComesBackGoesOnAboveItsOldToken() {
        LeaseStateMachine ledger = new LeaseStateMachine();
        ledger.apply(new LeaseCommand.Define(List.of(PROBE)));
        ledger.apply(new LeaseCommand.Grant("probe", new MemberIdentity("n0", 1), 0));
        ledger.apply(new LeaseCommand.Release("probe", 1));
        ledger.apply(new LeaseCommand.Define(List.of(SWEEP)));
        assertThat(ledger.get("probe")).isNull();
        ledger.apply(new LeaseCommand.Define(List.of(PROBE)));
        assertThat(
                ledger.apply(new LeaseCommand.Grant("probe", new MemberIdentity("n0", 1), ledger.get("probe").token()))
                        .token())
                                .isEqualTo(2);
    }

    @Test
    void aDutyThatBringsDownHolderAfterHolderIsHaltedAndSaysSo() {
        LeaseStateMachine ledger = new LeaseStateMachine();
        ledger.apply(new LeaseCommand.Define(List.of(PROBE)));
        for (long i = 0; i < 3; i++) {
            assertThat(ledger.apply(new LeaseCommand.Grant("probe", new MemberIdentity("n" + i, 1), i)).done())
                    .isTrue();
            ledger.apply(new LeaseCommand.Expire("probe", i + 1));
            assertThat(ledger.get("probe").halted()).isNull(); // one that was cut off is not one that was brought down
            ledger.apply(new LeaseCommand.Crashed("probe", i + 1));
        }
        assertThat(ledger.get("probe").halted()).contains("brought down 3 holders");
        assertThat(ledger.apply(new LeaseCommand.Grant("probe", new MemberIdentity("n0", 2), 3)).why())
                .contains("halted");
        ledger.apply(new LeaseCommand.Resume("probe"));
        assertThat(ledger.apply(new LeaseCommand.Grant("probe", new MemberIdentity("n0", 2), 3)).done()).isTrue();
    }

    @Test
    void oneThatSettlesBetweenTwoLossesKeepsItGoing() {
        LeaseStateMachine ledger = new LeaseStateMachine();
        ledger.apply(new LeaseCommand.Define(List.of(PROBE)));
        for (long i = 0; i < 6; i++) {
            ledger.apply(new LeaseCommand.Grant("probe", new MemberIdentity("n0", i), i));
            if (i == 2) {
                ledger.apply(new LeaseCommand.Settled("probe", i + 1));
            }
            ledger.apply(new LeaseCommand.Expire("probe", i + 1));
            ledger.apply(new LeaseCommand.Crashed("probe", i + 1));
            assertThat(ledger.get("probe").halted() != null).isEqualTo(i >= 4);
        }
    }

    @Test
    void tokensGoOnAboveAllOfBeforeWhereAGroupIsFormedAnew() {
        LeaseStateMachine ledger = new LeaseStateMachine();
        ledger.apply(new LeaseCommand.Define(List.of(PROBE)));
        ledger.apply(new LeaseCommand.Grant("probe", new MemberIdentity("n0", 1), 0));
        ledger.apply(new LeaseCommand.RaiseTokens(1L << 40));
        assertThat(ledger.get("probe").held()).isFalse();
        assertThat(ledger.apply(new LeaseCommand.Grant("probe", new MemberIdentity("n1", 1), 1L << 40)).token())
                .isEqualTo((1L << 40) + 1);
    }
}
