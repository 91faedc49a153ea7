package topazladder;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.ConnectException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import topazladder.config.InvalidSettingsException;
import topazladder.net.ServiceInstance;
import topazladder.net.WarmUp;

/** One service instance on real sockets, all round it played by stand-ins. */
@Timeout(60)
class ServiceTest extends ServiceBench {
    @Test
    void manyOpenRequestsAreAnsweredInAnyOrder() throws IOException {
        runtime.say("ready LOADED 3600000\r\n");
        try (Stub stub = up()) {
            stub.send(Frames.request(1, A, "read"), Frames.request(2, B, "read"));
            hears("start " + A + " read 4", 4, "body");
            hears("start " + B + " read 4", 4, "body");
            runtime.say("end 1 " + B + " PASS 9 2\r\nr2\r\nend 2 " + A + " PASS 9 2\r\nr1\r\n");
            assertThat(stub.hear()).isEqualTo("17 on 2 code 0 r2");
            assertThat(stub.hear()).isEqualTo("17 on 1 code 0 r1");
        }
    }

    @Test
    void repeatOnAnotherConnectionIsAnsweredFromTheOneRun() throws IOException {
        runtime.say("ready LOADED 3600000\r\n");
        try (Stub one = up(); Stub two = new Stub(port)) {
            one.send(Frames.request(1, A, "place", "replay", "F"));
            hears("start " + A + " place 4", 4, "body");
            two.send(Frames.request(1, B, "place", "replay", "F", "dup", "1"), Frames.request(2, C, "read"));
            hears("start " + C + " read 4", 4, "body");
            runtime.say("end 1 " + A + " PASS 9 2\r\nr1\r\n");
            assertThat(one.hear()).isEqualTo("17 on 1 code 0 r1");
            assertThat(two.hear()).isEqualTo("17 on 1 code 0 r1");
        }
    }

    @Test
    void malformedFrameEndsItsConnectionWithAllThatIsOpenOnItAndNoOther() throws IOException {
        runtime.say("ready LOADED 3600000\r\n");
        try (Stub bad = up(); Stub good = new Stub(port)) {
            bad.send(Frames.request(1, A, "read"), Frames.request(1, B, "read"), Frames.request(3, C, "read"));
            hears("start " + A + " read 4", 4, "body");
            assertThat(bad.hear()).isEqualTo("17 on 1 code 2");
            assertThat(bad.hear()).isEqualTo("17 on 0 code 2 stream 1 used twice");
            good.send(Frames.request(1, C, "read"));
            hears("start " + C + " read 4", 4, "body");
            runtime.say("end 1 " + A + " PASS 9 2\r\nr1\r\nend 2 " + C + " PASS 9 2\r\nr2\r\n");
            assertThat(bad.hear()).isEqualTo("closed");
            assertThat(good.hear()).isEqualTo("17 on 1 code 0 r2");
        }
    }

    @Test
    void badRequestInASoundFrameGetsOneFailedAnswerAndTheConnectionGoesOn() throws IOException {
        runtime.say("ready LOADED 3600000\r\n");
        try (Stub stub = up()) {
            stub.send(Frames.request(1, "x", "read"), Frames.request(2, A, "unheard-of"), Frames.request(3, B, "read"));
            assertThat(stub.hear()).isEqualTo("17 on 1 code 2");
            assertThat(stub.hear()).isEqualTo("17 on 2 code 2");
            hears("start " + B + " read 4", 4, "body");
            runtime.say("end 1 " + B + " FAIL 9 0\r\n\r\n");
            assertThat(stub.hear()).isEqualTo("17 on 3 code 2");
        }
    }

