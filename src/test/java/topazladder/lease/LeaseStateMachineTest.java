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

/** The invariants of the lease state hold for any sequence of commands, including duplicates and outdated ones. */
class LeaseStateMachineTest {
    private static final LeaseSettings PROBE = new LeaseSettings("probe", 2, 3);
    private static final LeaseSettings SWEEP = new LeaseSettings("sweep", 2, 3);

    @Provide
    Arbitrary<List<LeaseCommand>> commands() {
        Arbitrary<String> leaseNames = Arbitraries.of("probe", "sweep", "other");
        Arbitrary<Long> tokens = Arbitraries.longs().between(0, 6);
        Arbitrary<MemberIdentity> members =
                Combinators.combine(Arbitraries.of("n0", "n1"), Arbitraries.longs().between(1, 3))
                        .as(MemberIdentity::new);
        Arbitrary<LeaseCommand> any = Arbitraries.oneOf(
                Combinators.combine(leaseNames, members, tokens).as(LeaseCommand.Grant::new),
                Combinators.combine(leaseNames, tokens).as(LeaseCommand.Release::new),
                Combinators.combine(leaseNames, tokens).as(LeaseCommand.Expire::new),
                Combinators.combine(leaseNames, tokens).as(LeaseCommand.HolderSettled::new),
                Combinators.combine(leaseNames, tokens).as(LeaseCommand.HolderCrashed::new),
                Combinators.combine(leaseNames, tokens)
                        .as((name, token) -> new LeaseCommand.HolderFailed(name, token, "no")),
                leaseNames.map(name -> new LeaseCommand.Suspend(name, "by hand")),
                leaseNames.map(LeaseCommand.Resume::new),
                Combinators.combine(leaseNames, Arbitraries.of("", "n0", "n1")).as(LeaseCommand.Transfer::new),
                Arbitraries.of(new LeaseCommand.Define(List.of(PROBE, SWEEP)), new LeaseCommand.Define(List.of(PROBE))),
                tokens.map(LeaseCommand.RaiseTokenFloor::new));
        return any.list().ofMaxSize(60);
    }

    @Property(seed = "20261201", tries = 500)
    void aTokenIsGrantedOnceAndOnlyGrowsAndNothingIsGrantedWhileItIsHeld(
            @ForAll("commands") List<LeaseCommand> commands) {
        LeaseStateMachine stateMachine = new LeaseStateMachine();
        stateMachine.apply(new LeaseCommand.Define(List.of(PROBE, SWEEP)));
        Map<String, Long> highest = new HashMap<>();
        Set<String> granted = new HashSet<>();
        for (LeaseCommand command : commands) {
            LeaseState before =
                    command instanceof LeaseCommand.Grant grant ? stateMachine.get(grant.leaseName()) : null;
            LeaseStateMachine.Outcome outcome = stateMachine.apply(command);
            if (command instanceof LeaseCommand.Grant grant && outcome.isApplied()) {
                assertThat(before.isHeld()).isFalse();
                assertThat(before.suspendedReason()).isNull();
                assertThat(granted.add(grant.leaseName() + outcome.fencingToken())).as(command + " has a new token")
                        .isTrue();
            }
            for (LeaseState state : stateMachine.leases()) {
                assertThat(state.fencingToken())
                        .isGreaterThanOrEqualTo(highest.getOrDefault(state.settings().name(), 0L));
                highest.put(state.settings().name(), state.fencingToken());
                assertThat(state.losses()).hasSizeLessThanOrEqualTo(LeaseState.MAX_KEPT_LOSSES);
            }
        }
    }

    @Property(seed = "20261201", tries = 300)
    void aReplicaRestoredFromASnapshotBehavesLikeTheOriginal(@ForAll("commands") List<LeaseCommand> commands,
            @ForAll("commands") List<LeaseCommand> more) {
        LeaseStateMachine original = new LeaseStateMachine();
        original.apply(new LeaseCommand.Define(List.of(PROBE, SWEEP)));
        commands.forEach(original::apply);
        LeaseStateMachine restored = new LeaseStateMachine();
        restored.restore(original.snapshot());
        for (LeaseCommand command : more) {
            assertThat(restored.apply(command)).isEqualTo(original.apply(command));
        }
        assertThat(restored.snapshot()).isEqualTo(original.snapshot());
    }

