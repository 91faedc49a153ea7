package standins;

import java.util.List;
import java.util.SplittableRandom;

/**
 * The link to the runtime breaks now and then. Each reply that a run is given has to be the one to the call that it
 * waits for.
 */
public final class RepliesCase extends Case {
    private static final double DEADLINE = 4.6;
    private static final double SECONDS = 90;
    private static final double PERIOD = 1;
    private static final double RATE = 12;
    private static final double SLACK = 0.08 + 0.05;
    private final SplittableRandom chance = new SplittableRandom(49);

    private RepliesCase(String folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        new RepliesCase(args[0]).run();
    }

    private static String config(int listen, int runtime, int control, int index) {
        return """
            {"name":"n1","listen":"127.0.0.1:%d","runtime":"127.0.0.1:%d","control":"127.0.0.1:%d",
             "index":"127.0.0.1:%d","seed":"1",
             "stop_ms":3000,"limits":{"cores":1.0,"memory_mb":192,"sockets":512},
             "settings":{"Classes":[
              {"Name":"stock-check","Idempotency":"safe","TargetNs":1800000000,"DeadlineNs":4600000000,"Importance":1.0},
              {"Name":"order-place","Idempotency":"keyed","TargetNs":1800000000,"DeadlineNs":4600000000,
               "WindowNs":13671000000,"Importance":10.0}],
              "Orgs":[{"Name":"acme","Share":1.0}],
              "Extra":{"Cores":6,"MemoryKb":260000.0,"Below":"next_hop","CallsByClass":[true,true],"CancelSeen":true,
               "KeepaliveMaxNs":30000000000,"OwnStats":["core_use","on_cores"],"Say":"min_rank"},
              "Safety":{"AnswerSlackNs":80000000,"DrainGraceNs":2000000000}}}
            """.formatted(listen, runtime, control, index);
    }

    /** As the brief has it: a stock-check makes 0.6 to 1.4 calls on average, an order-place 1 to 2. */
    private synchronized double[] parts(Requests.Sent sent) {
        boolean two = sent.serviceClass.equals("order-place") || chance.nextInt(10) < 4;
        return two ? new double[] {6, 20 + chance.nextInt(20), 6} : new double[] {6, 20 + chance.nextInt(20)};
    }

    @Override
    String play() throws Exception {
        int[] ports = Programs.freePorts(4);
        RuntimeStand runtime = new RuntimeStand(record, requests, ports[1], this::parts);
        new ControlStand(ports[2]);
        new IndexStand(record, ports[3], 3, 8);
        Process instance = programs.serve("n1", config(ports[0], ports[1], ports[2], ports[3]), "");
        Stub.awaitHealthy(ports[0], 30);
        List<Stub> stubs = List.of(new Stub(record, requests, 1, ports[0]), new Stub(record, requests, 2, ports[0]));

        double began = Record.now();
        double nextBreak = began + 4;
        int breaks = 0;
        int number = 0;
        for (double next = began; Record.now() < began + SECONDS + 2;) {
            double now = Record.now();
            if (now < began + SECONDS) {
                boolean keyed = number++ % 5 == 4;
                stubs.get(number % 2).send(new Stub.Request(keyed ? "order-place" : "stock-check",
                        "acme", keyed ? Stub.hex(32) : null,
                        false, keyed ? "0.7500" : "0.2500", ("body " + number).getBytes()), DEADLINE);
                if (trouble && now >= nextBreak) {
                    runtime.breakLink();
                    breaks++;
                    nextBreak = now + PERIOD * (0.75 + chance.nextDouble() / 2);
                }
            }
            for (Stub stub : stubs) {
                stub.giveUpWhatIsDue(SLACK);
            }
            next += 1 / RATE;
            Thread.sleep(Math.max(1, Math.round((next - Record.now()) * 1000)));
        }
        if (!instance.isAlive()) {
            return "the instance ended by itself with status " + instance.exitValue();
        }
        List<String> wrong = runtime.wrongReplies();
        wrong.forEach(each -> record.add("judge", "wrong reply: " + each));
        int served = 0;
        for (Requests.Sent each : requests.all().values()) {
            served += each.code == 0 ? 1 : 0;
        }
        record.say(requests.all().size() + " requests were written, " + served + " were served, "
                + runtime.repliesGiven() + " replies were given; the link was broken " + breaks + " times and made "
                + runtime.links() + " times; " + wrong.size() + " replies were those to another call");
        return wrong.isEmpty() ? null : wrong.size() + " runs were given the reply to another call than the one that "
                + "they waited for: " + wrong.get(0);
    }
}
