package topazladder.endpoint;

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

/** Outlier detection at the leader, with a state machine and a disruption controller that applies its commands. */
class OutlierDetectorTest {
    private static final List<String> SERVERS = List.of("a", "b", "c", "d");
    private final DisruptionStateMachine stateMachine = new DisruptionStateMachine();
    private final OutlierDetector verdicts = new OutlierDetector(stateMachine);
    private final DisruptionController controller = new DisruptionController(stateMachine, 1);
    private double now = 10;

    @BeforeEach
    void setUp() {
        stateMachine.apply(new DisruptionCommand.SetBudgets(
                List.of(new DisruptionBudget("below", DisruptionTarget.Kind.DEPENDENCY, "", 1, 1))));
        verdicts.becomeLeader(now);
        controller.becomeLeader(now, 0);
        now += OutlierDetector.AFTERMATH_SECONDS;
    }

    /** Lets time pass while each instance reports the given endpoints as unhealthy and all others as healthy. */
    private void pass(double seconds, List<Set<String>> illByInstance) {
        for (double end = now + seconds; now < end; now += 0.25) {
            for (int i = 0; i < illByInstance.size(); i++) {
                List<EndpointReport> reports = new ArrayList<>();
                for (String s : SERVERS) {
                    reports.add(new EndpointReport(s,
                            illByInstance.get(i).contains(s) ? EndpointHealth.ILL : EndpointHealth.WELL, 10, 0));
                }
                verdicts.handleReports(now, "n" + i, reports);
            }
            verdicts.tick(now).forEach(command -> {
                stateMachine.apply(command);
                verdicts.commandCompleted(command);
            });
            controller.tick(now).forEach(command -> {
                stateMachine.apply(command);
                controller.commandCompleted(command);
            });
        }
    }

    private static List<Set<String>> foundByAll(Set<String> ill) {
        return List.of(ill, ill, ill, ill, ill);
    }

    private Disruption disruption(String endpoint) {
        return stateMachine.get(new DisruptionTarget(DisruptionTarget.Kind.DEPENDENCY, endpoint, ""));
    }

    @Test
    void endpointThatMostFindUnhealthyIsEjectedAndReturnsOnceItIsHealthy() {
        pass(2, foundByAll(Set.of("a")));
        assertThat(disruption("a").phase()).isEqualTo(Disruption.Phase.GRANTED);
        assertThat(verdicts.directives(now, "n0")).singleElement().satisfies(w -> {
            assertThat(w.kind()).isEqualTo(EjectionDirective.Kind.OUT);
            assertThat(w.token()).isPositive();
        });
        pass(3, foundByAll(Set.of()));
        assertThat(disruption("a").phase()).as("tried after its first backoff").isEqualTo(Disruption.Phase.RETURNING);
        pass(SlowStart.durationSeconds() + 1, foundByAll(Set.of()));
        assertThat(disruption("a")).isNull();
        assertThat(verdicts.directives(now, "n0")).isEmpty();
    }

    @Test
    void endpointThatFailsAgainWaitsTwiceAsLong() {
        pass(2, foundByAll(Set.of("a")));
        double[] ejectedSeconds = new double[3];
        for (int i = 0; i < 3; i++) {
            double from = now;
            while (disruption("a").phase() != Disruption.Phase.RETURNING) {
                pass(0.25, foundByAll(Set.of("a")));
            }
            ejectedSeconds[i] = now - from;
            while (disruption("a").phase() == Disruption.Phase.RETURNING) {
                pass(0.25, foundByAll(Set.of("a")));
            }
        }
        assertThat(ejectedSeconds[1]).isGreaterThan(1.5 * ejectedSeconds[0]);
        assertThat(ejectedSeconds[2]).isGreaterThan(1.5 * ejectedSeconds[1]);
    }

    @Test
    void singleObserverMayEjectOnlyForItself() {
        pass(3, List.of(Set.of("a"), Set.of(), Set.of(), Set.of(), Set.of()));
        assertThat(disruption("a")).isNull();
        assertThat(verdicts.directives(now, "n0"))
                .containsExactly(new EjectionDirective("a", EjectionDirective.Kind.MAY_EJECT, 0, 0));
        assertThat(verdicts.directives(now, "n1")).isEmpty();
    }

    @Test
    void endpointsThatSingleObserversFindUnhealthyAreNotEjectedByTheCluster() {
        pass(3, List.of(Set.of("a"), Set.of("b"), Set.of("c"), Set.of("d"), Set.of("a")));
        assertThat(SERVERS).allMatch(s -> disruption(s) == null);
        // Five permissions count as a fifth of an endpoint each, which uses up the budget of one.
        long permissions = 0;
        for (int i = 0; i < 5; i++) {
            permissions += verdicts.directives(now, "n" + i).size();
        }
        assertThat(permissions).isEqualTo(5);
    }

    @Test
    void permissionsStayWithinTheRemainingBudget() {
        stateMachine.apply(new DisruptionCommand.Request(
                new DisruptionTarget(DisruptionTarget.Kind.DEPENDENCY, "d", ""),
                Disruption.Reason.OPERATOR, "operator", "me"));
        pass(2, List.of(Set.of("a"), Set.of("b"), Set.of(), Set.of(), Set.of()));
        assertThat(disruption("d").phase()).isEqualTo(Disruption.Phase.GRANTED);
        assertThat(verdicts.directives(now, "n0")).extracting(EjectionDirective::kind)
                .containsExactly(EjectionDirective.Kind.OUT);
    }