    @Test
    void callerThatAsksForTooMuchOrGoesOnWithWhatIsUnusableLosesAllOnItsConnection() throws IOException {
        runtime.say("ready LOADED 3600000\r\n");
        try (Stub many = up(); Stub odd = new Stub(port); Stub back = new Stub(port); Stub good = new Stub(port)) {
            for (int i = 1; i <= 33; i++) {
                many.send(Frames.request(i, String.format("%016x", 100 + i), "read"));
            }
            for (int i = 1; i <= 4; i++) {
                hears("start " + String.format("%016x", 100 + i) + " read 4", 4, "body");
            }
            for (int i = 1; i <= 32; i++) {
                assertThat(many.hear()).startsWith("17 on ").contains(" code 2");
            }
            assertThat(many.hear()).isEqualTo("17 on 0 code 2 more than 32 requests open");
            assertThat(many.hear()).isEqualTo("closed");
            odd.send(Frames.request(1, A, "none"), Frames.request(2, A, "none"), Frames.request(3, "x", "read"));
            for (int i = 1; i <= 3; i++) {
                assertThat(odd.hear()).isEqualTo("17 on " + i + " code 2");
            }
            assertThat(odd.hear()).startsWith("17 on 0 code 2 too many requests that");
            assertThat(odd.hear()).isEqualTo("closed");
            for (int i = 1; i <= 65; i++) {
                back.send(Frames.request(i, A, "read"), Frames.frame(18, i));
            }
            assertThat(back.hear()).isEqualTo("17 on 0 code 2 too many requests taken back");
            assertThat(back.hear()).isEqualTo("closed");
            good.send(Frames.request(1, B, "read"));
            runtime.say("end 1 " + "0000000000000065 PASS 9 2\r\nr1\r\n");
            hears("start " + B + " read 4", 4, "body");
        }
    }

    @Test
    void connectionThatSaysNothingOrHalfIsToldAndClosedAndOneThatWaitsIsNot() throws IOException {
        runtime.say("ready LOADED 3600000\r\n");
        try (Stub good = up(); Stub silent = new Stub(port); Stub half = new Stub(port)) {
            good.send(Frames.request(1, A, "read"));
            hears("start " + A + " read 4", 4, "body");
            half.send(Arrays.copyOf(Frames.request(1, B, "read"), 40));
            assertThat(silent.hear()).isEqualTo("17 on 0 code 2 no whole request in time");
            assertThat(half.hear()).isEqualTo("17 on 0 code 2 no whole request in time");
            assertThat(silent.hear()).isEqualTo("closed");
            assertThat(half.hear()).isEqualTo("closed");
            runtime.say("end 1 " + A + " PASS 9 2\r\nr1\r\n");
            assertThat(good.hear()).isEqualTo("17 on 1 code 0 r1");
        }
    }

    @Test
    void fullTableTakesWhoComesInPlaceOfWhoSaysNothing() throws Exception {
        stop();
        startWith("", 148);
        runtime.say("ready LOADED 3600000\r\n");
        try (Stub busy = up().send(Frames.request(1, A, "read"))) {
            hears("start " + A + " read 4", 4, "body");
            Stub silent = new Stub(port);
            Stub third = new Stub(port);
            third.send(Frames.request(1, B, "read"));
            hears("start " + B + " read 4", 4, "body");
            assertThat(silent.hear()).isEqualTo("closed");
            runtime.say("end 1 " + A + " PASS 9 2\r\nr1\r\nend 2 " + B + " PASS 9 2\r\nr2\r\n");
            assertThat(busy.hear()).isEqualTo("17 on 1 code 0 r1");
            assertThat(third.hear()).isEqualTo("17 on 1 code 0 r2");
        }
    }

    @Test
    void reloadMovesToNewAddressesWithAllUnderWayAndABadOneChangesNothing() throws Exception {
        runtime.say("ready LOADED 3600000\r\n");
        try (Stub stub = up();
                Peer old = runtime;
                Peer oldIndex = index;
                DatagramSocket plane =
                        new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            stub.send(Frames.request(1, A, "place", "replay", "F"));
            hears("start " + A + " place 4", 4, "body");
            runtime.say("wants 1 " + A + " 1\r\nx\r\n");
            index.accept();
            assertThat(index.hear()).startsWith("GET " + A);
            index.hear(1);
            service.reload(() -> {
                throw new InvalidSettingsException("runtime is missing");
            });
            runtime = new Peer();
            index = new Peer();
            control = plane.getLocalPort();
            service.reload(() -> terms(""));
            DatagramPacket report = new DatagramPacket(new byte[99], 99);
            plane.setSoTimeout(20_000);
            plane.receive(report);
            assertThat(new String(report.getData(), 0, report.getLength())).isEqualTo("lease n1 Ready");
            runtime.accept();
            assertThat(runtime.hear()).isEqualTo("sync 1");
            assertThat(old.hear()).isEqualTo("closed");
            runtime.say("ready LOADED 3600000\r\n");
            // The call under way ends where it was made, the next is made at the new address.
            oldIndex.say(A + " HIT 2\r\nok\r\n");
            hears("give " + A + " 2", 2, "ok");
            runtime.say("wants 2 " + A + " 1\r\ny\r\n");
            index.accept();
            assertThat(index.hear()).startsWith("GET " + A);
            index.hear(1);
            index.say(A + " HIT 2\r\nok\r\n");
            hears("give " + A + " 2", 2, "ok");
            runtime.say("end 3 " + A + " PASS 9 2\r\nr1\r\n");
            assertThat(stub.hear()).isEqualTo("17 on 1 code 0 r1");
        }
    }

