package topazladder;

import static org.assertj.core.api.Assertions.assertThat;
import static topazladder.CallerFrameBuilder.deepHealthCheck;
import static topazladder.CallerFrameBuilder.healthCheck;
import static topazladder.CallerFrameBuilder.request;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The moments in which something ends while something is still owed: docs/endings.md names each of these tests. */
@Timeout(60)
class EndingsTest extends ServiceInstanceFixture {

    @Test
    void callerThatSendsNoMoreIsAnsweredAllThatIsOpenAndThenClosedOn() throws Exception {
        runtime.send(READY_LOADED);
        try (StandInCaller caller = connectOnceHealthy()) {
            caller.send(request(1, A, "read"), request(2, B, "read"));
            caller.shutdownOutput();
            assertRuntimeReceives("start " + A + " read 4", 4, "body");
            assertRuntimeReceives("start " + B + " read 4", 4, "body");
            // The word that finds out who is gone comes before any answer.
            assertThat(caller.receive()).isEqualTo("48 on 0");
            runtime.send("end 1 " + B + " PASS 9 2\r\nr2\r\n");
            assertThat(answer(caller)).isEqualTo("17 on 2 code 0 r2");
            runtime.send("end 2 " + A + " PASS 9 2\r\nr1\r\n");
            assertThat(answer(caller)).isEqualTo("17 on 1 code 0 r1");
            assertThat(caller.receive()).isEqualTo("closed");
            assertThat(caller.wasReset()).isFalse();
        }
    }

    @Test
    void callerThatRestsThroughTheDrainIsToldAndEndedInOrderBeforeTheKill() throws Exception {
        runtime.send(READY_LOADED);
        try (StandInCaller rests = connectOnceHealthy()) {
            rests.send(request(1, A, "read"));
            assertRuntimeReceives("start " + A + " read 4", 4, "body");
            runtime.send("end 1 " + A + " PASS 9 2\r\nr1\r\n");
            assertThat(rests.receive()).isEqualTo("17 on 1 code 0 r1");
            service.leave();
            assertThat(rests.receive()).isEqualTo("48 on 0");
            assertThat(rests.receive()).isEqualTo("closed");
            // What comes after the end of the instance's own side is read away, and never sent on.
            rests.send(request(2, B, "read"));
            assertThat(runtime.receive()).isEqualTo("closed");
            assertThat(rests.wasReset()).isFalse();
            assertThat(exit.get(20, TimeUnit.SECONDS)).isZero();
        }
    }

    @Test
    void noticeBeforeTheRuntimeIsUpTellsWhoeverIsConnectedBeforeItCloses() throws Exception {
        try (StandInCaller caller = new StandInCaller(port)) {
            caller.send(request(1, A, "read"));
            assertThat(caller.receive()).isEqualTo("17 on 1 code 1");
            service.leave();
            service.leave();
            assertThat(caller.receive()).isEqualTo("48 on 0");
            caller.send(request(2, B, "read"));
            assertThat(caller.receive()).isEqualTo("17 on 2 code 1");
            assertThat(caller.receive()).isEqualTo("closed");
            assertThat(caller.wasReset()).isFalse();
            assertThat(exit.get(20, TimeUnit.SECONDS)).isZero();
        }
    }

    @Test
    void runThatEndsAsTheLinkIsTakenUpAgainIsNotStartedASecondTime() throws Exception {
        runtime.send(READY_LOADED);
        try (StandInCaller caller = connectOnceHealthy()) {
            caller.send(request(1, A, "place", "replay", "F"));
            assertRuntimeReceives("start " + A + " place 4", 4, "body");
            again();
            String question = runtime.receiveGaugesQuestion();
            // The run ends between the answer to the question and whatever the instance says next.
            runtime.send("load " + question.substring(7) + " 0.5 1\r\nend 1 " + A + " PASS 9 2\r\nr1\r\n");
            assertThat(caller.receive()).isEqualTo("17 on 1 code 0 r1");
            caller.send(request(2, B, "read"));
            assertRuntimeReceives("start " + B + " read 4", 4, "body");
        }
    }

