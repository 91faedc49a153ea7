package topazladder;

import static topazladder.Desk.ISSUE;
import static topazladder.Desk.LATE;
import static topazladder.Desk.PLACE;
import static topazladder.Desk.READ;

import org.junit.jupiter.api.Test;
import topazladder.admission.AdmissionSettings.DependencyTopology;
import topazladder.admission.RuntimeGauges;
import topazladder.request.LearnedEstimate.Kind;
import topazladder.request.Outcome;

/** Each test plays a short scene and compares what was decided with a trace kept for readers. */
class AdmissionControllerTest {

    @Test
    void heldRequestIsAnsweredOnceItCanNoLongerPay() {
        new Desk().open().arrive("a", READ).arrive("b", READ)
                .until(3).runEnds("a", Outcome.SUCCEEDED).until(6).matches("answers");
    }

    @Test
    void runningRequestIsAnsweredAtItsDueTimeAlthoughItRunsOn() {
        new Desk().open().arrive("a", PLACE).until(6).runEnds("a", Outcome.CANCELLED).arrive("b", READ)
                .matches("running-past-due");
    }

    @Test
    void dueTimeCountsFromArrivalAtTheMachine() {
        new Desk().open().arrive("a", LATE, 0.5, 4, null).arrive("b", READ, 0.5, 4, null).until(2)
                .matches("due-from-arrival");
    }

    @Test
    void heldCopiesOfAFingerprintRunOnce() {
        new Desk().open().arrive("x", PLACE).arrive("a", PLACE).arrive("a2", PLACE, 0.3, 0, "a")
                .at(0.4).runEnds("x", Outcome.SUCCEEDED).at(0.8).runEnds("a", Outcome.SUCCEEDED).at(0.9)
                .runEnds("a2", Outcome.SUCCEEDED)
                .at(2).arrive("a3", PLACE, 0.3, 0, "a").matches("repeats");
    }

    @Test
    void repeatOfARequestThatNeverRanTakesItsPlace() {
        new Desk().open().arrive("x", READ).arrive("a", PLACE).arrive("a2", PLACE, 0.3, 0, "a")
                .callerGone("a").at(0.4).runEnds("x", Outcome.SUCCEEDED).matches("heir");
    }

    @Test
    void callWithAnEffectIsMadeAgainOnlyIfTheLastNeverRan() {
        new Desk().open().arrive("a", ISSUE).at(0.2).wantsCall("a").callEnds("a", Outcome.REJECTED)
                .until(0.6).callEnds("a", Outcome.TIMED_OUT).runEnds("a", Outcome.CANCELLED)
                .arrive("b", READ).wantsCall("b").callEnds("b", Outcome.FAILED).matches("calls");
    }

    @Test
    void memoryHoldsHeldRunningAndRemembered() {
        Desk desk = new Desk().with(s -> s.memoryKilobytes(400)).open();
        for (int i = 0; i < 8; i++) {
            desk.arrive("p" + i, PLACE);
        }
        desk.matches("memory");
    }

    @Test
    void fingerprintsTakeMemoryToTheEndOfTheirWindowsAlsoOfRunsThatAreOver() {
        Desk desk = new Desk().open();
        desk.quietly(d -> {
            for (int i = 0; i < 16; i++) {
                d.at(i * 0.1).arrive("p" + i, Desk.PLACE).runEnds("p" + i, Outcome.SUCCEEDED);
            }
        });
        desk.at(1.7).arrive("a", Desk.PLACE).runEnds("a", Outcome.SUCCEEDED).arrive("b", Desk.PLACE)
                .until(13.5).arrive("c", Desk.PLACE).matches("remembered-after-the-run");
    }

    @Test
    void drainRunsNothingPastTheGraceAndAnswersAllBeforeTheStop() {
        new Desk().open().arrive("a", PLACE).arrive("b", PLACE).leave(4).until(1.5)
                .arrive("early", PLACE, 0.3, 0.6, null).arrive("late", PLACE, 0.3, 0.1, null)
                .until(4).matches("drain");
    }