    @Test
    void spoiltReplyCostsItsOwnCallAloneAndWhatComesBesideAReplyNone() throws IOException {
        runtime.say("ready LOADED 3600000\r\n");
        try (Stub stub = up(); Peer second = new Peer()) {
            stub.send(Frames.request(1, A, "place", "replay", "F"), Frames.request(2, B, "place", "replay", "G"));
            hears("start " + A + " place 4", 4, "body");
            hears("start " + B + " place 4", 4, "body");
            runtime.say("wants 1 " + A + " 1\r\nx\r\n");
            index.accept();
            assertThat(index.hear()).startsWith("GET " + A);
            index.hear(1);
            index.say("\u0001\u0002");
            assertThat(index.hear()).isEqualTo("closed");
            assertThat(stub.hear()).isEqualTo("17 on 1 code 2");
            runtime.say("wants 2 " + B + " 1\r\nx\r\n");
            index.accept();
            assertThat(index.hear()).startsWith("GET " + B);
            index.hear(1);
            index.say(C + " HIT 2\r\nno\r\n" + B + " HIT 2\r\nok\r\n" + B + " HIT 2\r\nok\r\n");
            hears("give " + B + " 2", 2, "ok");
            assertThat(index.hear()).isEqualTo("closed");
        }
    }

    @Test
    void callerThatLeavesGetsNoAnswerAndItsRunGoesOn() throws IOException {
        runtime.say("ready LOADED 3600000\r\n");
        try (Stub gone = up(); Stub stub = new Stub(port)) {
            gone.send(Frames.request(1, A, "place", "replay", "F"));
            hears("start " + A + " place 4", 4, "body");
            gone.close();
            stub.send(Frames.request(1, B, "read"), Frames.frame(18, 1), Frames.request(2, C, "place", "replay", "F"));
            hears("start " + B + " read 4", 4, "body");
            runtime.say("end 1 " + B + " PASS 9 2\r\nr2\r\nend 2 " + A + " PASS 9 2\r\nr1\r\n");
            assertThat(stub.hear()).isEqualTo("17 on 2 code 0 r1");
        }
    }

    @Test
    void linkTakenUpAgainLosesNothingAndDoublesNothing() throws IOException {
        runtime.say("ready LOADED 3600000\r\n");
        try (Stub stub = up()) {
            stub.send(Frames.request(1, A, "place", "replay", "F"), Frames.request(2, B, "read"));
            hears("start " + A + " place 4", 4, "body");
            hears("start " + B + " read 4", 4, "body");
            stub.send(Frames.request(3, C, "read"));
            hears("start " + C + " read 4", 4, "body");
            runtime.say("wants 1 " + A + " 1\r\nx\r\n");
            index.accept();
            assertThat(index.hear()).startsWith("GET " + A);
            index.hear(1);
            runtime.hangUp();
            index.say(A + " HIT 2\r\nok\r\n");
            runtime.accept();
            assertThat(runtime.hear()).isEqualTo("sync 1");
            // What was missed: the run of the second request is over, so that it must not be started again. Whether
            // the third was ever started is not known.
            runtime.say("ready LOADED 3600000\r\nend 2 " + B + " PASS 9 2\r\nr2\r\n");
            assertThat(stub.hear()).isEqualTo("17 on 2 code 0 r2");
            String question = runtime.hearQuestion();
            runtime.say("load " + question.substring(7) + " 0.5 1\r\n");
            hears("start " + C + " read 4", 4, "body");
            hears("give " + A + " 2", 2, "ok");
            runtime.say("end 2 " + B + " PASS 9 2\r\nr9\r\nend 3 " + A + " PASS 9 2\r\nr1\r\n");
            assertThat(stub.hear()).isEqualTo("17 on 1 code 0 r1");
        }
    }

