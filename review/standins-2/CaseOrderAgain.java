import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Orders with replies; the broker is gone for 20 s, and what was done before must not be run once more. */
final class CaseOrderAgain {
    private static final String CLASSES = """
        {"Name":"read","Idempotency":"safe","TargetNs":1800000000,"DeadlineNs":4600000000,"Importance":1.0},
        {"Name":"place","Idempotency":"keyed","TargetNs":1800000000,"DeadlineNs":4600000000,"WindowNs":13671000000,
         "Importance":10.0}""";
    private static final int ORDERS = 800;

    public static void main(String[] args) {
        Lab.run(args, CaseOrderAgain::play);
    }

    private static String play(Lab lab) throws Exception {
        StandInBroker broker = new StandInBroker(lab);
        broker.queue("orders", Map.of());
        broker.queue("orders.waiting", Map.of("x-dead-letter-exchange", "", "x-dead-letter-routing-key", "orders"));
        broker.queue("orders.given-up", Map.of());
        broker.queue("answers", Map.of());
        broker.route("orders.later", "direct", "orders", "orders.waiting");
        broker.route("orders.dead", "fanout", "", "orders.given-up");
        Proxy way = new Proxy(lab, broker.port, 0.03);
        StandInRuntime runtime = new StandInRuntime(lab, "runtime", 6);
        Path config = lab.config("n0", Lab.freePort(), runtime.address(), lab.controlPlane(), 3000, CLASSES,
                "\"Cores\":6");
        lab.write("broker.password", "secret\n");
        Path settings = lab.write("own.txtpb", """
            brokers {
              name: "main" address: "127.0.0.1:%d" user: "desk" password_file: "broker.password"
              queues {
                name: "orders" offering: "=place" fingerprint: "property:message-id"
                delay { exchange: "orders.later" routing_key: "orders" } dead_letter { exchange: "orders.dead" }
              }
            }
            """.formatted(way.port()));
        lab.serve("n0", config, settings);
        lab.need(40, "the instance consumes", () -> broker.consumers("orders") > 0);
        for (int i = 1; i <= ORDERS; i++) {
            broker.publish("orders", String.format("%032x", i), Map.of(), "answers", "order " + i + " ;40");
            Lab.sleep(0.0125);
        }
        if (lab.trouble) {
            lab.note("the broker is gone");
            way.cut(true);
        }
        Lab.sleep(20);
        lab.note("the broker is back");
        way.comeBack();
        lab.need(40, "all is settled", () -> broker.ready("orders") == 0 && broker.ready("orders.waiting") == 0
                && broker.unsettled() == 0 && broker.consumers("orders") > 0);
        Lab.sleep(1);
        broker.noteLedger();
        lab.note("answers on the queue: " + broker.bodies("answers").size());
        lab.note("given up: " + broker.bodies("orders.given-up"));
        lab.noteLog("n0", "broker");
        Map<String, List<Double>> twice = new LinkedHashMap<>();
        runtime.runs().forEach(r -> twice.computeIfAbsent(r.body(), b -> new java.util.ArrayList<>()).add(r.at()));
        if (twice.size() + broker.ready("orders.given-up") < ORDERS) {
            throw new Lab.NotRun("of " + ORDERS + " orders " + twice.size() + " ran");
        }
        twice.values().removeIf(at -> at.size() < 2);
        return twice.isEmpty() ? null : "orders that ran twice, with the times of their runs: " + twice;
    }
}
