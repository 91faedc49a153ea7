package standins;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A path between one client stub and a service instance is cut for six seconds and whole again. What was sent in the
 * last second of that has time left when it comes, and is owed its answer.
 */
public final class PartitionCase extends Case {
    /** Of the class "ask" of deploy/sites/one-class, as are the other settings of the instance. */
    private static final double DEADLINE = 1.6;
    private static final int WORK_MILLIS = 140;
    private static final double CUT_SECONDS = 6;
    private static final double GAP = 0.1;
    /** AnswerSlackNs of the settings, and the 50 ms that the protocol page adds on sockets. */
    private static final double SLACK = 0.1 + 0.05;
    /** A request with less time left than this when the path is whole again is not counted. */
    private static final double LEAST_LEFT = 0.4;

    private PartitionCase(String folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        new PartitionCase(args[0]).run();
    }

    private static String config(int listen, int runtime, int control) {
        return """
            {"name":"n1","listen":"127.0.0.1:%d","runtime":"127.0.0.1:%d","control":"127.0.0.1:%d","seed":"1",
             "stop_ms":3000,"limits":{"cores":1.0,"memory_mb":192,"sockets":512},
             "settings":{"Classes":[
              {"Name":"ask","Idempotency":"keyed","TargetNs":700000000,"DeadlineNs":1600000000,
               "WindowNs":2500000000,"Importance":4.0}],
              "Extra":{"Cores":6,"MemoryKb":260000.0,"RunFactor":16.0,"KeyKb":80.0,"Below":"none","CancelSeen":true,
               "KeepaliveMaxNs":15000000000,"OwnStats":["core_use","on_cores"],"Say":"tokens"},
              "Safety":{"AnswerSlackNs":100000000,"DrainGraceNs":900000000,"FallMultiple":8.0,
               "OverloadForNs":1500000000}}}
            """.formatted(listen, runtime, control);
    }

    @Override
    String play() throws Exception {
        int[] ports = Programs.freePorts(4);
        new RuntimeStand(record, requests, ports[1], sent -> new double[] {WORK_MILLIS + ThreadLocalRandom.current().nextInt(WORK_MILLIS)});
        new ControlStand(ports[2]);
        Proxy path = new Proxy(ports[3], ports[0]);
        Process instance = programs.serve("n1", config(ports[0], ports[1], ports[2]), "");
        Stub.awaitHealthy(ports[0], 30);
        Stub far = new Stub(record, requests, 1, ports[3]);
        Stub near = new Stub(record, requests, 2, ports[0]);

        double began = Record.now();
        double cutAt = began + 4;
        double wholeAt = cutAt + CUT_SECONDS;
        double sendUntil = wholeAt + 4;
        boolean cut = false;
        int number = 0;
        for (double next = began; Record.now() < sendUntil + DEADLINE + 1; next += GAP) {
            double now = Record.now();
            boolean shouldBeCut = trouble && now >= cutAt && now < wholeAt;
            if (shouldBeCut != cut) {
                cut = shouldBeCut;
                path.cut(cut);
                record.say(cut ? "the path of stub-1 is cut" : "the path of stub-1 is whole again");
            }
            if (now < sendUntil) {
                number++;
                for (Stub stub : List.of(far, near)) {
                    stub.send(new Stub.Request("ask", null, Stub.hex(32), false, "0.5000",
                            ("body " + number + " of " + stub).getBytes()), DEADLINE);
                }
            }
            far.giveUpWhatIsDue(SLACK);
            near.giveUpWhatIsDue(SLACK);
            Thread.sleep(Math.max(1, Math.round((next + GAP - Record.now()) * 1000)));
        }
        if (!instance.isAlive()) {
            return "the instance ended by itself with status " + instance.exitValue();
        }
        return judge(trouble ? cutAt : Double.MAX_VALUE, wholeAt);
    }

    private String judge(double cutAt, double wholeAt) {
        int sent = 0;
        int excused = 0;
        List<String> unanswered = new ArrayList<>();
        int twice = 0;
        for (Requests.Sent each : requests.all().values()) {
            sent++;
            twice += each.answers > 1 ? 1 : 0;
            boolean inTime = each.isAnswered() && each.answeredAt <= each.dueAt + SLACK;
            if (inTime) {
                continue;
            }
            boolean couldNotBeTold = each.stub == 1 && each.writtenAt < wholeAt + 0.05
                    && each.dueAt > cutAt - 0.05 && each.dueAt < wholeAt + LEAST_LEFT;
            if (couldNotBeTold) {
                excused++;
            } else {
                unanswered.add("%s of stub-%d, written at %.3f, due at %.3f, %s".formatted(each.id, each.stub,
                        each.writtenAt, each.dueAt, Double.isNaN(each.connectionEndedAt) ? "not answered in time"
                                : "its connection was ended at %.3f".formatted(each.connectionEndedAt)));
            }
        }
        unanswered.forEach(each -> record.add("judge", "no final answer: " + each));
        record.say(sent + " requests were written; " + excused + " were due while the path was cut or at once after, "
                + "and are not counted; " + unanswered.size() + " others got no final answer in their time");
        if (twice > 0) {
            return twice + " requests got two answers";
        }
        return unanswered.size() > 0.003 * sent
                ? unanswered.size() + " of " + sent + " requests got no final answer, more than 3 in 1,000" : null;
    }
}
