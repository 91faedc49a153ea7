package topazladder.admission;

import static topazladder.admission.AdmissionScenario.ISSUE;
import static topazladder.admission.AdmissionScenario.LATE;
import static topazladder.admission.AdmissionScenario.PLACE;
import static topazladder.admission.AdmissionScenario.READ;
import static topazladder.admission.AdmissionScenario.started;
import static topazladder.admission.AdmissionScenario.startedWith;

import org.junit.jupiter.api.Test;
import topazladder.admission.AdmissionSettings.DependencyTopology;
import topazladder.request.LearnedEstimate.Kind;
import topazladder.request.Outcome;

/** Each test runs a short scenario and compares its events and decisions with a recorded trace. */
class AdmissionControllerTest {

    @Test
    void queuedRequestIsRejectedOnceItsAnswerWouldHaveNoValue() {
        // given
        AdmissionScenario server = started().arrive("a", READ).arrive("b", READ);
        // when
        server.tickUntil(3).endRun("a", Outcome.SUCCEEDED).tickUntil(6);
        // then
        server.assertMatchesTrace("answers");
    }

    @Test
    void runningRequestIsAnsweredAtItsDeadlineAlthoughItsRunContinues() {
        // given
        AdmissionScenario server = started().arrive("a", PLACE);
        // when
        server.tickUntil(6).endRun("a", Outcome.CANCELLED).arrive("b", READ);
        // then
        server.assertMatchesTrace("running-past-due");
    }

    @Test
    void deadlineCountsFromTheArrivalAtTheMachine() {
        // given
        AdmissionScenario server = started();
        // when
        server.arrive("a", LATE, 0.5, 4, null).arrive("b", READ, 0.5, 4, null).tickUntil(2);
        // then
        server.assertMatchesTrace("due-from-arrival");
    }

    @Test
    void queuedDuplicatesOfOneIdempotencyKeyRunOnlyOnce() {
        // given
        AdmissionScenario server = started().arrive("x", PLACE);
        // when
        server.arrive("a", PLACE).arrive("a2", PLACE, 0.3, 0, "a")
                .at(0.4).endRun("x", Outcome.SUCCEEDED)
                .at(0.8).endRun("a", Outcome.SUCCEEDED)
                .at(0.9).endRun("a2", Outcome.SUCCEEDED)
                .at(2).arrive("a3", PLACE, 0.3, 0, "a");
        // then
        server.assertMatchesTrace("repeats");
    }

    @Test
    void duplicateReplacesAnOriginalThatNeverRan() {
        // given
        AdmissionScenario server = started().arrive("x", READ);
        // when
        server.arrive("a", PLACE).arrive("a2", PLACE, 0.3, 0, "a").disconnectCaller("a")
                .at(0.4).endRun("x", Outcome.SUCCEEDED);
        // then
        server.assertMatchesTrace("heir");
    }

    @Test
    void dependencyCallIsRetriedOnlyIfThePreviousOneHadNoEffect() {
        // given
        AdmissionScenario server = started().arrive("a", ISSUE).at(0.2).requestCall("a");
        // when
        server.endCall("a", Outcome.REJECTED).tickUntil(0.6).endCall("a", Outcome.TIMED_OUT)
                .endRun("a", Outcome.CANCELLED)
                .arrive("b", READ).requestCall("b").endCall("b", Outcome.FAILED);
        // then
        server.assertMatchesTrace("calls");
    }

    @Test
    void queuedRequestsRunsAndStoredKeysShareTheMemory() {
        // given
        AdmissionScenario server = startedWith(settings -> settings.memoryKilobytes(400));
        // when
        for (int i = 0; i < 8; i++) {
            server.arrive("p" + i, PLACE);
        }
        // then
        server.assertMatchesTrace("memory");
    }

    @Test
    void idempotencyKeysOccupyMemoryUntilTheEndOfTheirWindows() {
        // given
        AdmissionScenario server = started().unrecorded(s -> {
            for (int i = 0; i < 16; i++) {
                s.at(i * 0.1).arrive("p" + i, PLACE).endRun("p" + i, Outcome.SUCCEEDED);
            }
        });
        // when
        server.at(1.7).arrive("a", PLACE).endRun("a", Outcome.SUCCEEDED).arrive("b", PLACE)
                .tickUntil(13.5).arrive("c", PLACE);
        // then
        server.assertMatchesTrace("remembered-after-the-run");
    }

