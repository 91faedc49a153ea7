import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The broker says nothing more as an instance is told to leave: it is to end before the kill all the same. */
final class CaseNeverEnds {
    private static final String CLASSES = """
        {"Name":"read","Idempotency":"safe","TargetNs":1800000000,"DeadlineNs":4600000000,"Importance":1.0}""";
    private static final int STOP_MS = 3000;

    public static void main(String[] args) {
        Lab.run(args, CaseNeverEnds::play);
    }

    private static String play(Lab lab) throws Exception {
        StandInBroker broker = new StandInBroker(lab);
        broker.queue("prices", Map.of());
        Proxy way = new Proxy(lab, broker.port, 0);
        StandInRuntime runtime = new StandInRuntime(lab, "runtime", 6);
        Path config = lab.config("n0", Lab.freePort(), runtime.address(), lab.controlPlane(), STOP_MS, CLASSES,
                "\"Cores\":6");
        lab.write("broker.password", "secret\n");
        Path settings = lab.write("own.txtpb", "brokers { name: \"main\" address: \"127.0.0.1:" + way.port()
                + "\" user: \"desk\" password_file: \"broker.password\"\n queues { name: \"prices\" offering: \"=read\" }}\n");
        Process n0 = lab.serve("n0", config, settings);
        lab.need(40, "the instance consumes", () -> broker.consumers("prices") > 0);
        Lab.sleep(2);
        if (lab.trouble) {
            lab.note("the broker says nothing more");
            way.silent(true);
            Lab.sleep(0.5);
        }
        double at = lab.now();
        lab.signal(n0, "n0", "TERM");
        boolean ended = n0.waitFor(20, TimeUnit.SECONDS);
        double took = lab.now() - at;
        lab.note(ended ? "n0 ended with " + n0.exitValue() + " after " + took + " s" : "n0 did not end in 20 s");
        lab.noteLog("n0", "state changed name=n0", "broker");
        if (ended && took <= STOP_MS / 1000.0 && n0.exitValue() == 0) {
            return null;
        }
        return "told to leave, it was not at its end after " + STOP_MS + " ms, when the kill comes";
    }
}
