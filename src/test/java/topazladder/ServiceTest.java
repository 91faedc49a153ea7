package topazladder;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static topazladder.CallerFrameBuilder.deepHealthCheck;
import static topazladder.CallerFrameBuilder.frame;
import static topazladder.CallerFrameBuilder.healthCheck;
import static topazladder.CallerFrameBuilder.request;

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
class ServiceTest extends ServiceInstanceFixture {
    @Test
    void manyOpenRequestsAreAnsweredInAnyOrder() throws IOException {
        runtime.send(READY_LOADED);
        try (StandInCaller caller = connectOnceHealthy()) {
            caller.send(request(1, A, "read"), request(2, B, "read"));
            assertRuntimeReceives("start " + A + " read 4", 4, "body");
            assertRuntimeReceives("start " + B + " read 4", 4, "body");
            runtime.send("end 1 " + B + " PASS 9 2\r\nr2\r\nend 2 " + A + " PASS 9 2\r\nr1\r\n");
            assertThat(caller.receive()).isEqualTo("17 on 2 code 0 r2");
            assertThat(caller.receive()).isEqualTo("17 on 1 code 0 r1");
        }
    }

    @Test
    void repeatOnAnotherConnectionIsAnsweredFromTheOneRun() throws IOException {
        runtime.send(READY_LOADED);
        try (StandInCaller one = connectOnceHealthy(); StandInCaller two = new StandInCaller(port)) {
            one.send(request(1, A, "place", "replay", "F"));
            assertRuntimeReceives("start " + A + " place 4", 4, "body");
            two.send(request(1, B, "place", "replay", "F", "dup", "1"), request(2, C, "read"));
            assertRuntimeReceives("start " + C + " read 4", 4, "body");
            runtime.send("end 1 " + A + " PASS 9 2\r\nr1\r\n");
            assertThat(one.receive()).isEqualTo("17 on 1 code 0 r1");
            assertThat(two.receive()).isEqualTo("17 on 1 code 0 r1");
        }
    }

    @Test
    void malformedFrameEndsItsConnectionWithAllThatIsOpenOnItAndNoOther() throws IOException {
        runtime.send(READY_LOADED);
        try (StandInCaller bad = connectOnceHealthy(); StandInCaller good = new StandInCaller(port)) {
            bad.send(request(1, A, "read"), request(1, B, "read"), request(3, C, "read"));
            assertRuntimeReceives("start " + A + " read 4", 4, "body");
            assertThat(bad.receive()).isEqualTo("17 on 1 code 2");
            assertThat(bad.receive()).isEqualTo("17 on 0 code 2 stream 1 used twice");
            good.send(request(1, C, "read"));
            assertRuntimeReceives("start " + C + " read 4", 4, "body");
            runtime.send("end 1 " + A + " PASS 9 2\r\nr1\r\nend 2 " + C + " PASS 9 2\r\nr2\r\n");
            assertThat(bad.receive()).isEqualTo("closed");
            assertThat(good.receive()).isEqualTo("17 on 1 code 0 r2");
        }
    }

    @Test
    void badRequestInASoundFrameGetsOneFailedAnswerAndTheConnectionGoesOn() throws IOException {
        runtime.send(READY_LOADED);
        try (StandInCaller caller = connectOnceHealthy()) {
            caller.send(request(1, "x", "read"), request(2, A, "unheard-of"), request(3, B, "read"));
            assertThat(caller.receive()).isEqualTo("17 on 1 code 2");
            assertThat(caller.receive()).isEqualTo("17 on 2 code 2");
            assertRuntimeReceives("start " + B + " read 4", 4, "body");
            runtime.send("end 1 " + B + " FAIL 9 0\r\n\r\n");
            assertThat(caller.receive()).isEqualTo("17 on 3 code 2");
        }
    }

