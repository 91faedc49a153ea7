import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** A price list that was rejected elsewhere before is deferred here; as its copy waits, the broker's link is cut. */
final class CaseCopyForgotten {
    private static final String CLASSES = """
        {"Name":"read","Idempotency":"safe","TargetNs":1800000000,"DeadlineNs":4600000000,"Importance":1.0},
        {"Name":"report","Idempotency":"safe","TargetNs":20000000000,"DeadlineNs":30000000000,"Importance":1.0}""";

    public static void main(String[] args) {
        Lab.run(args, CaseCopyForgotten::play);
    }

    private static String queue(String name, String offering) {
        return """
            queues {
              name: "%s" offering: "=%s" delay { exchange: "later" routing_key: "%s" }
              dead_letter { exchange: "dead" }
            }
            """.formatted(name, offering, name);
    }

    private static String play(Lab lab) throws Exception {
        StandInBroker broker = new StandInBroker(lab);
        for (String queue : List.of("reports", "prices")) {
            broker.queue(queue, Map.of());
            broker.queue(queue + ".waiting", Map.of("x-dead-letter-exchange", "", "x-dead-letter-routing-key", queue));
            broker.route("later", "direct", queue, queue + ".waiting");
        }
        broker.queue("given-up", Map.of());
        broker.route("dead", "fanout", "", "given-up");
        Proxy way = new Proxy(lab, broker.port, 0);
        StandInRuntime runtime = new StandInRuntime(lab, "runtime", 1);
        Path config = lab.config("n0", Lab.freePort(), runtime.address(), lab.controlPlane(), 3000, CLASSES,
                "\"Cores\":1");
        lab.write("broker.password", "secret\n");
        Path settings = lab.write("own.txtpb", "brokers { name: \"main\" address: \"127.0.0.1:" + way.port()
                + "\" user: \"desk\" password_file: \"broker.password\"\n" + queue("reports", "report") + queue("prices", "read") + "}\n");
        lab.serve("n0", config, settings);
        lab.need(40, "the instance consumes", () -> broker.consumers("prices") > 0 && broker.consumers("reports") > 0);
        // What a queue's own dead-lettering wrote, where another consumer rejected it: it was moved here since.
        Map<String, Object> before = "1".equals(System.getenv("NO_DEATH")) ? Map.of() : Map.of("x-death", List.of(Map.of("queue", "inbox", "reason", "rejected", "count",
                1L, "exchange", "")));
        broker.publish("reports", "r1", Map.of(), null, "report 1 ;6000");
        lab.need(10, "the report runs", () -> runtime.runsOf("report 1") == 1);
        broker.publish("prices", "p1", before, null, "prices 1 ;50");
        lab.need(10, "the copy of what was deferred waits", () -> broker.bodies("prices.waiting").size() == 1);
        lab.note("deferred: a copy waits");
        lab.need(10, "the copy is delivered",
                () -> broker.ready("prices.waiting") == 0 && broker.ready("prices") == 0);
        Lab.sleep(0.5);
        if (runtime.runsOf("prices 1") > 0 || broker.ready("prices.waiting") > 0) {
            throw new Lab.NotRun("the copy does not wait for the core");
        }
        if (lab.trouble) {
            lab.note("the link to the broker is cut");
            way.cut(false);
            lab.need(20, "it is linked again", () -> broker.consumers("prices") > 0);
        }
        lab.need(60, "all is settled",
                () -> broker.idle("prices", "prices.waiting", "reports", "reports.waiting"));
        Lab.sleep(3);
        broker.noteLedger();
        lab.note("given up: " + broker.bodies("given-up"));
        lab.noteLog("n0", "broker");
        long waits = broker.bodies("prices").size() + broker.bodies("prices.waiting").size()
                + broker.bodies("given-up").stream().filter(b -> b.startsWith("prices 1")).count();
        return runtime.runsOf("prices 1") > 0 || waits > 0 ? null
                : "prices 1 was acknowledged and never ran, and lies on no queue";
    }
}
