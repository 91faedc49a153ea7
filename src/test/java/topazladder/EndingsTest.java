package topazladder;

import static org.assertj.core.api.Assertions.assertThat;

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
class EndingsTest extends ServiceBench {

    @Test
    void callerThatSendsNoMoreIsAnsweredAllThatIsOpenAndThenClosedOn() throws Exception {
        runtime.say("ready LOADED 3600000\r\n");
        try (Stub stub = up()) {
            stub.send(Frames.request(1, A, "read"), Frames.request(2, B, "read"));
            stub.saysNoMore();
            hears("start " + A + " read 4", 4, "body");
            hears("start " + B + " read 4", 4, "body");
            // The word that finds out who is gone comes before any answer.
            assertThat(stub.hear()).isEqualTo("48 on 0");
            runtime.say("end 1 " + B + " PASS 9 2\r\nr2\r\n");
            assertThat(answer(stub)).isEqualTo("17 on 2 code 0 r2");
            runtime.say("end 2 " + A + " PASS 9 2\r\nr1\r\n");
            assertThat(answer(stub)).isEqualTo("17 on 1 code 0 r1");
            assertThat(stub.hear()).isEqualTo("closed");
            assertThat(stub.wasReset()).isFalse();
        }
    }

    @Test
    void callerThatRestsThroughTheDrainIsToldAndEndedInOrderBeforeTheKill() throws Exception {
        runtime.say("ready LOADED 3600000\r\n");
        try (Stub rests = up()) {
            rests.send(Frames.request(1, A, "read"));
            hears("start " + A + " read 4", 4, "body");
            runtime.say("end 1 " + A + " PASS 9 2\r\nr1\r\n");
            assertThat(rests.hear()).isEqualTo("17 on 1 code 0 r1");
            service.leave();
            assertThat(rests.hear()).isEqualTo("48 on 0");
            assertThat(rests.hear()).isEqualTo("closed");
            // What comes after the end of the instance's own side is read away, and never sent on.
            rests.send(Frames.request(2, B, "read"));
            assertThat(runtime.hear()).isEqualTo("closed");
            assertThat(rests.wasReset()).isFalse();
            assertThat(exit.get(20, TimeUnit.SECONDS)).isZero();
        }
    }

    @Test
    void noticeBeforeTheRuntimeIsUpTellsWhoeverIsConnectedBeforeItCloses() throws Exception {
        try (Stub stub = new Stub(port)) {
            stub.send(Frames.request(1, A, "read"));
            assertThat(stub.hear()).isEqualTo("17 on 1 code 1");
            service.leave();
            service.leave();
            assertThat(stub.hear()).isEqualTo("48 on 0");
            stub.send(Frames.request(2, B, "read"));
            assertThat(stub.hear()).isEqualTo("17 on 2 code 1");
            assertThat(stub.hear()).isEqualTo("closed");
            assertThat(stub.wasReset()).isFalse();
            assertThat(exit.get(20, TimeUnit.SECONDS)).isZero();
        }
    }

    @Test
    void runThatEndsAsTheLinkIsTakenUpAgainIsNotStartedASecondTime() throws Exception {
        runtime.say("ready LOADED 3600000\r\n");
        try (Stub stub = up()) {
            stub.send(Frames.request(1, A, "place", "replay", "F"));
            hears("start " + A + " place 4", 4, "body");
            again();
            String question = runtime.hearQuestion();
            // The run ends between the answer to the question and whatever the instance says next.
            runtime.say("load " + question.substring(7) + " 0.5 1\r\nend 1 " + A + " PASS 9 2\r\nr1\r\n");
            assertThat(stub.hear()).isEqualTo("17 on 1 code 0 r1");
            stub.send(Frames.request(2, B, "read"));
            hears("start " + B + " read 4", 4, "body");
        }
    }