    @Test
    void callerThatAsksForTooMuchOrGoesOnWithWhatIsUnusableLosesAllOnItsConnection() throws IOException {
        runtime.send(READY_LOADED);
        try (StandInCaller many = connectOnceHealthy();
                StandInCaller odd = new StandInCaller(port);
                StandInCaller back = new StandInCaller(port);
                StandInCaller good = new StandInCaller(port)) {
            for (int i = 1; i <= 33; i++) {
                many.send(request(i, String.format("%016x", 100 + i), "read"));
            }
            for (int i = 1; i <= 4; i++) {
                assertRuntimeReceives("start " + String.format("%016x", 100 + i) + " read 4", 4, "body");
            }
            for (int i = 1; i <= 32; i++) {
                assertThat(many.receive()).startsWith("17 on ").contains(" code 2");
            }
            assertThat(many.receive()).isEqualTo("17 on 0 code 2 more than 32 requests open");
            assertThat(many.receive()).isEqualTo("closed");
            odd.send(request(1, A, "none"), request(2, A, "none"), request(3, "x", "read"));
            for (int i = 1; i <= 3; i++) {
                assertThat(odd.receive()).isEqualTo("17 on " + i + " code 2");
            }
            assertThat(odd.receive()).startsWith("17 on 0 code 2 too many requests that");
            assertThat(odd.receive()).isEqualTo("closed");
            for (int i = 1; i <= 65; i++) {
                back.send(request(i, A, "read"), frame(18, i));
            }
            assertThat(back.receive()).isEqualTo("17 on 0 code 2 too many requests taken back");
            assertThat(back.receive()).isEqualTo("closed");
            good.send(request(1, B, "read"));
            runtime.send("end 1 " + "0000000000000065 PASS 9 2\r\nr1\r\n");
            assertRuntimeReceives("start " + B + " read 4", 4, "body");
        }
    }

    @Test
    void connectionThatSaysNothingOrHalfIsToldAndClosedAndOneThatWaitsIsNot() throws IOException {
        runtime.send(READY_LOADED);
        try (StandInCaller good = connectOnceHealthy();
                StandInCaller silent = new StandInCaller(port);
                StandInCaller half = new StandInCaller(port)) {
            good.send(request(1, A, "read"));
            assertRuntimeReceives("start " + A + " read 4", 4, "body");
            half.send(Arrays.copyOf(request(1, B, "read"), 40));
            assertThat(silent.receive()).isEqualTo("17 on 0 code 2 no whole request in time");
            assertThat(half.receive()).isEqualTo("17 on 0 code 2 no whole request in time");
            assertThat(silent.receive()).isEqualTo("closed");
            assertThat(half.receive()).isEqualTo("closed");
            runtime.send("end 1 " + A + " PASS 9 2\r\nr1\r\n");
            assertThat(good.receive()).isEqualTo("17 on 1 code 0 r1");
        }
    }

    @Test
    void fullTableTakesWhoComesInPlaceOfWhoSaysNothing() throws Exception {
        stop();
        startWith("", 148);
        runtime.send(READY_LOADED);
        try (StandInCaller busy = connectOnceHealthy().send(request(1, A, "read"))) {
            assertRuntimeReceives("start " + A + " read 4", 4, "body");
            StandInCaller silent = new StandInCaller(port);
            StandInCaller third = new StandInCaller(port);
            third.send(request(1, B, "read"));
            assertRuntimeReceives("start " + B + " read 4", 4, "body");
            assertThat(silent.receive()).isEqualTo("closed");
            runtime.send("end 1 " + A + " PASS 9 2\r\nr1\r\nend 2 " + B + " PASS 9 2\r\nr2\r\n");
            assertThat(busy.receive()).isEqualTo("17 on 1 code 0 r1");
            assertThat(third.receive()).isEqualTo("17 on 1 code 0 r2");
        }
    }

    @Test
    void reloadMovesToNewAddressesWithAllUnderWayAndABadOneChangesNothing() throws Exception {
        runtime.send(READY_LOADED);
        try (StandInCaller caller = connectOnceHealthy();
                StandInLineServer old = runtime;
                StandInLineServer oldIndex = index;
                DatagramSocket plane =
                        new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            caller.send(request(1, A, "place", "replay", "F"));
            assertRuntimeReceives("start " + A + " place 4", 4, "body");
            runtime.send("wants 1 " + A + " 1\r\nx\r\n");
            index.accept();
            assertThat(index.receive()).startsWith("GET " + A);
            index.receivePayload(1);
            service.reload(() -> {
                throw new InvalidSettingsException("runtime is missing");
            });
            runtime = new StandInLineServer();
            index = new StandInLineServer();
            controlPort = plane.getLocalPort();
            service.reload(() -> settings(""));
            DatagramPacket report = new DatagramPacket(new byte[99], 99);
            plane.setSoTimeout(20_000);
            plane.receive(report);
            assertThat(new String(report.getData(), 0, report.getLength())).isEqualTo("lease n1 Ready");
            runtime.accept();
            assertThat(runtime.receive()).isEqualTo("sync 1");
            assertThat(old.receive()).isEqualTo("closed");
            runtime.send(READY_LOADED);
            // The call under way ends where it was made, the next is made at the new address.
            oldIndex.send(A + " HIT 2\r\nok\r\n");
            assertRuntimeReceives("give " + A + " 2", 2, "ok");
            runtime.send("wants 2 " + A + " 1\r\ny\r\n");
            index.accept();
            assertThat(index.receive()).startsWith("GET " + A);
            index.receivePayload(1);
            index.send(A + " HIT 2\r\nok\r\n");
            assertRuntimeReceives("give " + A + " 2", 2, "ok");
            runtime.send("end 3 " + A + " PASS 9 2\r\nr1\r\n");
            assertThat(caller.receive()).isEqualTo("17 on 1 code 0 r1");
        }
    }