    @Test
    void startThatWasLostWithTheLinkIsFailedAndThenShownNeverToHaveRun() throws Exception {
        runtime.send(READY_LOADED);
        try (StandInCaller caller = connectOnceHealthy()) {
            // It has seen how long such a run takes: nine milliseconds.
            caller.send(request(1, C, "place", "replay", "G"));
            assertRuntimeReceives("start " + C + " place 4", 4, "body");
            runtime.send("end 1 " + C + " PASS 9 2\r\nr0\r\n");
            assertThat(caller.receive()).isEqualTo("17 on 1 code 0 r0");
            caller.send(request(2, A, "place", "replay", "F"));
            assertRuntimeReceives("start " + A + " place 4", 4, "body");
            runtime.disconnect();
            runtime.accept();
            assertThat(runtime.receive()).isEqualTo("sync 1");
            runtime.send(READY_LOADED);
            String question = runtime.receiveGaugesQuestion();
            runtime.answerGauges(question);
            // No sign of a run: its caller hears so, and only then is it started once more, to be told that it is over.
            runtime.receiveGaugesQuestion();
            runtime.answerGauges(question);
            assertThat(caller.receive()).isEqualTo("17 on 2 code 2");
            assertRuntimeReceives("start " + A + " place 4", 4, "body");
            runtime.send("end 2 " + A + " NOOP 0 0\r\n\r\n");
            caller.send(request(3, B, "place", "replay", "F", "dup", "1"));
            assertRuntimeReceives("start " + B + " place 4", 4, "body");
            runtime.send("end 3 " + B + " PASS 9 2\r\nr2\r\n");
            assertThat(caller.receive()).isEqualTo("17 on 3 code 0 r2");
        }
    }

    @Test
    void startThatWasRuledWhileThereWasNoLinkIsInNoDoubt() throws Exception {
        runtime.send(READY_LOADED);
        try (StandInCaller caller = connectOnceHealthy()) {
            runtime.disconnect();
            runtime.accept();
            assertThat(runtime.receive()).isEqualTo("sync 0");
            caller.send(request(1, A, "place", "replay", "F"), healthCheck(2));
            assertThat(caller.receive()).startsWith("33 on 2");
            runtime.send(READY_LOADED);
            assertRuntimeReceives("start " + A + " place 4", 4, "body");
            runtime.send("end 1 " + A + " PASS 9 2\r\nr1\r\n");
            assertThat(caller.receive()).isEqualTo("17 on 1 code 0 r1");
        }
    }

    @Test
    void linkThatMovesIsLeftOnceAllThatWasWrittenToItIsShownToBeRead() throws Exception {
        runtime.send(READY_LOADED);
        try (StandInCaller caller = connectOnceHealthy();
                StandInLineServer left = runtime;
                StandInLineServer next = new StandInLineServer()) {
            // It has seen how long such a run takes: nine milliseconds.
            caller.send(request(1, C, "place", "replay", "G"));
            assertRuntimeReceives("start " + C + " place 4", 4, "body");
            runtime.send("end 1 " + C + " PASS 9 2\r\nr0\r\n");
            assertThat(caller.receive()).isEqualTo("17 on 1 code 0 r0");
            caller.send(request(2, A, "place", "replay", "F"));
            assertRuntimeReceives("start " + A + " place 4", 4, "body");
            service.reload(() -> settings("", next.address()));
            next.accept();
            for (String q = left.receiveGaugesQuestion(); !q.equals("closed"); q = left.receiveGaugesQuestion()) {
                left.answerGauges(q);
            }
            runtime = next;
            assertThat(next.receive()).isEqualTo("sync 1");
            next.send(READY_LOADED);
            // Longer than one in doubt is given: the first is in none.
            for (int i = 0; i < 20; i++) {
                next.answerGauges(next.receiveGaugesQuestion());
            }
            next.send("end 2 " + A + " PASS 9 2\r\nr1\r\n");
            assertThat(caller.receive()).isEqualTo("17 on 2 code 0 r1");
        }
    }

    @Test
    void linkOnWhichTheRuntimeSaysNothingIsTakenAnewWithAllThatIsUnderWay() throws Exception {
        runtime.send(READY_LOADED);
        try (StandInCaller caller = connectOnceHealthy(); StandInLineServer silent = runtime) {
            caller.send(request(1, A, "place", "replay", "F"));
            assertRuntimeReceives("start " + A + " place 4", 4, "body");
            runtime.send("wants 1 " + A + " 1\r\nx\r\n");
            index.accept();
            assertThat(index.receive()).startsWith("GET " + A);
            // From here on nothing is said; no packet tells that the other end is gone.
            runtime.accept();
            assertThat(runtime.receive()).isEqualTo("sync 1");
            runtime.send(READY_LOADED + "end 2 " + A + " PASS 9 2\r\nr1\r\n");
            assertThat(caller.receive()).isEqualTo("17 on 1 code 0 r1");
        }
    }