    @Test
    void coldServerKeepsItsCrowdBelowWhatItSurvives() {
        Desk desk =
                new Desk().with(s -> s.memoryKilobytes(10000).coldStart(true).coldSpeed(0.2).warmUpSeconds(16)).open();
        for (int i = 0; i < 4; i++) {
            desk.arrive("r" + i, READ).wantsCall("r" + i);
        }
        desk.matches("cold-crowd");
    }

    @Test
    void levelRisesInStepsUnderOverloadIsEnforcedAndFallsWhenTheHoldIsShort() {
        Desk desk = new Desk().with(s -> s.memoryKilobytes(100000)).open();
        desk.flood(3, 0.1).until(4.5).matches("level");
    }

    @Test
    void rejectedRequestsAreNotToWalkOnWhereAllHaveWalkedBefore() {
        new Desk().open().arrive("x", PLACE).arrive("a", READ, 0.2, 2.5, null)
                .arrive("b", READ, 0.2, 2.5, "gone").arrive("c", READ, 0.2, 2.5, null).matches("walking-on");
    }

    @Test
    void spoiltCallIsMadeAgainOnceWhereThatMayBeDoneAndWaitedForNoLongerThanFourTimesTheUsual() {
        Desk desk = new Desk().with(s -> s.cores(4).memoryKilobytes(10000)).open();
        for (int i = 0; i < 40; i++) {
            desk.quietly(d -> d.arrive("w", READ).wantsCall("w").callEnds("w", Outcome.SUCCEEDED, 0.1)
                    .runEnds("w", Outcome.SUCCEEDED));
        }
        desk.arrive("a", READ).wantsCall("a").callEnds("a", Outcome.CONNECTION_LOST)
                .callEnds("a", Outcome.CONNECTION_LOST)
                .arrive("b", ISSUE).wantsCall("b").callEnds("b", Outcome.CONNECTION_LOST).matches("spoilt");
    }

    @Test
    void callThatCanNotBeLeftOutIsMadeHoweverSlowTheLastWere() {
        Desk desk = new Desk().with(s -> s.cores(4).memoryKilobytes(10000)).open();
        for (int i = 0; i < 4; i++) {
            desk.quietly(d -> d.arrive("w", READ).wantsCall("w").callEnds("w", Outcome.SUCCEEDED, 3).runEnds("w",
                    Outcome.SUCCEEDED));
        }
        desk.arrive("a", ISSUE).wantsCall("a").arrive("b", READ).wantsCall("b").matches("slow-calls");
    }

    @Test
    void callsArePacedWhileTheyTakeLongAndThoseThatCanBeLeftOutGiveWay() {
        Desk desk = new Desk().with(s -> s.dependencyTopology(DependencyTopology.SHARED).dependencyCallQuota(1)
                .dependencyQuotaSpanSeconds(5).cores(4).memoryKilobytes(10000)).open();
        for (int i = 0; i < 45; i++) {
            desk.at(i * 0.2).quietly(d -> d.arrive("w", READ).wantsCall("w").callEnds("w", Outcome.SUCCEEDED, 0.05)
                    .runEnds("w", Outcome.SUCCEEDED));
        }
        for (int i = 0; i < 8; i++) {
            desk.at(9 + i * 0.1).quietly(d -> d.arrive("s", READ).wantsCall("s").callEnds("s", Outcome.SUCCEEDED, 0.9)
                    .runEnds("s", Outcome.SUCCEEDED));
        }
        desk.at(10).arrive("a", READ).arrive("b", ISSUE).arrive("c", READ).wantsCall("a").wantsCall("b")
                .wantsCall("c").until(12.5).matches("pace");
    }

    @Test
    void requestsParkedForACallCountInTheCrowdThatMayComeBack() {
        Desk desk = new Desk().with(s -> s.memoryKilobytes(10000).coldStart(true).coldSpeed(0.2).warmUpSeconds(16)
                .dependencyTopology(DependencyTopology.SHARED).dependencyCallQuota(0.1)).open();
        for (int i = 0; i < 3; i++) {
            desk.arrive("r" + i, READ).wantsCall("r" + i);
        }
        desk.matches("parked-crowd");
    }