    @Test
    void spoiltReplyCostsItsOwnCallAloneAndWhatComesBesideAReplyNone() throws IOException {
        runtime.send(READY_LOADED);
        try (StandInCaller caller = connectOnceHealthy(); StandInLineServer second = new StandInLineServer()) {
            caller.send(request(1, A, "place", "replay", "F"), request(2, B, "place", "replay", "G"));
            assertRuntimeReceives("start " + A + " place 4", 4, "body");
            assertRuntimeReceives("start " + B + " place 4", 4, "body");
            runtime.send("wants 1 " + A + " 1\r\nx\r\n");
            index.accept();
            assertThat(index.receive()).startsWith("GET " + A);
            index.receivePayload(1);
            index.send("\u0001\u0002");
            assertThat(index.receive()).isEqualTo("closed");
            assertThat(caller.receive()).isEqualTo("17 on 1 code 2");
            runtime.send("wants 2 " + B + " 1\r\nx\r\n");
            index.accept();
            assertThat(index.receive()).startsWith("GET " + B);
            index.receivePayload(1);
            index.send(C + " HIT 2\r\nno\r\n" + B + " HIT 2\r\nok\r\n" + B + " HIT 2\r\nok\r\n");
            assertRuntimeReceives("give " + B + " 2", 2, "ok");
            assertThat(index.receive()).isEqualTo("closed");
        }
    }

    @Test
    void callerThatLeavesGetsNoAnswerAndItsRunGoesOn() throws IOException {
        runtime.send(READY_LOADED);
        try (StandInCaller gone = connectOnceHealthy(); StandInCaller caller = new StandInCaller(port)) {
            gone.send(request(1, A, "place", "replay", "F"));
            assertRuntimeReceives("start " + A + " place 4", 4, "body");
            gone.close();
            caller.send(request(1, B, "read"), frame(18, 1), request(2, C, "place", "replay", "F"));
            assertRuntimeReceives("start " + B + " read 4", 4, "body");
            runtime.send("end 1 " + B + " PASS 9 2\r\nr2\r\nend 2 " + A + " PASS 9 2\r\nr1\r\n");
            assertThat(caller.receive()).isEqualTo("17 on 2 code 0 r1");
        }
    }

    @Test
    void linkTakenUpAgainLosesNothingAndDoublesNothing() throws IOException {
        runtime.send(READY_LOADED);
        try (StandInCaller caller = connectOnceHealthy()) {
            caller.send(request(1, A, "place", "replay", "F"), request(2, B, "read"));
            assertRuntimeReceives("start " + A + " place 4", 4, "body");
            assertRuntimeReceives("start " + B + " read 4", 4, "body");
            caller.send(request(3, C, "read"));
            assertRuntimeReceives("start " + C + " read 4", 4, "body");
            runtime.send("wants 1 " + A + " 1\r\nx\r\n");
            index.accept();
            assertThat(index.receive()).startsWith("GET " + A);
            index.receivePayload(1);
            runtime.disconnect();
            index.send(A + " HIT 2\r\nok\r\n");
            runtime.accept();
            assertThat(runtime.receive()).isEqualTo("sync 1");
            // What was missed: the run of the second request is over, so that it must not be started again. Whether
            // the third was ever started is not known.
            runtime.send(READY_LOADED + "end 2 " + B + " PASS 9 2\r\nr2\r\n");
            assertThat(caller.receive()).isEqualTo("17 on 2 code 0 r2");
            String question = runtime.receiveGaugesQuestion();
            runtime.answerGauges(question);
            assertRuntimeReceives("start " + C + " read 4", 4, "body");
            assertRuntimeReceives("give " + A + " 2", 2, "ok");
            runtime.send("end 2 " + B + " PASS 9 2\r\nr9\r\nend 3 " + A + " PASS 9 2\r\nr1\r\n");
            assertThat(caller.receive()).isEqualTo("17 on 1 code 0 r1");
        }
    }

