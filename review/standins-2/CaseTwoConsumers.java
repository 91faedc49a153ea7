import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/** The duty of a queue's one consumer is handed over in order, while the way of its holder to the broker is slow. */
final class CaseTwoConsumers {
    private static final String CLASSES = """
        {"Name":"read","Idempotency":"safe","TargetNs":1800000000,"DeadlineNs":4600000000,"Importance":1.0}""";
    private static final double DELAY = 1.0;

    public static void main(String[] args) {
        Lab.run(args, CaseTwoConsumers::play);
    }

    private static String settings(int[] ports, int me, int brokerPort) {
        StringBuilder text = new StringBuilder("brokers { name: \"main\" address: \"127.0.0.1:" + brokerPort
                + "\" user: \"desk\" password_file: \"broker.password\"\n queues { name: \"prices\" offering: \"=read\" }}\n"
                + "peering { listen: \"127.0.0.1:" + ports[me] + "\" key_file: \"peer.key\" }\nhall {\n");
        for (int i = 0; i < ports.length; i++) {
            text.append("  voters: \"n" + i + "\"\n");
            if (i != me) {
                text.append("  seeds: \"127.0.0.1:" + ports[i] + "\"\n");
            }
        }
        return text + "  folder: \"voter-n" + me + "\"\n  duties { name: \"prices-consumer\" lease: 10"
                + " consume { broker: \"main\" queue: \"prices\" } }\n}\n";
    }

    private static String play(Lab lab) throws Exception {
        StandInBroker broker = new StandInBroker(lab);
        broker.queue("prices", Map.of());
        String control = lab.controlPlane();
        int[] ports = {Lab.freePort(), Lab.freePort(), Lab.freePort()};
        lab.write("peer.key", "a key of the rehearsal, 32 bytes");
        lab.write("broker.password", "secret\n");
        List<Proxy> ways = new ArrayList<>();
        List<StandInRuntime> runtimes = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            String name = "n" + i;
            ways.add(new Proxy(lab, broker.port, 0));
            runtimes.add(new StandInRuntime(lab, "runtime of " + name, 6));
            Path config = lab.config(name, Lab.freePort(), runtimes.get(i).address(), control, 3000, CLASSES,
                    "\"Cores\":6");
            Path settings = lab.write(name + ".txtpb", settings(ports, i, ways.get(i).port()));
            lab.note("founded " + name + ": " + lab.command(Map.of("GW_NAME", name, "GW_CONFIG", config.toString()),
                    "group", "found", "--settings", settings.toString()).strip());
            lab.serve(name, config, settings);
        }
        lab.need(60, "the duty is held", () -> broker.consumers("prices") == 1);
        AtomicBoolean over = new AtomicBoolean();
        Thread publisher = new Thread(() -> {
            for (int i = 1; !over.get(); i++) {
                broker.publish("prices", "p" + i, Map.of(), null, "prices " + i + " ;20");
                try {
                    Lab.sleep(i % 10 == 0 ? 0.6 : 0);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
        publisher.setDaemon(true);
        publisher.start();
        Lab.sleep(5);
        int holder = latest(runtimes);
        int next = (holder + 1) % 3;
        if (lab.trouble) {
            lab.note("the way of n" + holder + " to the broker takes " + DELAY + " s each way from now on");
            ways.get(holder).delay(DELAY);
        }
        Lab.sleep(3);
        double handedOverAt = lab.now();
        lab.note("hand-over to n" + next + ": " + lab.command(Map.of(), "fleet", "hand-over", "prices-consumer",
                "n" + next, "--at", "127.0.0.1:" + ports[0], "--key-file",
                lab.folder.resolve("peer.key").toString()).strip());
        lab.need(30, "n" + next + " consumes", () -> !runtimes.get(next).runs().isEmpty());
        Lab.sleep(6);
        over.set(true);
        Lab.sleep(3);
        broker.noteLedger();
        for (int i = 0; i < 3; i++) {
            lab.noteLog("n" + i, "lease ", "broker");
        }
        double nextFrom = runtimes.get(next).runs().get(0).at();
        List<StandInRuntime.Run> beside =
                runtimes.get(holder).runs().stream().filter(r -> r.at() > nextFrom).toList();
        lab.note("n" + next + " ran its first " + Math.round((nextFrom - handedOverAt) * 1000)
                + " ms behind the command");
        return beside.isEmpty() ? null : "n" + holder + " began " + beside.size() + " runs behind the first one of n"
                + next + ", the last " + Math.round((beside.get(beside.size() - 1).at() - nextFrom) * 1000)
                + " ms behind it: " + beside.stream().map(StandInRuntime.Run::body).toList();
    }

    private static int latest(List<StandInRuntime> runtimes) {
        int latest = -1;
        double at = -1;
        for (int i = 0; i < runtimes.size(); i++) {
            List<StandInRuntime.Run> runs = runtimes.get(i).runs();
            if (!runs.isEmpty() && runs.get(runs.size() - 1).at() > at) {
                at = runs.get(runs.size() - 1).at();
                latest = i;
            }
        }
        if (latest < 0) {
            throw new Lab.NotRun("nobody consumes");
        }
        return latest;
    }
}
