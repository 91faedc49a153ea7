import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The lease of a duty is shortened by SIGHUP; then the member that leads and holds it stands still for a while. */
final class CaseTwoHolders {
    private static final String CLASSES = """
        {"Name":"read","Idempotency":"safe","TargetNs":1800000000,"DeadlineNs":4600000000,"Importance":1.0}""";
    private static final double STALL = 5;

    public static void main(String[] args) {
        Lab.run(args, CaseTwoHolders::play);
    }

    private static String settings(int[] ports, int me, TouchLedger ledger, double lease) {
        StringBuilder text = new StringBuilder("peering { listen: \"127.0.0.1:" + ports[me]
                + "\" key_file: \"peer.key\" }\nhall {\n");
        for (int i = 0; i < ports.length; i++) {
            text.append("  voters: \"n" + i + "\"\n");
            if (i != me) {
                text.append("  seeds: \"127.0.0.1:" + ports[i] + "\"\n");
            }
        }
        return text + "  folder: \"voter-n" + me + "\"\n  duties { name: \"price-clock\" lease: " + lease
                + " touch { address: \"" + ledger.address() + "\" every: 0.25 } }\n}\n";
    }

    /** The word behind a key in the operators' JSON. */
    private static String word(String json, String key) {
        int at = json.indexOf("\"" + key + "\" : \"");
        return at < 0 ? "" : json.substring(at + key.length() + 6, json.indexOf('"', at + key.length() + 6));
    }

    private static String play(Lab lab) throws Exception {
        TouchLedger ledger = new TouchLedger(lab);
        String control = lab.controlPlane();
        int[] ports = {Lab.freePort(), Lab.freePort(), Lab.freePort()};
        lab.write("peer.key", "a key of the rehearsal, 32 bytes");
        List<Path> files = new ArrayList<>();
        List<Process> members = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            String name = "n" + i;
            StandInRuntime runtime = new StandInRuntime(lab, "runtime of " + name, 6);
            Path config = lab.config(name, Lab.freePort(), runtime.address(), control, 3000, CLASSES, "\"Cores\":6");
            files.add(lab.write(name + ".txtpb", settings(ports, i, ledger, 30)));
            lab.note("founded " + name + ": " + lab.command(Map.of("GW_NAME", name, "GW_CONFIG", config.toString()),
                    "group", "found", "--settings", files.get(i).toString()).strip().replace(lab.folder.toString(),
                            "FOLDER"));
            members.add(lab.serve(name, config, files.get(i)));
        }
        lab.need(60, "the duty is held", () -> !ledger.touches().isEmpty());
        String at = "127.0.0.1:" + ports[0];
        String[] ask = {"fleet", "duties", "--json", "--at", at, "--key-file", lab.folder.resolve("peer.key").toString()};
        String duties = lab.command(Map.of(), ask);
        lab.note("duties: " + duties.strip());
        String leader = word(duties, "leader");
        if (!word(duties, "holder").equals(leader)) {
            lab.note("handed over to the leader: " + lab.command(Map.of(), "fleet", "hand-over", "price-clock", leader,
                    "--at", at, "--key-file", lab.folder.resolve("peer.key").toString()).strip());
            lab.need(30, "the leader holds the duty", () -> {
                List<TouchLedger.Touch> all = ledger.touches();
                return all.get(all.size() - 1).holder().startsWith(leader);
            });
        }
        int old = Integer.parseInt(leader.substring(1));
        Lab.sleep(6);
        double stalledAt = 0;
        double goesOnAt = 0;
        if (lab.trouble) {
            for (int i = 0; i < 3; i++) {
                Files.writeString(files.get(i), settings(ports, i, ledger, 2));
            }
            if (!"1".equals(System.getenv("NO_RELOAD"))) {
                for (int i = 0; i < 3; i++) {
                    lab.signal(members.get(i), "n" + i, "HUP");
                }
            }
            Lab.sleep(1);
            lab.note("duties: " + lab.command(Map.of(), ask).strip());
            lab.signal(members.get(old), leader, "STOP");
            stalledAt = lab.now();
            Lab.sleep(STALL);
            lab.signal(members.get(old), leader, "CONT");
            goesOnAt = lab.now();
        }
        Lab.sleep(20);
        for (int i = 0; i < 3; i++) {
            lab.noteLog("n" + i, "lease", "leader", "needs-restart", "reload");
        }
        Map<String, List<TouchLedger.Touch>> byHolder = new LinkedHashMap<>();
        for (TouchLedger.Touch t : ledger.touches()) {
            byHolder.computeIfAbsent(t.token() + " " + t.holder(), k -> new ArrayList<>()).add(t);
            lab.note("touched at " + Math.round(t.at() * 1000) + " ms under " + t.token() + " by " + t.holder());
        }
        // An effect that left before may arrive behind another holder's: one that comes over a second after that
        // holder went on, and after another one's, was sent by one that took itself for the holder beside it.
        double laterThan = goesOnAt + 1;
        long highest = 0;
        List<TouchLedger.Touch> stale = new ArrayList<>();
        for (TouchLedger.Touch t : ledger.touches()) {
            highest = Math.max(highest, t.token());
            if (t.token() < highest && t.at() > laterThan) {
                stale.add(t);
            }
        }
        byHolder.forEach((holder, all) -> lab.note("under token " + holder + ": " + all.size() + " touches from "
                + Math.round(all.get(0).at() * 1000) + " to " + Math.round(all.get(all.size() - 1).at() * 1000)
                + " ms"));
        if (stale.isEmpty()) {
            return null;
        }
        return stale.size() + " touches of " + stale.get(0).holder() + " under the earlier token "
                + stale.get(0).token() + " beside those under " + highest + ", the last one "
                + Math.round((stale.get(stale.size() - 1).at() - goesOnAt) * 1000) + " ms after it went on";
    }
}
