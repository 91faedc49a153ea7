package standins;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Other clients send far too long fingerprints for a moment. The client stubs' requests are owed their answers. */
public final class FloodCase extends Case {
    private static final double DEADLINE = 4.6;
    private static final double SLACK = 0.08 + 0.05;
    private static final int BAD_CLIENTS = 300;
    private static final int FINGERPRINT_DIGITS = 14_000;
    private static final double GAP = 0.05;

    private FloodCase(String folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        new FloodCase(args[0]).run();
    }

    private static String config(int listen, int runtime, int control) {
        return """
            {"name":"n1","listen":"127.0.0.1:%d","runtime":"127.0.0.1:%d","control":"127.0.0.1:%d","seed":"1",
             "stop_ms":3000,"limits":{"cores":1.0,"memory_mb":192,"sockets":512},
             "settings":{"Classes":[
              {"Name":"stock-check","Idempotency":"safe","TargetNs":1800000000,"DeadlineNs":4600000000,
               "Importance":1.0},
              {"Name":"order-place","Idempotency":"keyed","TargetNs":1800000000,"DeadlineNs":4600000000,
               "WindowNs":13671000000,"Importance":10.0}],
              "Orgs":[{"Name":"acme","Share":1.0}],
              "Extra":{"Cores":6,"MemoryKb":260000.0,"RunFactor":8.0,"KeyKb":83.11,"Below":"none","CancelSeen":true,
               "KeepaliveMaxNs":30000000000,"OwnStats":["core_use","on_cores"],"Say":"min_rank"},
              "Safety":{"AnswerSlackNs":80000000,"DrainGraceNs":2000000000,"FallMultiple":8.0,
               "OverloadForNs":3000000000}}}
            """.formatted(listen, runtime, control);
    }

    @Override
    String play() throws Exception {
        int[] ports = Programs.freePorts(3);
        new RuntimeStand(record, requests, ports[1], sent -> new double[] {30});
        new ControlStand(ports[2]);
        Process instance = programs.serve("n1", config(ports[0], ports[1], ports[2]), "");
        Stub.awaitHealthy(ports[0], 30);
        List<Stub> stubs = List.of(new Stub(record, requests, 1, ports[0]), new Stub(record, requests, 2, ports[0]));
        BadClients others = new BadClients(record, ports[0], BAD_CLIENTS);

        double began = Record.now();
        double floodAt = began + 5;
        double floodEnds = floodAt + 6;
        double sendUntil = floodEnds + 8;
        int phase = 0;
        int number = 0;
        int notTaken = 0;
        for (double next = began; Record.now() < sendUntil + DEADLINE + 1 && instance.isAlive(); next += GAP) {
            double now = Record.now();
            if (trouble && phase == 0 && now >= floodAt) {
                others.send("order-place", FINGERPRINT_DIGITS);
                phase = 1;
            } else if (phase == 1 && now >= floodEnds) {
                others.end();
                phase = 2;
            }
            if (now < sendUntil) {
                boolean keyed = number++ % 5 == 4;
                try {
                    Requests.Sent sent = stubs.get(number % 2).send(new Stub.Request(keyed ? "order-place" : "stock-check",
                            "acme", keyed ? Stub.hex(32) : null, false, keyed ? "0.7500" : "0.2500",
                            ("body " + number).getBytes()), DEADLINE);
                    notTaken += sent == null ? 1 : 0;
                } catch (IOException e) {
                    notTaken++; // no connection: nothing was written
                }
            }
            for (Stub stub : stubs) {
                stub.giveUpWhatIsDue(SLACK);
            }
            Thread.sleep(Math.max(1, Math.round((next + GAP - Record.now()) * 1000)));
        }
        boolean alive = instance.isAlive();
        boolean healthy = alive && Stub.isHealthy(ports[0]);
        record.say("at the end the process " + (alive ? "runs" : "has ended by itself") + ", and a health check is "
                + (healthy ? "answered as good" : "not answered as good"));
        if (alive && !healthy) {
            record.say("its log ends: " + lastLines(programs.log("n1")));
        }
        return judge(notTaken, alive);
    }

    private static String lastLines(java.nio.file.Path log) throws IOException {
        List<String> lines = java.nio.file.Files.readAllLines(log);
        return String.join(" | ", lines.subList(Math.max(0, lines.size() - 2), lines.size()));
    }

    private String judge(int notTaken, boolean alive) {
        List<String> unanswered = new ArrayList<>();
        for (Requests.Sent each : requests.all().values()) {
            if (!each.isAnswered() || each.answeredAt > each.dueAt + SLACK) {
                unanswered.add("%s of stub-%d, written at %.3f, due at %.3f".formatted(each.id, each.stub,
                        each.writtenAt, each.dueAt));
            }
        }
        unanswered.forEach(each -> record.add("judge", "no final answer: " + each));
        int sent = requests.all().size();
        record.say(sent + " requests of the client stubs were written, " + unanswered.size()
                + " got no final answer in their time; " + notTaken + " more were not sent, as all that may be open was "
                + "open or nobody took the connection");
        if (!alive) {
            return "the process ended by itself";
        }
        return unanswered.size() > 0.003 * sent
                ? unanswered.size() + " of " + sent + " requests got no final answer, more than 3 in 1,000" : null;
    }
}
