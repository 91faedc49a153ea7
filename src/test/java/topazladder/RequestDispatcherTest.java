package topazladder;

import org.junit.jupiter.api.Test;
import topazladder.request.Outcome;

/** What passes through one instance between its callers on one side, runtime and index on the other. */
class RequestDispatcherTest {

    @Test
    void repeatOfAFingerprintIsAnsweredFromTheOneRunToTheEndOfItsWindow() {
        new Floor().open().arrive("a", "place", "F").until(0.1).arrive("a2", "place", "F")
                .ends("a", Outcome.SUCCEEDED, "result").until(1).arrive("a3", "place", "F")
                .until(12).arrive("a4", "place", "F", 1012, "acme")
                .arrive("a5", "place", "F", 1012.001, "acme").countsAndPhase().matches("service-repeats");
    }

    @Test
    void tryThatCameWithinTheWindowButWasReadAfterAPauseIsNotRunAgain() {
        new Floor().open().arrive("a", "place", "F").ends("a", Outcome.SUCCEEDED, "result").pause(14)
                .arrive("a2", "place", "F", 1011.9, "acme").until(14.2).arrive("a3", "place", "F", 1011.99, "acme")
                .matches("service-late-repeat");
    }

    @Test
    void fingerprintWithAnotherBodyGetsNoResultOfTheFirstAndNeverRuns() {
        new Floor().open().arrive("a", "place", "F", 1000, "acme", "one").arrive("b", "place", "F", 1000, "acme", "two")
                .ends("a", Outcome.SUCCEEDED, "result").arrive("b2", "place", "F", 1000, "acme", "two")
                .arrive("a2", "place", "F", 1000, "acme", "one").countsAndPhase().matches("service-other-body");
    }

    @Test
    void resultOfARunThatNobodyWaitsForIsKeptForARepeat() {
        new Floor().open().arrive("a", "place", "F").gone("a").arrive("a2", "place", "F")
                .ends("a", Outcome.SUCCEEDED, "result")
                .arrive("b", "place", "G").ends("b", Outcome.CANCELLED, "").arrive("b2", "place", "G")
                .countsAndPhase().matches("service-caller-gone");
    }

    @Test
    void heldRequestWhoseCallerIsGoneNeverRunsAndItsRepeatDoes() {
        new Floor().open().quietly(f -> {
            for (int i = 0; i < 2; i++) {
                f.arrive("r" + i, "read", null);
            }
        }).arrive("a", "place", "F").gone("a").arrive("a2", "place", "F").ends("r0", Outcome.SUCCEEDED, "x")
                .matches("service-gone-while-held");
    }

    @Test
    void resultsPastTheirBoundAreLetGoButTheirRequestsNeverRunAgain() {
        new Floor().open().quietly(f -> {
            for (int i = 0; i < 9; i++) {
                f.arrive("a" + i, "place", "F" + i).endsWith("a" + i, 1 << 20);
            }
        }).arrive("b7", "place", "F7").arrive("b8", "place", "F8").matches("service-results-bounded");
    }

    @Test
    void callsAreMadeGivenLeftOutAndGivenUp() {
        new Floor().open().arrive("a", "place", "F").wants("a", 7).replies("a", Outcome.SUCCEEDED)
                .wants("a", 9).replies("a", Outcome.CONNECTION_LOST).ends("a", Outcome.CANCELLED, "")
                .arrive("b", "check", null).wants("b", 12).replies("b", Outcome.UNREACHABLE)
                .ends("b", Outcome.SUCCEEDED, "poorer").arrive("c", "read", null).wants("c", 14).until(6)
                .replies("c", Outcome.SUCCEEDED).ends("c", Outcome.CANCELLED, "")
                .arrive("d", "read", null).wants("d", 16).ends("d", Outcome.CANCELLED, "").matches("service-calls");
    }