    @Test
    void drainRejectsRequestsAfterTheGracePeriodAndAnswersAllBeforeTheStop() {
        // given
        AdmissionScenario server = started().arrive("a", PLACE).arrive("b", PLACE);
        // when
        server.drain(4).tickUntil(1.5)
                .arrive("early", PLACE, 0.3, 0.6, null).arrive("late", PLACE, 0.3, 0.1, null)
                .tickUntil(4);
        // then
        server.assertMatchesTrace("drain");
    }

    @Test
    void coldServerLimitsItsConcurrencyBelowItsCollapsePoint() {
        // given
        AdmissionScenario server = startedWith(settings -> settings.memoryKilobytes(10000).coldStart(true)
                .coldSpeed(0.2).warmUpSeconds(16));
        // when
        for (int i = 0; i < 4; i++) {
            server.arrive("r" + i, READ).requestCall("r" + i);
        }
        // then
        server.assertMatchesTrace("cold-crowd");
    }

    @Test
    void admissionLevelRisesInStepsUnderOverloadAndFallsWhenTheQueueIsShort() {
        // given
        AdmissionScenario server = startedWith(settings -> settings.memoryKilobytes(100000));
        // when
        server.overload(3, 0.1).tickUntil(4.5);
        // then
        server.assertMatchesTrace("level");
    }

    @Test
    void rejectionAdvisesAgainstRetryingElsewhereWhenManyRequestsAreRetries() {
        // given
        AdmissionScenario server = started().arrive("x", PLACE);
        // when
        server.arrive("a", READ, 0.2, 2.5, null).arrive("b", READ, 0.2, 2.5, "gone")
                .arrive("c", READ, 0.2, 2.5, null);
        // then
        server.assertMatchesTrace("walking-on");
    }

    @Test
    void retrySafeCallIsRetriedOnceAfterALostConnectionAndTimesOutAtFourTimesTheMean() {
        // given
        AdmissionScenario server = startedWith(settings -> settings.cores(4).memoryKilobytes(10000));
        for (int i = 0; i < 40; i++) {
            server.unrecorded(s -> s.arrive("w", READ).requestCall("w").endCall("w", Outcome.SUCCEEDED, 0.1)
                    .endRun("w", Outcome.SUCCEEDED));
        }
        // when
        server.arrive("a", READ).requestCall("a").endCall("a", Outcome.CONNECTION_LOST)
                .endCall("a", Outcome.CONNECTION_LOST)
                .arrive("b", ISSUE).requestCall("b").endCall("b", Outcome.CONNECTION_LOST);
        // then
        server.assertMatchesTrace("spoilt");
    }

    @Test
    void callThatCannotBeSkippedIsMadeHoweverSlowThePreviousCallsWere() {
        // given
        AdmissionScenario server = startedWith(settings -> settings.cores(4).memoryKilobytes(10000));
        for (int i = 0; i < 4; i++) {
            server.unrecorded(s -> s.arrive("w", READ).requestCall("w").endCall("w", Outcome.SUCCEEDED, 3)
                    .endRun("w", Outcome.SUCCEEDED));
        }
        // when
        server.arrive("a", ISSUE).requestCall("a").arrive("b", READ).requestCall("b");
        // then
        server.assertMatchesTrace("slow-calls");
    }

    @Test
    void slowCallsAreLimitedAndThoseThatCanBeSkippedAreSkippedFirst() {
        // given
        AdmissionScenario server = startedWith(settings -> settings.dependencyTopology(DependencyTopology.SHARED)
                .dependencyCallQuota(1).dependencyQuotaSpanSeconds(5).cores(4).memoryKilobytes(10000));
        for (int i = 0; i < 45; i++) {
            server.at(i * 0.2).unrecorded(s -> s.arrive("w", READ).requestCall("w")
                    .endCall("w", Outcome.SUCCEEDED, 0.05).endRun("w", Outcome.SUCCEEDED));
        }
        for (int i = 0; i < 8; i++) {
            server.at(9 + i * 0.1).unrecorded(s -> s.arrive("s", READ).requestCall("s")
                    .endCall("s", Outcome.SUCCEEDED, 0.9).endRun("s", Outcome.SUCCEEDED));
        }
        // when
        server.at(10).arrive("a", READ).arrive("b", ISSUE).arrive("c", READ)
                .requestCall("a").requestCall("b").requestCall("c").tickUntil(12.5);
        // then
        server.assertMatchesTrace("pace");
    }

    @Test
    void requestsWaitingForACallCountTowardsTheConcurrencyLimit() {
        // given
        AdmissionScenario server = startedWith(settings -> settings.memoryKilobytes(10000).coldStart(true)
                .coldSpeed(0.2).warmUpSeconds(16).dependencyTopology(DependencyTopology.SHARED)
                .dependencyCallQuota(0.1));
        // when
        for (int i = 0; i < 3; i++) {
            server.arrive("r" + i, READ).requestCall("r" + i);
        }
        // then
        server.assertMatchesTrace("parked-crowd");
    }

