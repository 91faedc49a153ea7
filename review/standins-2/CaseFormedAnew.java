import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** The group is formed anew, as operators are told to where its folders are lost; then its first leader ends. */
final class CaseFormedAnew {
    private static final String CLASSES = """
        {"Name":"read","Idempotency":"safe","TargetNs":1800000000,"DeadlineNs":4600000000,"Importance":1.0}""";
    private static final List<String> CLOCKS = List.of("price-clock", "stock-clock", "order-clock", "shop-clock");
    private static final int MEMBERS = 4;

    private final Lab lab;
    private final TouchLedger ledger;
    private final int[] ports = new int[MEMBERS];
    private final Path[] configs = new Path[MEMBERS];
    private final Path[] settings = new Path[MEMBERS];
    private final Process[] members = new Process[MEMBERS];

    private CaseFormedAnew(Lab lab) throws IOException {
        this.lab = lab;
        ledger = new TouchLedger(lab);
    }

    public static void main(String[] args) {
        Lab.run(args, lab -> new CaseFormedAnew(lab).play());
    }

    private String text(int me) {
        StringBuilder text = new StringBuilder("peering { listen: \"127.0.0.1:" + ports[me]
                + "\" key_file: \"peer.key\" }\nhall {\n");
        for (int i = 0; i < MEMBERS; i++) {
            if (i < 3) {
                text.append("  voters: \"n" + i + "\"\n");
            }
            if (i != me) {
                text.append("  seeds: \"127.0.0.1:" + ports[i] + "\"\n");
            }
        }
        text.append("  folder: \"voter-n" + me + "\"\n  duties { name: \"beat\" lease: 2 touch { address: \""
                + ledger.address() + "\" every: 1 } }\n");
        for (String clock : CLOCKS) {
            text.append("  duties { name: \"" + clock + "\" lease: 40 touch { address: \"" + ledger.address()
                    + "\" every: 0.25 } }\n");
        }
        return text + "}\n";
    }

    private String fleet(int at, String... words) throws Exception {
        List<String> all = new ArrayList<>(List.of("fleet"));
        all.addAll(List.of(words));
        all.addAll(List.of("--at", "127.0.0.1:" + ports[at], "--key-file", lab.folder.resolve("peer.key").toString()));
        return lab.command(Map.of(), all.toArray(String[]::new)).strip();
    }

    private void found(String... more) throws Exception {
        List<Thread> all = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            String name = "n" + i;
            List<String> words = new ArrayList<>(List.of("group", "found", "--settings", settings[i].toString()));
            words.addAll(List.of(more));
            Map<String, String> environment = Map.of("GW_NAME", name, "GW_CONFIG", configs[i].toString());
            Thread t = new Thread(() -> {
                try {
                    lab.note("founded: " + lab.command(environment, words.toArray(String[]::new)).strip());
                } catch (Exception e) {
                    lab.note("not founded: " + e);
                }
            });
            t.start();
            all.add(t);
        }
        for (Thread t : all) {
            t.join();
        }
    }

    private boolean holds(String member, List<String> duties) {
        Map<String, String> last = new LinkedHashMap<>();
        ledger.touches().forEach(t -> last.put(t.duty(), t.holder()));
        return duties.stream().allMatch(d -> last.getOrDefault(d, "").startsWith(member + "#"));
    }

    private String play() throws Exception {
        String control = lab.controlPlane();
        lab.write("peer.key", "a key of the rehearsal, 32 bytes");
        for (int i = 0; i < MEMBERS; i++) {
            ports[i] = Lab.freePort();
        }
        for (int i = 0; i < MEMBERS; i++) {
            StandInRuntime runtime = new StandInRuntime(lab, "runtime of n" + i, 6);
            configs[i] = lab.config("n" + i, Lab.freePort(), runtime.address(), control, 3000, CLASSES, "\"Cores\":6");
            settings[i] = lab.write("n" + i + ".txtpb", text(i));
        }
        found();
        for (int i = 0; i < MEMBERS; i++) {
            members[i] = lab.serve("n" + i, configs[i], settings[i]);
        }
        lab.need(40, "all duties are held", () -> ledger.touches().stream().map(TouchLedger.Touch::duty).distinct()
                .count() == CLOCKS.size() + 1);
        for (String clock : CLOCKS) {
            lab.note("hand-over of " + clock + " to n3: " + fleet(0, "hand-over", clock, "n3"));
        }
        lab.need(30, "n3 holds all clocks", () -> holds("n3", CLOCKS));
        lab.note(fleet(0, "duties"));
        // What the page says: end all voters of the old group, found on each with a higher number, start them.
        for (int i = 0; i < 3; i++) {
            lab.signal(members[i], "n" + i, "KILL");
        }
        for (int i = 0; i < 3; i++) {
            members[i].waitFor();
            try (Stream<Path> lost = Files.walk(lab.folder.resolve("voter-n" + i))) {
                lost.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
            }
        }
        lab.note("the folders of all voters are lost");
        found("--formed", "1");
        double formedAt = lab.now();
        for (int i = 0; i < 3; i++) {
            members[i] = lab.serve("n" + i, configs[i], settings[i]);
        }
        lab.need(20, "the new group leads", () -> leader() >= 0);
        Lab.sleep(1);
        int first = leader();
        if (lab.trouble) {
            lab.signal(members[first], "n" + first, "KILL");
        }
        Lab.sleep(50);
        lab.note(fleet(first == 0 ? 1 : 0, "duties"));
        for (int i = 0; i < MEMBERS; i++) {
            lab.noteLog("n" + i, "lease ", "leader ");
        }
        Map<String, List<TouchLedger.Touch>> all = new LinkedHashMap<>();
        for (TouchLedger.Touch t : ledger.touches()) {
            all.computeIfAbsent(t.duty() + " " + t.token() + " " + t.holder(), k -> new ArrayList<>()).add(t);
        }
        all.forEach((who, touches) -> lab.note(who + ": " + touches.size() + " touches from "
                + Math.round(touches.get(0).at() * 1000) + " to "
                + Math.round(touches.get(touches.size() - 1).at() * 1000) + " ms"));
        List<String> broken = new ArrayList<>();
        for (String clock : CLOCKS) {
            long highest = 0;
            double highestAt = 0;
            int stale = 0;
            double last = 0;
            for (TouchLedger.Touch t : ledger.touches()) {
                if (!t.duty().equals(clock)) {
                    continue;
                }
                if (t.token() > highest) {
                    highest = t.token();
                    highestAt = t.at();
                } else if (t.token() < highest && t.at() > highestAt + 1) {
                    stale++;
                    last = t.at();
                }
            }
            if (stale > 0) {
                broken.add(clock + ": " + stale + " touches under an earlier token, the last "
                        + Math.round((last - highestAt) * 1000) + " ms behind the first under " + highest);
            }
        }
        lab.note("formed at " + Math.round(formedAt * 1000) + " ms");
        return broken.isEmpty() ? null : String.join("; ", broken);
    }

    /** The latest leader elected, by the logs; -1 where none is since the group was formed anew. */
    private int leader() {
        int leader = -1;
        String latest = "";
        for (int i = 0; i < 3; i++) {
            try {
                String log = lab.log("n" + i);
                int lines = 0;
                for (String line : log.split("\n")) {
                    if (line.contains("name=n" + i + " from=starting to=awaiting-runtime")) {
                        lines++;
                    }
                    if (line.contains("leader elected") && lines >= 2 && line.substring(0, 23).compareTo(latest) > 0) {
                        latest = line.substring(0, 23);
                        leader = i;
                    }
                }
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
        return leader;
    }
}