    @Test
    void drainTakesWithinTheGraceAnswersAllAndExitsBeforeTheKill() {
        new Floor().open().arrive("a", "read", null).until(1).leave().arrive("b", "read", null)
                .check("h", false).until(2.5).arrive("late", "read", null).leave().until(3)
                .ends("a", Outcome.SUCCEEDED, "x").until(6).matches("service-drain");
    }

    @Test
    void noticeBeforeTheRuntimeIsUpEndsAsSoonAsWhoeverIsConnectedIsTold() {
        new Floor().listens().arrive("a", "read", null).check("h", false).leave().leave()
                .arrive("b", "read", null).until(1).countsAndPhase()
                .matches("service-leave-early");
    }

    @Test
    void requestThatCanNotBeDecidedOnIsAnsweredOnceAndNeverReachesTheModule() {
        new Floor().open().arrive("a", "unheard-of", null).arrive("b", "read", null, 1000, "nobody")
                .arrive("c", "read", "F").arrive("d", "place", null).arrive("e", "read", null)
                .arrive("e", "read", null).arrive("long-ago", "read", null, 1, "acme")
                .arrive("ahead", "read", null, 2000, "acme")
                .ends("nobody", Outcome.SUCCEEDED, "x").countsAndPhase().matches("service-unusable");
    }

    @Test
    void timersThatComeLateAfterAPauseAnswerWhatIsDueAtOnce() {
        new Floor().open().quietly(f -> f.arrive("r0", "read", null).arrive("r1", "read", null))
                .arrive("a", "read", null).pause(8).until(8.1).arrive("b", "read", null, 1001, "acme").until(8.2)
                .matches("service-pause");
    }

    @Test
    void gaugesOfALostLinkAreNotTakenForFresh() {
        new Floor().open().until(0.2).inFlight().linkLost().until(0.4).inFlight().matches("service-gauges");
    }

    @Test
    void deepCheckAsksTheRuntimeUntilTheModuleRulesOnHealth() {
        new Floor().listens().check("h1", true).check("h2", false).verdict(1, true).verdict(1, true).open()
                .check("h3", true).matches("service-checks");
    }

    @Test
    void requestThatTheRuntimeDidNotStartIsFailedAndMayRunAnotherTime() {
        new Floor().open().arrive("a", "place", "F").arrive("a2", "place", "F").nacked("a").nacked("a")
                .arrive("a3", "place", "F").countsAndPhase()
                .matches("service-nack");
    }

    @Test
    void resultThatIsNotKeptForWantOfRoomStillGoesToThoseThatWaitForIt() {
        new Floor().open().quietly(f -> {
            for (int i = 0; i < 8; i++) {
                f.arrive("a" + i, "place", "F" + i).endsWith("a" + i, 1 << 20);
            }
        }).arrive("b", "place", "G").arrive("b2", "place", "G").endsWith("b", 1 << 20)
                .matches("service-joined-not-kept");
    }

    @Test
    void triesThatBothLayUnreadPastAShortWindowRunOnce() {
        new Floor(SHORT_WINDOW).open().pause(1.5).arrive("a", "place", "F", 1000, "acme")
                .arrive("a2", "place", "F", 1000.9, "acme").ends("a", Outcome.SUCCEEDED, "result")
                .until(3).arrive("a3", "place", "F", 1003, "acme").matches("service-unread-past-window");
    }

    @Test
    void windowIsCountedFromACallersClockThatIsAhead() {
        new Floor(SHORT_WINDOW).open().arrive("a", "place", "F", 1000.5, "acme").ends("a", Outcome.SUCCEEDED, "result")
                .until(1.4).arrive("a2", "place", "F", 1001.5, "acme").matches("service-clock-ahead");
    }

    @Test
    void tryOfARequestThatNeverRanIsNotLeftToWaitForItsRun() {
        new Floor(SHORT_WINDOW).open().quietly(f -> f.arrive("r0", "read", null).arrive("r1", "read", null))
                .arrive("a", "place", "F").until(1.5).gone("a").arrive("a2", "place", "F", 1000.9, "acme")
                .ends("r0", Outcome.SUCCEEDED, "x").matches("service-forgotten-past-window");
    }