    @Test
    void whereMostLookUnhealthyNoneIsEjectedAndEarlierEjectionsEnd() {
        pass(3, foundByAll(Set.of("a", "b", "c")));
        assertThat(SERVERS).allMatch(s -> disruption(s) == null);
        pass(20, foundByAll(Set.of()));
        pass(1.5, foundByAll(Set.of("a")));
        assertThat(disruption("a").phase()).isEqualTo(Disruption.Phase.GRANTED);
        pass(1, foundByAll(Set.of("a", "b", "c")));
        assertThat(disruption("a").phase()).isEqualTo(Disruption.Phase.RETURNING);
    }

    @Test
    void instanceThatFindsMostUnhealthyIsIgnored() {
        pass(3, List.of(Set.of("a", "b", "c"), Set.of("a", "c", "d"), Set.of("a", "b", "d"), Set.of(), Set.of()));
        assertThat(SERVERS).allMatch(s -> disruption(s) == null);
    }

    @Test
    void secondEjectionWaitsForTheBudget() {
        pass(2, foundByAll(Set.of("a")));
        pass(1, foundByAll(Set.of("a", "b")));
        assertThat(disruption("b").phase()).isEqualTo(Disruption.Phase.ASKED);
        assertThat(stateMachine.targetsUsingBudget()).hasSize(1);
        pass(1, foundByAll(Set.of("a")));
        assertThat(disruption("b")).as("request of an endpoint that is well again").isNull();
    }

    @Test
    void operatorKeepsAnEjectedEndpointOutUntilRejoin() {
        pass(2, foundByAll(Set.of("a")));
        DisruptionTarget a = new DisruptionTarget(DisruptionTarget.Kind.DEPENDENCY, "a", "");
        assertThat(stateMachine.apply(new DisruptionCommand.KeepOut(a, "operator", "me")).isApplied()).isTrue();
        pass(60, foundByAll(Set.of()));
        assertThat(disruption("a").phase()).as("kept out by the operator").isEqualTo(Disruption.Phase.GRANTED);
        assertThat(stateMachine.apply(new DisruptionCommand.Rejoin(a)).isApplied()).isTrue();
        assertThat(stateMachine.apply(new DisruptionCommand.Rejoin(a)).isApplied()).as("second rejoin").isFalse();
        assertThat(disruption("a").phase()).isEqualTo(Disruption.Phase.RETURNING);
        pass(SlowStart.durationSeconds() + 1, foundByAll(Set.of()));
        assertThat(disruption("a")).isNull();
    }

    /**
     * A phase that was applied since the last tick is told with age 0. Told with the age of the phase before, the
     * endpoint got its full load at once; one of a hundred random runs showed it.
     */
    @Test
    void phaseThatBeganSinceTheLastTickIsToldAsNew() {
        pass(2, foundByAll(Set.of("a")));
        now += 1;
        stateMachine.apply(new DisruptionCommand.Rejoin(
                new DisruptionTarget(DisruptionTarget.Kind.DEPENDENCY, "a", "")));
        assertThat(verdicts.directives(now, "n0")).singleElement().satisfies(w -> {
            assertThat(w.kind()).isEqualTo(EjectionDirective.Kind.RETURNING);
            assertThat(w.ageSeconds()).isZero();
        });
    }

    /** A new leader has no reports yet; a request of its predecessor must not use up the budget without a reason. */
    @Test
    void requestOfAnEarlierLeaderIsWithdrawnUnlessReportsSupportIt() {
        stateMachine.apply(new DisruptionCommand.Request(
                new DisruptionTarget(DisruptionTarget.Kind.DEPENDENCY, "a", ""),
                Disruption.Reason.ILL, "symptoms a 1", "symptoms"));
        pass(0.25, List.of());
        assertThat(disruption("a")).isNull();
    }

    @Test
    void rejoinAndKeepOutApplyOnlyToDependencyEndpoints() {
        DisruptionTarget instance = new DisruptionTarget(DisruptionTarget.Kind.INSTANCE, "n1", "");
        stateMachine.apply(new DisruptionCommand.Leaving(instance, 0, 7, "a signal"));
        assertThat(stateMachine.apply(new DisruptionCommand.Rejoin(instance)).isApplied()).isFalse();
        assertThat(stateMachine.apply(new DisruptionCommand.KeepOut(instance, "operator", "me")).isApplied()).isFalse();
    }

    @Test
    void reportsExpire() {
        List<EndpointReport> reports = List.of(new EndpointReport("a", EndpointHealth.ILL, 9, 9),
                new EndpointReport("b", EndpointHealth.WELL, 9, 0));
        verdicts.handleReports(now, "n0", reports);
        verdicts.handleReports(now, "n1", reports);
        now += OutlierDetector.REPORT_VALIDITY_SECONDS + 1;
        assertThat(verdicts.tick(now)).isEmpty();
        assertThat(verdicts.hasReported("n0")).isFalse();
    }
}