    @Test
    void startThatWasLostWithTheLinkIsFailedAndThenShownNeverToHaveRun() throws Exception {
        runtime.say("ready LOADED 3600000\r\n");
        try (Stub stub = up()) {
            // It has seen how long such a run takes: nine milliseconds.
            stub.send(Frames.request(1, C, "place", "replay", "G"));
            hears("start " + C + " place 4", 4, "body");
            runtime.say("end 1 " + C + " PASS 9 2\r\nr0\r\n");
            assertThat(stub.hear()).isEqualTo("17 on 1 code 0 r0");
            stub.send(Frames.request(2, A, "place", "replay", "F"));
            hears("start " + A + " place 4", 4, "body");
            runtime.hangUp();
            runtime.accept();
            assertThat(runtime.hear()).isEqualTo("sync 1");
            runtime.say("ready LOADED 3600000\r\n");
            String question = runtime.hearQuestion();
            runtime.say("load " + question.substring(7) + " 0.5 1\r\n");
            // No sign of a run: its caller hears so, and only then is it started once more, to be told that it is over.
            runtime.hearQuestion();
            runtime.say("load " + question.substring(7) + " 0.5 1\r\n");
            assertThat(stub.hear()).isEqualTo("17 on 2 code 2");
            hears("start " + A + " place 4", 4, "body");
            runtime.say("end 2 " + A + " NOOP 0 0\r\n\r\n");
            stub.send(Frames.request(3, B, "place", "replay", "F", "dup", "1"));
            hears("start " + B + " place 4", 4, "body");
            runtime.say("end 3 " + B + " PASS 9 2\r\nr2\r\n");
            assertThat(stub.hear()).isEqualTo("17 on 3 code 0 r2");
        }
    }

    @Test
    void startThatWasRuledWhileThereWasNoLinkIsInNoDoubt() throws Exception {
        runtime.say("ready LOADED 3600000\r\n");
        try (Stub stub = up()) {
            runtime.hangUp();
            runtime.accept();
            assertThat(runtime.hear()).isEqualTo("sync 0");
            stub.send(Frames.request(1, A, "place", "replay", "F"), Frames.frame(32, 2, Frames.fields()));
            assertThat(stub.hear()).startsWith("33 on 2");
            runtime.say("ready LOADED 3600000\r\n");
            hears("start " + A + " place 4", 4, "body");
            runtime.say("end 1 " + A + " PASS 9 2\r\nr1\r\n");
            assertThat(stub.hear()).isEqualTo("17 on 1 code 0 r1");
        }
    }

    @Test
    void linkThatMovesIsLeftOnceAllThatWasWrittenToItIsShownToBeRead() throws Exception {
        runtime.say("ready LOADED 3600000\r\n");
        try (Stub stub = up(); Peer left = runtime; Peer next = new Peer()) {
            // It has seen how long such a run takes: nine milliseconds.
            stub.send(Frames.request(1, C, "place", "replay", "G"));
            hears("start " + C + " place 4", 4, "body");
            runtime.say("end 1 " + C + " PASS 9 2\r\nr0\r\n");
            assertThat(stub.hear()).isEqualTo("17 on 1 code 0 r0");
            stub.send(Frames.request(2, A, "place", "replay", "F"));
            hears("start " + A + " place 4", 4, "body");
            service.reload(() -> terms("", next.address()));
            next.accept();
            for (String q = left.hearQuestion(); !q.equals("closed"); q = left.hearQuestion()) {
                left.say("load " + q.substring(7) + " 0.5 1\r\n");
            }
            runtime = next;
            assertThat(next.hear()).isEqualTo("sync 1");
            next.say("ready LOADED 3600000\r\n");
            // Longer than one in doubt is given: the first is in none.
            for (int i = 0; i < 20; i++) {
                next.say("load " + next.hearQuestion().substring(7) + " 0.5 1\r\n");
            }
            next.say("end 2 " + A + " PASS 9 2\r\nr1\r\n");
            assertThat(stub.hear()).isEqualTo("17 on 2 code 0 r1");
        }
    }