    @Test
    void connectionsOfSeldomCallersAreClosedWhileCoresIdleAndKeptWhileNewcomersCrowd() {
        Desk desk = new Desk().with(s -> s.callers(100).maxConnectionIdleSeconds(30)).open();
        for (int i = 0; i < 16; i++) {
            desk.until(i * 0.5).quietly(d -> d.arrive("a", READ).runEnds("a", Outcome.SUCCEEDED));
        }
        desk.gauge(RuntimeGauges.CORE_USE, 0.3).until(13);
        desk.gauge(RuntimeGauges.ON_CORES, 9).until(16);
        desk.gauge(RuntimeGauges.ON_CORES, 0).until(24).matches("connections");
    }

    @Test
    void withNothingLearnedFromOthersAllIsRuledAsItWasBeforeThatCouldBe() {
        new Desk()
                .with(s -> s.cores(2).memoryKilobytes(2000).dependencyTopology(DependencyTopology.SHARED)
                        .dependencyCallQuota(2))
                .open().play(20261201, 160).matches("unlearned");
    }

    @Test
    void whatOthersFinishTurnsAwayAtOnceWhatCanNotCome() {
        Desk desk = new Desk().with(s -> s.memoryKilobytes(10000)).open();
        desk.learn(Kind.COMPLETION_RATE, "", 1, 30).learn(Kind.RUN_TIME, "read", 0.4, 3);
        for (int i = 0; i < 5; i++) {
            desk.arrive("a" + i, READ);
        }
        desk.until(0.5).runEnds("a0", Outcome.SUCCEEDED).matches("learned-outgoing");
    }

    @Test
    void learnedRunTimesGrowWithTheColdOnesSlownessAndNeverMakeHopelessWhatCouldStart() {
        Desk desk =
                new Desk().with(s -> s.memoryKilobytes(10000).coldStart(true).coldSpeed(0.2).warmUpSeconds(16)).open();
        desk.learn(Kind.RUN_TIME, "read", 0.3, 3).learn(Kind.RUN_TIME, "place", 99, 3)
                .learn(Kind.RUN_TIME, "unheard-of", 1, 3);
        desk.arrive("p", PLACE).at(0.6).arrive("late", READ, 0.3, 0.9, null).arrive("new", READ)
                .runEnds("p", Outcome.SUCCEEDED)
                .matches("learned-run-times");
    }

    @Test
    void learnedCallsLiftNoBoundOnWhatLiesBelowAndOwnOnesOverruleThem() {
        Desk desk = new Desk().with(s -> s.dependencyTopology(DependencyTopology.SHARED).dependencyCallQuota(2)
                .dependencyQuotaSpanSeconds(5).cores(4).memoryKilobytes(10000)).open();
        desk.learn(Kind.CALLS_IN_FLIGHT, "", 1e9, 1000).quietly(d -> d.arrive("f", READ).wantsCall("f")
                .callEnds("f", Outcome.FAILED).runEnds("f", Outcome.SUCCEEDED));
        for (int i = 0; i < 6; i++) {
            desk.arrive("c" + i, ISSUE).wantsCall("c" + i);
        }
        desk.matches("learned-calls");
    }

    @Test
    void onlyWhatIsAllOwnAndOfAWarmServerIsToldToOthers() {
        Desk desk = new Desk().with(s -> s.cores(4).memoryKilobytes(10000)).open();
        desk.learn(Kind.RUN_TIME, "read", 0.9, 3).tells();
        for (int i = 0; i < 10; i++) {
            desk.at(i).quietly(d -> d.arrive("r", READ).runEnds("r", Outcome.SUCCEEDED));
        }
        desk.tells();
        Desk cold = new Desk().with(s -> s.coldStart(true).coldSpeed(0.2).warmUpSeconds(16)).open();
        for (int i = 0; i < 10; i++) {
            cold.at(i).quietly(d -> d.arrive("r", READ).runEnds("r", Outcome.SUCCEEDED));
        }
        cold.tells().matches("learned-cold");
        desk.matches("learned-told");
    }
}