    @Test
    void lineThatIsNoNoticeMakesTheLinkAnew() throws IOException {
        runtime.send(READY_LOADED);
        try (StandInCaller caller = connectOnceHealthy()) {
            runtime.send("load  0.5 1\r\n   \r\n");
            runtime.accept();
            assertThat(runtime.receive()).isEqualTo("sync 0");
            runtime.send(READY_LOADED);
            caller.send(request(1, A, "read"));
            assertRuntimeReceives("start " + A + " read 4", 4, "body");
        }
    }

    @Test
    void refusedIndexIsToldFromOneThatBreaksDuringACall() throws IOException {
        runtime.send(READY_LOADED);
        try (StandInCaller caller = connectOnceHealthy()) {
            caller.send(request(1, A, "place", "replay", "F"));
            assertRuntimeReceives("start " + A + " place 4", 4, "body");
            runtime.send("wants 1 " + A + " 1\r\nx\r\n");
            index.accept();
            assertThat(index.receive()).startsWith("GET " + A);
            index.receivePayload(1);
            index.close();
            assertThat(caller.receive()).isEqualTo("17 on 1 code 2");
            caller.send(request(2, B, "check"));
            assertRuntimeReceives("start " + B + " check 4", 4, "body");
            runtime.send("wants 2 " + B + " 1\r\nx\r\n");
            assertThat(runtime.receive()).isEqualTo("omit " + B + " 2");
        }
    }

    @Test
    void runThatIsStoppedAtItsCallGivesTheCallUpAndOneNeverStartedIsFailed() throws IOException {
        runtime.send(READY_LOADED);
        try (StandInCaller caller = connectOnceHealthy()) {
            caller.send(request(1, A, "read"));
            assertRuntimeReceives("start " + A + " read 4", 4, "body");
            runtime.send("wants 1 " + A + " 1\r\nx\r\n");
            index.accept();
            assertThat(index.receive()).startsWith("GET " + A);
            index.receivePayload(1);
            runtime.send("end 2 " + A + " KILLED 9 0\r\n\r\n");
            assertThat(index.receive()).isEqualTo("closed");
            assertThat(caller.receive()).isEqualTo("17 on 1 code 2");
            caller.send(request(2, B, "read"));
            assertRuntimeReceives("start " + B + " read 4", 4, "body");
            runtime.send("nack start " + B + "\r\n");
            assertThat(caller.receive()).isEqualTo("17 on 2 code 2");
            caller.send(request(3, C, "read"));
            assertRuntimeReceives("start " + C + " read 4", 4, "body");
            runtime.send("info 3 all is well\r\nend 4 " + C + " NOOP 0 0\r\n\r\n");
            assertThat(caller.receive()).isEqualTo("17 on 3 code 2");
        }
    }

    @Test
    void indexThatClosesAnIdleConnectionIsReachedOnANewOne() throws IOException {
        runtime.send(READY_LOADED);
        try (StandInCaller caller = connectOnceHealthy()) {
            caller.send(request(1, A, "place", "replay", "F"));
            assertRuntimeReceives("start " + A + " place 4", 4, "body");
            for (int notice = 1; notice <= 2; notice++) {
                runtime.send("wants " + notice + " " + A + " 1\r\nx\r\n");
                index.accept();
                assertThat(index.receive()).startsWith("GET " + A);
                index.receivePayload(1);
                index.send(A + " HIT 2\r\nok\r\n");
                assertRuntimeReceives("give " + A + " 2", 2, "ok");
                index.shutdownOutput();
                // The end of the connection is seen before the next call is made.
                assertThat(index.receive()).isEqualTo("closed");
            }
        }
    }

    @Test
    void idleConnectionIsAskedForNoNewRequestAndOneThatCrossesIsAnswered() throws Exception {
        stop();
        start("\"Upstreams\":9,\"KeepaliveMaxNs\":1000000,");
        runtime.send(READY_LOADED);
        CompletableFuture<Void> runs = CompletableFuture.runAsync(() -> {
            try {
                assertRuntimeReceives("start " + A + " read 4", 4, "body");
                runtime.send("end 1 " + A + " PASS 9 2\r\nr1\r\n");
                runtime.receive();
            } catch (IOException e) {
                // Closed at the end of the test.
            }
        });
        try (StandInCaller caller = connectOnceHealthy()) {
            assertThat(caller.receive()).isEqualTo("48 on 0");
            caller.send(request(1, A, "read"));
            assertThat(caller.receive()).isEqualTo("17 on 1 code 0 r1");
            assertThat(caller.receive()).isEqualTo("closed");
        }
        service.leave();
        runs.get(20, TimeUnit.SECONDS);
    }