    @Test
    void linkOnWhichTheRuntimeSaysNothingIsTakenAnewWithAllThatIsUnderWay() throws Exception {
        runtime.say("ready LOADED 3600000\r\n");
        try (Stub stub = up(); Peer silent = runtime) {
            stub.send(Frames.request(1, A, "place", "replay", "F"));
            hears("start " + A + " place 4", 4, "body");
            runtime.say("wants 1 " + A + " 1\r\nx\r\n");
            index.accept();
            assertThat(index.hear()).startsWith("GET " + A);
            // From here on nothing is said; no packet tells that the other end is gone.
            runtime.accept();
            assertThat(runtime.hear()).isEqualTo("sync 1");
            runtime.say("ready LOADED 3600000\r\nend 2 " + A + " PASS 9 2\r\nr1\r\n");
            assertThat(stub.hear()).isEqualTo("17 on 1 code 0 r1");
        }
    }

    @Test
    void deepCheckIsAnsweredThoughTheLinkItWasAskedOnIsLost() throws Exception {
        try (Stub deep = new Stub(port)) {
            deep.send(Frames.frame(32, 1, Frames.fields("inner", "1")));
            assertThat(runtime.hear()).isEqualTo("selftest 1");
            runtime.hangUp();
            assertThat(deep.hear()).isEqualTo("33 on 1 code 1");
            runtime.accept();
        }
    }

    @Test
    void idleCallersThatFillTheTableLeaveRoomForLinksBelowAndForNewcomers() throws Exception {
        stop();
        startWith("", 148);
        runtime.say("ready LOADED 3600000\r\n");
        try (Stub owed = up()) {
            owed.send(Frames.request(1, A, "place", "replay", "F"));
            hears("start " + A + " place 4", 4, "body");
            Stub rests = new Stub(port);
            rests.send(Frames.request(1, B, "read"));
            hears("start " + B + " read 4", 4, "body");
            runtime.say("end 1 " + B + " PASS 9 2\r\nr2\r\n");
            assertThat(rests.hear()).isEqualTo("17 on 1 code 0 r2");
            // Two places, both taken: one with a request open, one idle. The link and a call still get through.
            runtime.hangUp();
            runtime.accept();
            assertThat(runtime.hear()).isEqualTo("sync 1");
            runtime.say("ready LOADED 3600000\r\nwants 2 " + A + " 1\r\nx\r\n");
            index.accept();
            assertThat(index.hear()).startsWith("GET " + A);
            index.hear(1);
            // A newcomer takes the place of the idle one, never of the one that is owed an answer.
            try (Stub newcomer = new Stub(port)) {
                newcomer.send(Frames.request(1, C, "read"));
                hears("start " + C + " read 4", 4, "body");
                assertThat(rests.hear()).isEqualTo("48 on 0");
                assertThat(rests.hear()).isEqualTo("closed");
                assertThat(rests.wasReset()).isFalse();
                index.say(A + " HIT 2\r\nok\r\n");
                hears("give " + A + " 2", 2, "ok");
                runtime.say("end 3 " + A + " PASS 9 2\r\nr1\r\nend 4 " + C + " PASS 9 2\r\nr3\r\n");
                assertThat(owed.hear()).isEqualTo("17 on 1 code 0 r1");
                assertThat(newcomer.hear()).isEqualTo("17 on 1 code 0 r3");
            }
        }
    }