    @Test
    void lineThatIsNoNoticeMakesTheLinkAnew() throws IOException {
        runtime.say("ready LOADED 3600000\r\n");
        try (Stub stub = up()) {
            runtime.say("load  0.5 1\r\n   \r\n");
            runtime.accept();
            assertThat(runtime.hear()).isEqualTo("sync 0");
            runtime.say("ready LOADED 3600000\r\n");
            stub.send(Frames.request(1, A, "read"));
            hears("start " + A + " read 4", 4, "body");
        }
    }

    @Test
    void refusedIndexIsToldFromOneThatBreaksDuringACall() throws IOException {
        runtime.say("ready LOADED 3600000\r\n");
        try (Stub stub = up()) {
            stub.send(Frames.request(1, A, "place", "replay", "F"));
            hears("start " + A + " place 4", 4, "body");
            runtime.say("wants 1 " + A + " 1\r\nx\r\n");
            index.accept();
            assertThat(index.hear()).startsWith("GET " + A);
            index.hear(1);
            index.close();
            assertThat(stub.hear()).isEqualTo("17 on 1 code 2");
            stub.send(Frames.request(2, B, "check"));
            hears("start " + B + " check 4", 4, "body");
            runtime.say("wants 2 " + B + " 1\r\nx\r\n");
            assertThat(runtime.hear()).isEqualTo("omit " + B + " 2");
        }
    }

    @Test
    void runThatIsStoppedAtItsCallGivesTheCallUpAndOneNeverStartedIsFailed() throws IOException {
        runtime.say("ready LOADED 3600000\r\n");
        try (Stub stub = up()) {
            stub.send(Frames.request(1, A, "read"));
            hears("start " + A + " read 4", 4, "body");
            runtime.say("wants 1 " + A + " 1\r\nx\r\n");
            index.accept();
            assertThat(index.hear()).startsWith("GET " + A);
            index.hear(1);
            runtime.say("end 2 " + A + " KILLED 9 0\r\n\r\n");
            assertThat(index.hear()).isEqualTo("closed");
            assertThat(stub.hear()).isEqualTo("17 on 1 code 2");
            stub.send(Frames.request(2, B, "read"));
            hears("start " + B + " read 4", 4, "body");
            runtime.say("nack start " + B + "\r\n");
            assertThat(stub.hear()).isEqualTo("17 on 2 code 2");
            stub.send(Frames.request(3, C, "read"));
            hears("start " + C + " read 4", 4, "body");
            runtime.say("info 3 all is well\r\nend 4 " + C + " NOOP 0 0\r\n\r\n");
            assertThat(stub.hear()).isEqualTo("17 on 3 code 2");
        }
    }

    @Test
    void indexThatClosesAnIdleConnectionIsReachedOnANewOne() throws IOException {
        runtime.say("ready LOADED 3600000\r\n");
        try (Stub stub = up()) {
            stub.send(Frames.request(1, A, "place", "replay", "F"));
            hears("start " + A + " place 4", 4, "body");
            for (int notice = 1; notice <= 2; notice++) {
                runtime.say("wants " + notice + " " + A + " 1\r\nx\r\n");
                index.accept();
                assertThat(index.hear()).startsWith("GET " + A);
                index.hear(1);
                index.say(A + " HIT 2\r\nok\r\n");
                hears("give " + A + " 2", 2, "ok");
                index.saysNoMore();
                // The end of the connection is seen before the next call is made.
                assertThat(index.hear()).isEqualTo("closed");
            }
        }
    }

    @Test
    void idleConnectionIsAskedForNoNewRequestAndOneThatCrossesIsAnswered() throws Exception {
        stop();
        start("\"Upstreams\":9,\"KeepaliveMaxNs\":1000000,");
        runtime.say("ready LOADED 3600000\r\n");
        CompletableFuture<Void> runs = CompletableFuture.runAsync(() -> {
            try {
                hears("start " + A + " read 4", 4, "body");
                runtime.say("end 1 " + A + " PASS 9 2\r\nr1\r\n");
                runtime.hear();
            } catch (IOException e) {
                // Closed at the end of the test.
            }
        });
        try (Stub stub = up()) {
            assertThat(stub.hear()).isEqualTo("48 on 0");
            stub.send(Frames.request(1, A, "read"));
            assertThat(stub.hear()).isEqualTo("17 on 1 code 0 r1");
            assertThat(stub.hear()).isEqualTo("closed");
        }
        service.leave();
        runs.get(20, TimeUnit.SECONDS);
    }