    @Test
    void startInDoubtWaitsForASignThenIsFailedAndOnlyThenStartedAgain() {
        new Floor().open().quietly(f -> f.arrive("w", "place", "E").until(0.4).ends("w", Outcome.SUCCEEDED, "x"))
                .arrive("a", "place", "F").arrive("r", "read", null).doubtful("a").doubtful("r")
                .until(0.7).arrive("a2", "place", "F").until(2.2).ends("a", Outcome.NOT_STARTED, "")
                .arrive("a3", "place", "F").countsAndPhase().matches("service-doubt");
    }

    @Test
    void runInDoubtThatShowsASignGoesOn() {
        new Floor().open().quietly(f -> f.arrive("w", "place", "E").until(0.4).ends("w", Outcome.SUCCEEDED, "x"))
                .arrive("a", "place", "F").doubtful("a").until(0.5).wants("a", 7).until(2)
                .replies("a", Outcome.SUCCEEDED)
                .until(3).ends("a", Outcome.SUCCEEDED, "result").matches("service-doubt-sign");
    }

    @Test
    void deepCheckOfALostLinkIsAnswered() {
        new Floor().listens().check("h1", true).linkLost().verdict(1, true).matches("service-check-lost");
    }

    @Test
    void faultOverOneAnswerCostsNoOtherRequestItsOwnNorTheTimers() {
        new Floor().open().quietly(f -> f.arrive("r0", "read", null).arrive("r1", "read", null))
                .arrive("a", "read", null).arrive("b", "read", null).breaksOn("a").until(2.5)
                .arrive("c", "read", null).until(8).countsAndPhase().matches("service-fault");
    }

    @Test
    void resultInTheTickOfTheDueTimeIsTheOneAnswerAndAfterItNone() {
        new Floor().open().arrive("a", "place", "F").until(4.85).pause(4.9).ends("a", Outcome.SUCCEEDED, "result")
                .until(6)
                .arrive("b", "place", "G").until(10.95).ends("b", Outcome.SUCCEEDED, "result").until(12)
                .countsAndPhase().matches("service-due-running");
    }

    @Test
    void replyInTheTickOfTheDueTimeIsGivenAndAfterItTheCallIsGivenUpOnce() {
        new Floor().open().arrive("a", "place", "F").wants("a", 1).until(1.85).pause(1.9)
                .replies("a", Outcome.SUCCEEDED)
                .until(2).ends("a", Outcome.SUCCEEDED, "result").arrive("b", "place", "G").wants("b", 2).until(6.95)
                .replies("b", Outcome.SUCCEEDED).ends("b", Outcome.CANCELLED, "").until(8).countsAndPhase()
                .matches("service-due-calling");
    }

    @Test
    void heldRequestIsNotStartedInTheTickInWhichItIsGivenUp() {
        new Floor().open().quietly(f -> f.arrive("r0", "read", null).arrive("r1", "read", null))
                .arrive("a", "place", "F").until(2.11).ends("r0", Outcome.SUCCEEDED, "x").until(3)
                .arrive("b", "place", "G").countsAndPhase().matches("service-due-held");
    }

    @Test
    void repeatWhoseDueTimeComesFirstIsAnsweredAtItAndTheResultGoesToTheOthers() {
        new Floor().open().arrive("a", "place", "F").arrive("a2", "place", "F", 997, "acme")
                .arrive("a3", "place", "F").until(1.95).ends("a", Outcome.SUCCEEDED, "result").until(3).countsAndPhase()
                .matches("service-due-repeated");
    }

    @Test
    void giveUpThatCrossesTheAnswerChangesNothing() {
        new Floor().open().arrive("a", "place", "F").ends("a", Outcome.SUCCEEDED, "result").gone("a").until(1)
                .arrive("a2", "place", "F").countsAndPhase().matches("service-give-up-crosses");
    }

    private static final String SHORT_WINDOW = Floor.SETTINGS.replace("WindowNs=12000000000", "WindowNs=1000000000");
}