    @Test
    void whatComesLateOnALinkThatWasLeftTearsNoLineOfTheNext() throws Exception {
        runtime.say("ready LOADED 3600000\r\n");
        try (Stub stub = up(); Peer left = runtime; Peer next = new Peer()) {
            stub.send(Frames.request(1, A, "place", "replay", "F"));
            hears("start " + A + " place 4", 4, "body");
            // More than the system takes for one that does not read: the close must wait behind it.
            for (int i = 1; i <= UNREAD_REPLIES; i++) {
                runtime.say("wants " + i + " " + A + " 1\r\nx\r\n");
                index.accept();
                assertThat(index.hear()).startsWith("GET " + A);
                index.hear(1);
                index.say(A + " HIT 65536\r\n" + "y".repeat(65536) + "\r\n");
            }
            service.reload(() -> terms("", next.address()));
            next.accept();
            assertThat(next.hear()).isEqualTo("sync " + UNREAD_REPLIES);
            left.say("load c0 0.5 1\r\nend 99");
            runtime = next;
            next.say("ready LOADED 3600000\r\nend " + (UNREAD_REPLIES + 1) + " " + A + " PASS 9 2\r\nr1\r\n");
            assertThat(stub.hear()).isEqualTo("17 on 1 code 0 r1");
        }
    }

    @Test
    void requestsUnderWayAndTheirRepeatsSurviveAReloadInTheMiddleOfTheDrain() throws Exception {
        runtime.say("ready LOADED 3600000\r\n");
        try (Stub stub = up(); Peer left = runtime; Peer next = new Peer()) {
            stub.send(Frames.request(1, A, "place", "replay", "F"));
            hears("start " + A + " place 4", 4, "body");
            service.reload(() -> terms("", next.address()));
            service.leave();
            next.accept();
            assertThat(next.hear()).isEqualTo("sync 0");
            stub.send(Frames.request(2, B, "place", "replay", "F", "dup", "1"));
            next.say("ready LOADED 3600000\r\nend 1 " + A + " PASS 9 2\r\nr1\r\n");
            assertThat(List.of(answer(stub), answer(stub)))
                    .containsExactlyInAnyOrder("17 on 1 code 0 r1", "17 on 2 code 0 r1");
            runtime = next;
            assertThat(exit.get(20, TimeUnit.SECONDS)).isZero();
        }
    }

    @Test
    void indexThatIsSlowToDialCostsItsOwnCallAlone() throws Exception {
        runtime.say("ready LOADED 3600000\r\n");
        List<Socket> waiting = new ArrayList<>();
        try (Stub stub = up(); ServerSocket slow = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
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
            service.reload(() -> terms("", runtime.address(), "127.0.0.1:" + slow.getLocalPort()));
            stub.send(Frames.request(1, A, "check"), Frames.request(2, B, "read"));
            hears("start " + A + " check 4", 4, "body");
            hears("start " + B + " read 4", 4, "body");
            runtime.say("wants 1 " + A + " 1\r\nx\r\nend 2 " + B + " PASS 9 2\r\nr2\r\n");
            assertThat(stub.hear()).isEqualTo("17 on 2 code 0 r2");
            assertThat(runtime.hear()).isEqualTo("omit " + A + " 1");
            runtime.say("end 3 " + A + " PASS 9 2\r\nr1\r\n");
            assertThat(stub.hear()).isEqualTo("17 on 1 code 0 r1");
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
        runtime.say("ready LOADED 3600000\r\n");
        try (Stub one = up()) {
            one.send(Frames.request(1, A, "read"));
            hears("start " + A + " read 4", 4, "body");
            Stub two = new Stub(port).send(Frames.request(1, B, "read"));
            hears("start " + B + " read 4", 4, "body");
            Stub newcomer = new Stub(port).send(Frames.request(1, C, "read"));
            hears("start " + C + " read 4", 4, "body");
            runtime.say("end 1 " + C + " PASS 9 2\r\nr3\r\nend 2 " + A + " PASS 9 2\r\nr1\r\nend 3 " + B
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
        runtime.hangUp();
        runtime.accept();
        assertThat(runtime.hear()).isEqualTo("sync 0");
        runtime.say("ready LOADED 3600000\r\n");
    }

    /** The next frame but the word that no request is wanted, which may come twice. */
    private static String answer(Stub stub) throws Exception {
        String said = stub.hear();
        while (said.equals("48 on 0")) {
            said = stub.hear();
        }
        return said;
    }
}
