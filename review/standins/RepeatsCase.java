package standins;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A server runs several times slower for a while. A client that has no answer to a keyed request tries again after three
 * quarters of a second, and once more. Of the tries that come within the window of one that was run, no other may be run.
 */
public final class RepeatsCase extends Case {
    private static final double LOOK_UP_DEADLINE = 2.1;
    private static final double CHARGE_DEADLINE = 3;
    private static final double WINDOW = 1.3;
    private static final double BETWEEN_TRIES = 0.75;
    private static final int TRIES = 3;
    private static final double SLACK = 0.08 + 0.05;
    private static final int CORES = 6;
    private static final double WORK_MILLIS = 330;
    private static final double SLOWER = 9.5;
    private static final double SLOW_AFTER = 6;
    private static final double SLOW_SECONDS = 16;

    private volatile boolean slow;
    private Stub stub;

    private RepeatsCase(String folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        new RepeatsCase(args[0]).run();
    }

    private static String config(int listen, int runtime, int control) {
        return """
            {"name":"n1","listen":"127.0.0.1:%d","runtime":"127.0.0.1:%d","control":"127.0.0.1:%d","seed":"1",
             "stop_ms":3000,"limits":{"cores":1.0,"memory_mb":192,"sockets":512},
             "settings":{"Classes":[
              {"Name":"look-up","Idempotency":"safe","TargetNs":900000000,"DeadlineNs":2100000000,
               "Importance":1.0,"LateWorth":0.1},
              {"Name":"charge","Idempotency":"keyed","TargetNs":1400000000,"DeadlineNs":3000000000,
               "WindowNs":1300000000,"Importance":6.0,"LateWorth":0.3}],
              "Orgs":[{"Name":"north","Share":1.0}],
              "Extra":{"Cores":%d,"MemoryKb":260000.0,"RunFactor":8.0,"KeyKb":80.0,"Below":"none","CancelSeen":true,
               "KeepaliveMaxNs":30000000000,"OwnStats":["core_use","on_cores"],"Say":"min_rank"},
              "PolicyLimits":{"RetryAfter":true,"MaxRetryAfterNs":1000000000},
              "Safety":{"AnswerSlackNs":80000000,"DrainGraceNs":2000000000,"FallMultiple":8.0,
               "OverloadForNs":3000000000}}}
            """.formatted(listen, runtime, control, CORES);
    }

    @Override
    String play() throws Exception {
        int[] ports = Programs.freePorts(3);
        RuntimeStand runtime = new RuntimeStand(record, requests, ports[1], CORES,
                sent -> new double[] {slow ? SLOWER * WORK_MILLIS : WORK_MILLIS});
        new ControlStand(ports[2]);
        Process instance = programs.serve("n1", config(ports[0], ports[1], ports[2]), "");
        Stub.awaitHealthy(ports[0], 30);
        stub = new Stub(record, requests, 1, ports[0]);

        // Ordinary traffic, of both classes.
        double slowAt = Record.now() + SLOW_AFTER;
        for (int number = 0; Record.now() < slowAt; number++) {
            boolean keyed = number % 3 == 2;
            stub.send(request(keyed, number), keyed ? CHARGE_DEADLINE : LOOK_UP_DEADLINE);
            pause(0.1);
        }
        slow = trouble;
        record.say(slow ? "the server runs " + SLOWER + " times slower" : "the server runs as before");
        pause(0.5);
        for (int number = 0; number < CORES; number++) {
            stub.send(request(false, 1000 + number), LOOK_UP_DEADLINE);
        }
        pause(0.05);
        Stub.Request charge = request(true, 2000);
        Requests.Sent last = stub.send(charge, CHARGE_DEADLINE);
        for (int tries = 1; tries < TRIES; tries++) {
            pause(BETWEEN_TRIES);
            if (!last.isAnswered()) {
                last = stub.send(new Stub.Request(charge.serviceClass(), charge.project(), charge.replay(), true,
                        charge.rank(), charge.body()), CHARGE_DEADLINE);
            }
        }
        pause(SLOW_SECONDS - (Record.now() - slowAt));
        slow = false;
        pause(4);
        if (!instance.isAlive()) {
            return "the instance ended by itself with status " + instance.exitValue();
        }
        return judge(runtime.ran());
    }

    /** Waits, and stops waiting for requests that are past their time. */
    private void pause(double seconds) throws Exception {
        double until = Record.now() + seconds;
        do {
            Thread.sleep(Math.max(1, Math.min(10, Math.round((until - Record.now()) * 1000))));
            stub.giveUpWhatIsDue(SLACK);
        } while (Record.now() < until);
    }

    private static boolean charge(Requests.Sent sent) {
        return sent.replay != null;
    }

    private static Stub.Request request(boolean keyed, int number) {
        return new Stub.Request(keyed ? "charge" : "look-up", "north", keyed ? Stub.hex(32) : null, false,
                keyed ? "0.7500" : "0.2500", ("body " + number).getBytes());
    }

    private String judge(List<Requests.Sent> ran) {
        Map<String, List<Requests.Sent>> byReplay = new HashMap<>();
        ran.stream().filter(RepeatsCase::charge)
                .forEach(each -> byReplay.computeIfAbsent(each.replay, key -> new ArrayList<>()).add(each));
        List<String> twice = new ArrayList<>();
        for (List<Requests.Sent> runs : byReplay.values()) {
            for (int i = 0; i < runs.size(); i++) {
                for (int j = 0; j < runs.size(); j++) {
                    long apart = runs.get(j).since - runs.get(i).since;
                    if (i != j && apart >= 0 && apart < WINDOW * 1000 && !(apart == 0 && i > j)) {
                        twice.add("of %s the try %s ran, and the try %s, written %d ms later, ran too".formatted(
                                runs.get(i).replay, runs.get(i).id, runs.get(j).id, apart));
                    }
                }
            }
        }
        twice.forEach(each -> record.add("judge", each));
        long keyed = requests.all().values().stream().filter(RepeatsCase::charge).count();
        record.say(requests.all().size() + " tries were written, " + keyed + " of them keyed; " + ran.size()
                + " runs; " + twice.size() + " times a try ran within the window of " + WINDOW
                + " s of another try that ran");
        return twice.isEmpty() ? null : twice.size() + " tries were run within the window of one that ran: "
                + twice.get(0);
    }
}