    @Test
    void runtimeThatComesUpLateIsWaitedFor() throws IOException {
        try (Stub check = new Stub(port); Stub deep = new Stub(port); Stub stub = new Stub(port)) {
            check.send(Frames.frame(32, 1, Frames.fields()));
            assertThat(check.hear()).isEqualTo("33 on 1 code 1");
            deep.send(Frames.frame(32, 1, Frames.fields("inner", "1")));
            assertThat(runtime.hear()).isEqualTo("selftest 1");
            stub.send(Frames.request(1, A, "read"));
            assertThat(stub.hear()).isEqualTo("17 on 1 code 1");
            runtime.say("verdict 1 PASS\r\nready EMPTY 0\r\n");
            assertThat(deep.hear()).isEqualTo("33 on 1 code 0");
        }
    }

    @Test
    void noticeToLeaveAsksForNoNewRequestAnswersWhatIsOpenAndExits() throws Exception {
        runtime.say("ready LOADED 3600000\r\n");
        try (Stub stub = up()) {
            stub.send(Frames.request(1, A, "read"));
            hears("start " + A + " read 4", 4, "body");
            service.leave();
            service.leave();
            assertThat(stub.hear()).isEqualTo("48 on 0");
            // Refused, and not cut off later: nothing that was written can be lost.
            assertThatThrownBy(() -> {
                while (true) {
                    new Stub(port).close();
                }
            }).isInstanceOf(ConnectException.class);
            runtime.say("end 1 " + A + " PASS 9 2\r\nr1\r\n");
            assertThat(stub.hear()).startsWith("17 on 1 code ");
            stub.close();
            assertThat(exit.get(20, TimeUnit.SECONDS)).isZero();
        }
        // The address is free for the next at once.
        CompletableFuture<Integer> nextExit = new CompletableFuture<>();
        ServiceInstance next = new ServiceInstance(terms(""), nextExit::complete);
        next.start();
        runtime.accept();
        assertThat(runtime.hear()).isEqualTo("sync 0");
        next.leave();
        assertThat(nextExit.get(20, TimeUnit.SECONDS)).isZero();
    }

    @Test
    void callerThatDoesNotReadHarmsNoOther() throws IOException {
        runtime.say("ready LOADED 3600000\r\n");
        try (Stub deaf = up(); Stub stub = new Stub(port)) {
            // Far more answers than the sockets between hold: the sender stands still once nothing is read any more.
            Thread sender = new Thread(() -> {
                try {
                    for (int i = 1; i < 1_000_000; i++) {
                        deaf.send(Frames.request(i, "x", "read"));
                    }
                } catch (IOException e) {
                    // Closed at the end of the test.
                }
            });
            sender.start();
            stub.send(Frames.request(1, A, "read"));
            hears("start " + A + " read 4", 4, "body");
            runtime.say("end 1 " + A + " PASS 9 2\r\nr1\r\n");
            assertThat(stub.hear()).isEqualTo("17 on 1 code 0 r1");
        }
    }

    @Test
    void connectionsPastTheFullTableWaitForRoomAndAllAreTaken() throws Exception {
        stop();
        startWith("", 148);
        runtime.say("ready LOADED 3600000\r\n");
        List<Stub> stubs = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            stubs.add(new Stub(port));
        }
        try (Stub last = new Stub(port)) {
            last.send(Frames.request(1, A, "read"));
            hears("start " + A + " read 4", 4, "body");
        }
        for (Stub stub : stubs) {
            stub.close();
        }
    }

    @Test
    void rehearsalAnswersItsRequestsAndLeavesTheInstanceToStart() throws IOException {
        assertThat(WarmUp.play(terms(""))).isPositive();
        runtime.say("ready LOADED 3600000\r\n");
        up().close();
    }

    @Test
    void addressInUseEndsTheProcessWithStatusOne() throws Exception {
        CompletableFuture<Integer> second = new CompletableFuture<>();
        new ServiceInstance(terms(""), second::complete).start();
        assertThat(second.get(20, TimeUnit.SECONDS)).isEqualTo(1);
    }
}