    @Test
    void deepCheckIsAnsweredThoughTheLinkItWasAskedOnIsLost() throws Exception {
        try (StandInCaller deep = new StandInCaller(port)) {
            deep.send(deepHealthCheck(1));
            assertThat(runtime.receive()).isEqualTo("selftest 1");
            runtime.disconnect();
            assertThat(deep.receive()).isEqualTo("33 on 1 code 1");
            runtime.accept();
        }
    }

    @Test
    void idleCallersThatFillTheTableLeaveRoomForLinksBelowAndForNewcomers() throws Exception {
        stop();
        startWith("", 148);
        runtime.send(READY_LOADED);
        try (StandInCaller owed = connectOnceHealthy()) {
            owed.send(request(1, A, "place", "replay", "F"));
            assertRuntimeReceives("start " + A + " place 4", 4, "body");
            StandInCaller rests = new StandInCaller(port);
            rests.send(request(1, B, "read"));
            assertRuntimeReceives("start " + B + " read 4", 4, "body");
            runtime.send("end 1 " + B + " PASS 9 2\r\nr2\r\n");
            assertThat(rests.receive()).isEqualTo("17 on 1 code 0 r2");
            // Two places, both taken: one with a request open, one idle. The link and a call still get through.
            runtime.disconnect();
            runtime.accept();
            assertThat(runtime.receive()).isEqualTo("sync 1");
            runtime.send(READY_LOADED + "wants 2 " + A + " 1\r\nx\r\n");
            index.accept();
            assertThat(index.receive()).startsWith("GET " + A);
            index.receivePayload(1);
            // A newcomer takes the place of the idle one, never of the one that is owed an answer.
            try (StandInCaller newcomer = new StandInCaller(port)) {
                newcomer.send(request(1, C, "read"));
                assertRuntimeReceives("start " + C + " read 4", 4, "body");
                assertThat(rests.receive()).isEqualTo("48 on 0");
                assertThat(rests.receive()).isEqualTo("closed");
                assertThat(rests.wasReset()).isFalse();
                index.send(A + " HIT 2\r\nok\r\n");
                assertRuntimeReceives("give " + A + " 2", 2, "ok");
                runtime.send("end 3 " + A + " PASS 9 2\r\nr1\r\nend 4 " + C + " PASS 9 2\r\nr3\r\n");
                assertThat(owed.receive()).isEqualTo("17 on 1 code 0 r1");
                assertThat(newcomer.receive()).isEqualTo("17 on 1 code 0 r3");
            }
        }
    }

    @Test
    void whatComesLateOnALinkThatWasLeftTearsNoLineOfTheNext() throws Exception {
        runtime.send(READY_LOADED);
        try (StandInCaller caller = connectOnceHealthy();
                StandInLineServer left = runtime;
                StandInLineServer next = new StandInLineServer()) {
            caller.send(request(1, A, "place", "replay", "F"));
            assertRuntimeReceives("start " + A + " place 4", 4, "body");
            // More than the system takes for one that does not read: the close must wait behind it.
            for (int i = 1; i <= UNREAD_REPLIES; i++) {
                runtime.send("wants " + i + " " + A + " 1\r\nx\r\n");
                index.accept();
                assertThat(index.receive()).startsWith("GET " + A);
                index.receivePayload(1);
                index.send(A + " HIT 65536\r\n" + "y".repeat(65536) + "\r\n");
            }
            service.reload(() -> settings("", next.address()));
            next.accept();
            assertThat(next.receive()).isEqualTo("sync " + UNREAD_REPLIES);
            left.send("load c0 0.5 1\r\nend 99");
            runtime = next;
            next.send(READY_LOADED + "end " + (UNREAD_REPLIES + 1) + " " + A + " PASS 9 2\r\nr1\r\n");
            assertThat(caller.receive()).isEqualTo("17 on 1 code 0 r1");
        }
    }

