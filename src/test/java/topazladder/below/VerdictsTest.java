package topazladder.below;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import topazladder.disruption.Disruption;
import topazladder.disruption.DisruptionBudget;
import topazladder.disruption.DisruptionCommand;
import topazladder.disruption.DisruptionController;
import topazladder.disruption.DisruptionStateMachine;
import topazladder.disruption.DisruptionTarget;

/** What a leader makes of servers below, with the ledger and its permits in hand. */
class VerdictsTest {
    private static final List<String> SERVERS = List.of("a", "b", "c", "d");
    private final DisruptionStateMachine ledger = new DisruptionStateMachine();
    private final Verdicts verdicts = new Verdicts(ledger);
    private final DisruptionController permits = new DisruptionController(ledger, 1);
    private double now = 10;

    @BeforeEach
    void setUp() {
        ledger.apply(new DisruptionCommand.SetBudgets(
                List.of(new DisruptionBudget("below", DisruptionTarget.Kind.DEPENDENCY, "", 1, 1))));
        verdicts.lead(now);
        permits.becomeLeader(now, 0);
        now += Verdicts.AFTER_MOST;
    }

    /** All five watchers report, each with what it finds ill; then time goes on for so long. */
    private void pass(double seconds, List<Set<String>> ill) {
        for (double end = now + seconds; now < end; now += 0.25) {
            for (int w = 0; w < ill.size(); w++) {
                List<Report> reports = new ArrayList<>();
                for (String s : SERVERS) {
                    reports.add(new Report(s, ill.get(w).contains(s) ? Look.ILL : Look.WELL, 10, 0));
                }
                verdicts.says(now, "n" + w, reports);
            }
            verdicts.tick(now).forEach(op -> {
                ledger.apply(op);
                verdicts.over(op);
            });
            permits.tick(now).forEach(op -> {
                ledger.apply(op);
                permits.commandCompleted(op);
            });
        }
    }

    private static List<Set<String>> all(Set<String> ill) {
        return List.of(ill, ill, ill, ill, ill);
    }

    private Disruption out(String server) {
        return ledger.get(new DisruptionTarget(DisruptionTarget.Kind.DEPENDENCY, server, ""));
    }

    @Test
    void whatMostFindIllIsOutForAllAndComesBackOnceItDoesWell() {
        pass(2, all(Set.of("a")));
        assertThat(out("a").phase()).isEqualTo(Disruption.Phase.GRANTED);
        assertThat(verdicts.words(now, "n0")).singleElement().satisfies(w -> {
            assertThat(w.kind()).isEqualTo(Word.Kind.OUT);
            assertThat(w.token()).isPositive();
        });
        pass(3, all(Set.of()));
        assertThat(out("a").phase()).as("tried after its first wait").isEqualTo(Disruption.Phase.RETURNING);
        pass(Ramp.whole() + 1, all(Set.of()));
        assertThat(out("a")).isNull();
        assertThat(verdicts.words(now, "n0")).isEmpty();
    }

    @Test
    void oneThatFailsAgainWaitsTwiceAsLong() {
        pass(2, all(Set.of("a")));
        double[] returned = new double[3];
        for (int i = 0; i < 3; i++) {
            double from = now;
            while (out("a").phase() != Disruption.Phase.RETURNING) {
                pass(0.25, all(Set.of("a")));
            }
            returned[i] = now - from;
            while (out("a").phase() == Disruption.Phase.RETURNING) {
                pass(0.25, all(Set.of("a")));
            }
        }
        assertThat(returned[1]).isGreaterThan(1.5 * returned[0]);
        assertThat(returned[2]).isGreaterThan(1.5 * returned[1]);
    }

    @Test
    void oneWatchersWordIsNotEnoughAndItMayLeaveItOutForItself() {
        pass(3, List.of(Set.of("a"), Set.of(), Set.of(), Set.of(), Set.of()));
        assertThat(out("a")).isNull();
        assertThat(verdicts.words(now, "n0")).containsExactly(new Word("a", Word.Kind.AVOID, 0, 0));
        assertThat(verdicts.words(now, "n1")).isEmpty();
    }

    @Test
    void eachFindsAnotherDeadAndNoneIsOutForAll() {
        pass(3, List.of(Set.of("a"), Set.of("b"), Set.of("c"), Set.of("d"), Set.of("a")));
        assertThat(SERVERS).allMatch(s -> out(s) == null);
        // Five times a fifth of a server: as much as the budget has room for.
        long avoid = 0;
        for (int w = 0; w < 5; w++) {
            avoid += verdicts.words(now, "n" + w).size();
        }
        assertThat(avoid).isEqualTo(5);
    }