    @Test
    void aLeaseThatIsRemovedAndDefinedAgainContinuesAboveItsOldToken() {
        LeaseStateMachine stateMachine = new LeaseStateMachine();
        stateMachine.apply(new LeaseCommand.Define(List.of(PROBE)));
        stateMachine.apply(new LeaseCommand.Grant("probe", new MemberIdentity("n0", 1), 0));
        stateMachine.apply(new LeaseCommand.Release("probe", 1));
        stateMachine.apply(new LeaseCommand.Define(List.of(SWEEP)));
        assertThat(stateMachine.get("probe")).isNull();
        stateMachine.apply(new LeaseCommand.Define(List.of(PROBE)));
        assertThat(
                stateMachine
                        .apply(new LeaseCommand.Grant("probe", new MemberIdentity("n0", 1),
                                stateMachine.get("probe").fencingToken()))
                        .fencingToken())
                                .isEqualTo(2);
    }

    @Test
    void aLeaseWhoseHoldersCrashOneAfterAnotherIsSuspendedWithAReason() {
        LeaseStateMachine stateMachine = new LeaseStateMachine();
        stateMachine.apply(new LeaseCommand.Define(List.of(PROBE)));
        for (long i = 0; i < 3; i++) {
            assertThat(
                    stateMachine.apply(new LeaseCommand.Grant("probe", new MemberIdentity("n" + i, 1), i)).isApplied())
                            .isTrue();
            stateMachine.apply(new LeaseCommand.Expire("probe", i + 1));
            // An expiry alone, as after a network partition, does not count as a crash of the holder.
            assertThat(stateMachine.get("probe").suspendedReason()).isNull();
            stateMachine.apply(new LeaseCommand.HolderCrashed("probe", i + 1));
        }
        assertThat(stateMachine.get("probe").suspendedReason()).contains("brought down 3 holders");
        assertThat(stateMachine.apply(new LeaseCommand.Grant("probe", new MemberIdentity("n0", 2), 3)).rejection())
                .contains("suspended", "brought down 3 holders");
        stateMachine.apply(new LeaseCommand.Resume("probe"));
        assertThat(stateMachine.apply(new LeaseCommand.Grant("probe", new MemberIdentity("n0", 2), 3)).isApplied())
                .isTrue();
    }

    @Test
    void aHolderThatSettlesBetweenTwoLossesPreventsTheSuspension() {
        LeaseStateMachine stateMachine = new LeaseStateMachine();
        stateMachine.apply(new LeaseCommand.Define(List.of(PROBE)));
        for (long i = 0; i < 6; i++) {
            stateMachine.apply(new LeaseCommand.Grant("probe", new MemberIdentity("n0", i), i));
            if (i == 2) {
                stateMachine.apply(new LeaseCommand.HolderSettled("probe", i + 1));
            }
            stateMachine.apply(new LeaseCommand.Expire("probe", i + 1));
            stateMachine.apply(new LeaseCommand.HolderCrashed("probe", i + 1));
            assertThat(stateMachine.get("probe").suspendedReason() != null).isEqualTo(i >= 4);
        }
    }

    @Test
    void tokensContinueAboveTheFloorWhenAGroupIsFormedAnew() {
        LeaseStateMachine stateMachine = new LeaseStateMachine();
        stateMachine.apply(new LeaseCommand.Define(List.of(PROBE)));
        stateMachine.apply(new LeaseCommand.Grant("probe", new MemberIdentity("n0", 1), 0));
        stateMachine.apply(new LeaseCommand.RaiseTokenFloor(1L << 40));
        assertThat(stateMachine.get("probe").isHeld()).isFalse();
        assertThat(stateMachine.apply(new LeaseCommand.Grant("probe", new MemberIdentity("n1", 1), 1L << 40))
                .fencingToken())
                        .isEqualTo((1L << 40) + 1);
    }
}