    @Test
    void requestsUnderWayAndTheirRepeatsSurviveAReloadInTheMiddleOfTheDrain() throws Exception {
        runtime.send(READY_LOADED);
        try (StandInCaller caller = connectOnceHealthy();
                StandInLineServer left = runtime;
                StandInLineServer next = new StandInLineServer()) {
            caller.send(request(1, A, "place", "replay", "F"));
            assertRuntimeReceives("start " + A + " place 4", 4, "body");
            service.reload(() -> settings("", next.address()));
            service.leave();
            next.accept();
            assertThat(next.receive()).isEqualTo("sync 0");
            caller.send(request(2, B, "place", "replay", "F", "dup", "1"));
            next.send(READY_LOADED + "end 1 " + A + " PASS 9 2\r\nr1\r\n");
            assertThat(List.of(answer(caller), answer(caller)))
                    .containsExactlyInAnyOrder("17 on 1 code 0 r1", "17 on 2 code 0 r1");
            runtime = next;
            assertThat(exit.get(20, TimeUnit.SECONDS)).isZero();
        }
    }

    @Test
    void indexThatIsSlowToDialCostsItsOwnCallAlone() throws Exception {
        runtime.send(READY_LOADED);
        List<Socket> waiting = new ArrayList<>();
        try (StandInCaller caller = connectOnceHealthy();
                ServerSocket slow = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            // Nobody accepts, and the system has room for no more: whoever dials now hears nothing.
            for (boolean room = true; room;) {
                Socket one = new Socket();
                waiting.add(one);
                try {
                    one.connect(slow.getLocalSocketAddress(), 200);
                } catch (SocketTimeoutException e) {
                    room = false;
                }
            }
            service.reload(() -> settings("", runtime.address(), "127.0.0.1:" + slow.getLocalPort()));
            caller.send(request(1, A, "check"), request(2, B, "read"));
            assertRuntimeReceives("start " + A + " check 4", 4, "body");
            assertRuntimeReceives("start " + B + " read 4", 4, "body");
            runtime.send("wants 1 " + A + " 1\r\nx\r\nend 2 " + B + " PASS 9 2\r\nr2\r\n");
            assertThat(caller.receive()).isEqualTo("17 on 2 code 0 r2");
            assertThat(runtime.receive()).isEqualTo("omit " + A + " 1");
            runtime.send("end 3 " + A + " PASS 9 2\r\nr1\r\n");
            assertThat(caller.receive()).isEqualTo("17 on 1 code 0 r1");
        } finally {
            for (Socket one : waiting) {
                one.close();
            }
        }
    }

    @Test
    void newcomerIsAnsweredThoughAllInTheTableAreOwedSomething() throws Exception {
        stop();
        startWith("", 148);
        runtime.send(READY_LOADED);
        try (StandInCaller one = connectOnceHealthy()) {
            one.send(request(1, A, "read"));
            assertRuntimeReceives("start " + A + " read 4", 4, "body");
            StandInCaller two = new StandInCaller(port).send(request(1, B, "read"));
            assertRuntimeReceives("start " + B + " read 4", 4, "body");
            StandInCaller newcomer = new StandInCaller(port).send(request(1, C, "read"));
            assertRuntimeReceives("start " + C + " read 4", 4, "body");
            runtime.send("end 1 " + C + " PASS 9 2\r\nr3\r\nend 2 " + A + " PASS 9 2\r\nr1\r\nend 3 " + B
                    + " PASS 9 2\r\nr2\r\n");
            assertThat(answer(newcomer)).isEqualTo("17 on 1 code 0 r3");
            assertThat(answer(one)).isEqualTo("17 on 1 code 0 r1");
            assertThat(answer(two)).isEqualTo("17 on 1 code 0 r2");
        }
    }

    /** Past what the system keeps for a link that is not read, each way. */
    private static final int UNREAD_REPLIES = 250;

    /** The link breaks and is taken up again, and nothing was missed. */
    private void again() throws Exception {
        runtime.disconnect();
        runtime.accept();
        assertThat(runtime.receive()).isEqualTo("sync 0");
        runtime.send(READY_LOADED);
    }

    /** The next frame but the word that no request is wanted, which may come twice. */
    private static String answer(StandInCaller caller) throws Exception {
        String said = caller.receive();
        while (said.equals("48 on 0")) {
            said = caller.receive();
        }
        return said;
    }
}