    @Test
    void whatManyAvoidAddsUpToNoMoreThanTheBudget() {
        ledger.apply(new DisruptionCommand.Request(new DisruptionTarget(DisruptionTarget.Kind.DEPENDENCY, "d", ""),
                Disruption.Reason.OPERATOR, "operator", "me"));
        pass(2, List.of(Set.of("a"), Set.of("b"), Set.of(), Set.of(), Set.of()));
        assertThat(out("d").phase()).isEqualTo(Disruption.Phase.GRANTED);
        assertThat(verdicts.words(now, "n0")).extracting(Word::kind).containsExactly(Word.Kind.OUT);
    }

    @Test
    void whereMostLookIllNoneIsOutAndWhatWasIsTriedAgain() {
        pass(3, all(Set.of("a", "b", "c")));
        assertThat(SERVERS).allMatch(s -> out(s) == null);
        pass(20, all(Set.of()));
        pass(1.5, all(Set.of("a")));
        assertThat(out("a").phase()).isEqualTo(Disruption.Phase.GRANTED);
        pass(1, all(Set.of("a", "b", "c")));
        assertThat(out("a").phase()).isEqualTo(Disruption.Phase.RETURNING);
    }

    @Test
    void oneThatFindsMostIllIsNotBelievedAboutAny() {
        pass(3, List.of(Set.of("a", "b", "c"), Set.of("a", "c", "d"), Set.of("a", "b", "d"), Set.of(), Set.of()));
        assertThat(SERVERS).allMatch(s -> out(s) == null);
    }

    @Test
    void aSecondOneWaitsForTheFirstOnesPlace() {
        pass(2, all(Set.of("a")));
        pass(1, all(Set.of("a", "b")));
        assertThat(out("b").phase()).isEqualTo(Disruption.Phase.ASKED);
        assertThat(ledger.targetsUsingBudget()).hasSize(1);
        pass(1, all(Set.of("a")));
        assertThat(out("b")).as("well again while it waits").isNull();
    }

    @Test
    void anOperatorKeepsOneOutThatWasIllAndBringsItBack() {
        pass(2, all(Set.of("a")));
        DisruptionTarget a = new DisruptionTarget(DisruptionTarget.Kind.DEPENDENCY, "a", "");
        assertThat(ledger.apply(new DisruptionCommand.KeepOut(a, "operator", "me")).isApplied()).isTrue();
        pass(60, all(Set.of()));
        assertThat(out("a").phase()).as("by the operator's word alone").isEqualTo(Disruption.Phase.GRANTED);
        assertThat(ledger.apply(new DisruptionCommand.Rejoin(a)).isApplied()).isTrue();
        assertThat(ledger.apply(new DisruptionCommand.Rejoin(a)).isApplied()).as("said twice").isFalse();
        assertThat(out("a").phase()).isEqualTo(Disruption.Phase.RETURNING);
        pass(Ramp.whole() + 1, all(Set.of()));
        assertThat(out("a")).isNull();
    }

    /** Drawn as one of a hundred: by the age of the phase before a server was back with its whole part at once. */
    @Test
    void oneThatRejoinedSinceTheLastLookIsToldAsNew() {
        pass(2, all(Set.of("a")));
        now += 1;
        ledger.apply(new DisruptionCommand.Rejoin(new DisruptionTarget(DisruptionTarget.Kind.DEPENDENCY, "a", "")));
        assertThat(verdicts.words(now, "n0")).singleElement().satisfies(w -> {
            assertThat(w.kind()).isEqualTo(Word.Kind.RETURNING);
            assertThat(w.age()).isZero();
        });
    }

    /** Behind an election nobody has said anything yet; a place must not be taken for what was so long ago. */
    @Test
    void whatWasAskedForUnderAnotherLeaderIsWithdrawnUnlessItIsStillSo() {
        ledger.apply(new DisruptionCommand.Request(new DisruptionTarget(DisruptionTarget.Kind.DEPENDENCY, "a", ""),
                Disruption.Reason.ILL, "symptoms a 1", "symptoms"));
        pass(0.25, List.of());
        assertThat(out("a")).isNull();
    }

    @Test
    void rejoiningAndKeepingAreForServersBelowAlone() {
        DisruptionTarget n = new DisruptionTarget(DisruptionTarget.Kind.INSTANCE, "n1", "");
        ledger.apply(new DisruptionCommand.Leaving(n, 0, 7, "a signal"));
        assertThat(ledger.apply(new DisruptionCommand.Rejoin(n)).isApplied()).isFalse();
        assertThat(ledger.apply(new DisruptionCommand.KeepOut(n, "operator", "me")).isApplied()).isFalse();
    }

    @Test
    void whatWasHeardLongAgoSaysNothing() {
        List<Report> ill = List.of(new Report("a", Look.ILL, 9, 9), new Report("b", Look.WELL, 9, 0));
        verdicts.says(now, "n0", ill);
        verdicts.says(now, "n1", ill);
        now += Verdicts.STALE + 1;
        assertThat(verdicts.tick(now)).isEmpty();
        assertThat(verdicts.watches("n0")).isFalse();
    }
}