    @Test
    void runtimeThatComesUpLateIsWaitedFor() throws IOException {
        try (StandInCaller check = new StandInCaller(port);
                StandInCaller deep = new StandInCaller(port);
                StandInCaller caller = new StandInCaller(port)) {
            check.send(healthCheck(1));
            assertThat(check.receive()).isEqualTo("33 on 1 code 1");
            deep.send(deepHealthCheck(1));
            assertThat(runtime.receive()).isEqualTo("selftest 1");
            caller.send(request(1, A, "read"));
            assertThat(caller.receive()).isEqualTo("17 on 1 code 1");
            runtime.send("verdict 1 PASS\r\nready EMPTY 0\r\n");
            assertThat(deep.receive()).isEqualTo("33 on 1 code 0");
        }
    }

    @Test
    void noticeToLeaveAsksForNoNewRequestAnswersWhatIsOpenAndExits() throws Exception {
        runtime.send(READY_LOADED);
        try (StandInCaller caller = connectOnceHealthy()) {
            caller.send(request(1, A, "read"));
            assertRuntimeReceives("start " + A + " read 4", 4, "body");
            service.leave();
            service.leave();
            assertThat(caller.receive()).isEqualTo("48 on 0");
            // Refused, and not cut off later: nothing that was written can be lost.
            assertThatThrownBy(() -> {
                while (true) {
                    new StandInCaller(port).close();
                }
            }).isInstanceOf(ConnectException.class);
            runtime.send("end 1 " + A + " PASS 9 2\r\nr1\r\n");
            assertThat(caller.receive()).startsWith("17 on 1 code ");
            caller.close();
            assertThat(exit.get(20, TimeUnit.SECONDS)).isZero();
        }
        // The address is free for the next at once.
        CompletableFuture<Integer> nextExit = new CompletableFuture<>();
        ServiceInstance next = new ServiceInstance(settings(""), nextExit::complete);
        next.start();
        runtime.accept();
        assertThat(runtime.receive()).isEqualTo("sync 0");
        next.leave();
        assertThat(nextExit.get(20, TimeUnit.SECONDS)).isZero();
    }

    @Test
    void callerThatDoesNotReadHarmsNoOther() throws IOException {
        runtime.send(READY_LOADED);
        try (StandInCaller deaf = connectOnceHealthy(); StandInCaller caller = new StandInCaller(port)) {
            // Far more answers than the sockets between hold: the sender stands still once nothing is read any more.
            Thread sender = new Thread(() -> {
                try {
                    for (int i = 1; i < 1_000_000; i++) {
                        deaf.send(request(i, "x", "read"));
                    }
                } catch (IOException e) {
                    // Closed at the end of the test.
                }
            });
            sender.start();
            caller.send(request(1, A, "read"));
            assertRuntimeReceives("start " + A + " read 4", 4, "body");
            runtime.send("end 1 " + A + " PASS 9 2\r\nr1\r\n");
            assertThat(caller.receive()).isEqualTo("17 on 1 code 0 r1");
        }
    }

    @Test
    void connectionsPastTheFullTableWaitForRoomAndAllAreTaken() throws Exception {
        stop();
        startWith("", 148);
        runtime.send(READY_LOADED);
        List<StandInCaller> callers = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            callers.add(new StandInCaller(port));
        }
        try (StandInCaller last = new StandInCaller(port)) {
            last.send(request(1, A, "read"));
            assertRuntimeReceives("start " + A + " read 4", 4, "body");
        }
        for (StandInCaller caller : callers) {
            caller.close();
        }
    }

    @Test
    void rehearsalAnswersItsRequestsAndLeavesTheInstanceToStart() throws IOException {
        assertThat(WarmUp.play(settings(""))).isPositive();
        runtime.send(READY_LOADED);
        connectOnceHealthy().close();
    }

    @Test
    void addressInUseEndsTheProcessWithStatusOne() throws Exception {
        CompletableFuture<Integer> second = new CompletableFuture<>();
        new ServiceInstance(settings(""), second::complete).start();
        assertThat(second.get(20, TimeUnit.SECONDS)).isEqualTo(1);
    }
}