    @Test
    void idleConnectionsAreClosedWhileCoresAreIdleAndKeptWhileOtherWorkLoadsThem() {
        // given
        AdmissionScenario server = startedWith(settings -> settings.callers(100).maxConnectionIdleSeconds(30));
        for (int i = 0; i < 16; i++) {
            server.tickUntil(i * 0.5).unrecorded(s -> s.arrive("a", READ).endRun("a", Outcome.SUCCEEDED));
        }
        // when
        server.gauge(RuntimeGauges.CORE_USE, 0.3).tickUntil(13);
        server.gauge(RuntimeGauges.ON_CORES, 9).tickUntil(16);
        server.gauge(RuntimeGauges.ON_CORES, 0).tickUntil(24);
        // then
        server.assertMatchesTrace("connections");
    }

    @Test
    void withoutEstimatesFromPeersDecisionsAreUnchanged() {
        // given
        AdmissionScenario server = startedWith(settings -> settings.cores(2).memoryKilobytes(2000)
                .dependencyTopology(DependencyTopology.SHARED).dependencyCallQuota(2));
        // when
        server.playRandomly(20261201, 160);
        // then
        server.assertMatchesTrace("unlearned");
    }

    @Test
    void requestThatCannotFinishInTimeByThePeersCompletionRateIsRejectedAtOnce() {
        // given
        AdmissionScenario server = startedWith(settings -> settings.memoryKilobytes(10000))
                .learn(Kind.COMPLETION_RATE, "", 1, 30).learn(Kind.RUN_TIME, "read", 0.4, 3);
        // when
        for (int i = 0; i < 5; i++) {
            server.arrive("a" + i, READ);
        }
        server.tickUntil(0.5).endRun("a0", Outcome.SUCCEEDED);
        // then
        server.assertMatchesTrace("learned-outgoing");
    }

    @Test
    void learnedRunTimesAreScaledForAColdServerAndNeverPreventAnImmediateStart() {
        // given
        AdmissionScenario server = startedWith(settings -> settings.memoryKilobytes(10000).coldStart(true)
                .coldSpeed(0.2).warmUpSeconds(16))
                        .learn(Kind.RUN_TIME, "read", 0.3, 3).learn(Kind.RUN_TIME, "place", 99, 3)
                        .learn(Kind.RUN_TIME, "unheard-of", 1, 3);
        // when
        server.arrive("p", PLACE).at(0.6).arrive("late", READ, 0.3, 0.9, null).arrive("new", READ)
                .endRun("p", Outcome.SUCCEEDED);
        // then
        server.assertMatchesTrace("learned-run-times");
    }

    @Test
    void learnedCallsInFlightDoNotRaiseTheDependencyLimitAndOwnMeasurementsReplaceThem() {
        // given
        AdmissionScenario server = startedWith(settings -> settings.dependencyTopology(DependencyTopology.SHARED)
                .dependencyCallQuota(2).dependencyQuotaSpanSeconds(5).cores(4).memoryKilobytes(10000))
                        .learn(Kind.CALLS_IN_FLIGHT, "", 1e9, 1000)
                        .unrecorded(s -> s.arrive("f", READ).requestCall("f").endCall("f", Outcome.FAILED)
                                .endRun("f", Outcome.SUCCEEDED));
        // when
        for (int i = 0; i < 6; i++) {
            server.arrive("c" + i, ISSUE).requestCall("c" + i);
        }
        // then
        server.assertMatchesTrace("learned-calls");
    }

    @Test
    void onlyEstimatesMeasuredByAWarmServerItselfAreShared() {
        // given
        AdmissionScenario warm = startedWith(settings -> settings.cores(4).memoryKilobytes(10000))
                .learn(Kind.RUN_TIME, "read", 0.9, 3).recordEstimates();
        AdmissionScenario cold =
                startedWith(settings -> settings.coldStart(true).coldSpeed(0.2).warmUpSeconds(16));
        // when
        for (int i = 0; i < 10; i++) {
            warm.at(i).unrecorded(s -> s.arrive("r", READ).endRun("r", Outcome.SUCCEEDED));
            cold.at(i).unrecorded(s -> s.arrive("r", READ).endRun("r", Outcome.SUCCEEDED));
        }
        // then
        cold.recordEstimates().assertMatchesTrace("learned-cold");
        warm.recordEstimates().assertMatchesTrace("learned-told");
    }
}
