package standins;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Members of a hall as processes, each direction of each link between two of them led through a path of its own. */
final class Hall {
    private static final String JAR = "java -jar target/topazladder.jar ";

    final Programs programs;
    private final Record record;
    private final int count;
    private final int voters;
    private final int[] members;
    private final int[] callers;
    private final int[][] paths;
    private final Proxy[][] proxies;
    private final int control;
    private final int[] runtimes;
    private final Process[] processes;
    private final Path key;

    Hall(Programs programs, Record record, Requests requests, int count, int voters) throws IOException {
        this.programs = programs;
        this.record = record;
        this.count = count;
        this.voters = voters;
        int[] ports = Programs.freePorts(3 * count + count * count + 1);
        int next = 0;
        members = new int[count];
        callers = new int[count];
        runtimes = new int[count];
        processes = new Process[count];
        paths = new int[count][count];
        proxies = new Proxy[count][count];
        for (int i = 0; i < count; i++) {
            members[i] = ports[next++];
            callers[i] = ports[next++];
            runtimes[i] = ports[next++];
        }
        control = ports[next++];
        for (int i = 0; i < count; i++) {
            for (int j = 0; j < count; j++) {
                if (i != j) {
                    paths[i][j] = ports[next++];
                    proxies[i][j] = new Proxy(paths[i][j], members[j]);
                }
            }
            new RuntimeStand(record, requests, runtimes[i], sent -> new double[] {20});
        }
        new ControlStand(control);
        key = programs.folder().resolve("peer.key");
        Files.writeString(key, "the key of this rehearsal");
    }

    /** Writes the settings of a member; {@code hall} is what stands in its hall beside names, links and folder. */
    void settings(int member, String hall) throws IOException {
        StringBuilder text = new StringBuilder("machine { hall: \"hala-a\" }\npeering { listen: \"127.0.0.1:"
                + members[member] + "\" key_file: \"peer.key\" wait: 0 }\nhall {\n  heartbeat: 0.5\n");
        for (int other = 0; other < count; other++) {
            if (other != member) {
                text.append("  seeds: \"127.0.0.1:" + paths[member][other] + "\"\n");
                text.append("  routes { name: \"n" + other + "\" address: \"127.0.0.1:" + paths[member][other] + "\" }\n");
            }
        }
        for (int voter = 0; voter < voters; voter++) {
            text.append("  voters: \"n" + voter + "\"\n");
        }
        if (member < voters) {
            text.append("  folder: \"voter-" + member + "\"\n");
        }
        Path file = file(member);
        Path next = file.resolveSibling(file.getFileName() + ".next");
        Files.writeString(next, text + hall + "}\n");
        Files.move(next, file, java.nio.file.StandardCopyOption.REPLACE_EXISTING,
                java.nio.file.StandardCopyOption.ATOMIC_MOVE);
    }

    private Path file(int member) {
        return programs.folder().resolve("n" + member + ".txtpb");
    }

    private String config(int member) {
        return """
            {"name":"n%d","listen":"127.0.0.1:%d","runtime":"127.0.0.1:%d","control":"127.0.0.1:%d","seed":"%d",
             "stop_ms":3000,"limits":{"cores":1.0,"memory_mb":192,"sockets":512},
             "settings":{"Classes":[
              {"Name":"read","Idempotency":"safe","TargetNs":1800000000,"DeadlineNs":4600000000,"Importance":1.0}],
              "Orgs":[{"Name":"acme","Share":1.0}],
              "Extra":{"Cores":6,"MemoryKb":260000.0,"Below":"none","OwnStats":["core_use","on_cores"],
               "Say":"min_rank"}}}
            """.formatted(member, callers[member], runtimes[member], control, member + 1);
    }

    /** Makes a voter's folder; {@code more} is {@code --formed N} where the group is formed anew. */
    void found(int member, String more) throws Exception {
        Path config = programs.folder().resolve("n" + member + ".json");
        Files.writeString(config, config(member));
        Process made = programs.start("found-n" + member, "exec " + JAR + "group found --settings " + file(member) + more,
                Map.of("GW_CONFIG", config.toString(), "GW_NAME", "n" + member));
        if (!made.waitFor(20, TimeUnit.SECONDS) || made.exitValue() != 0) {
            throw new CannotRun("the folder of voter n" + member + " was not made: "
                    + Files.readString(programs.log("found-n" + member)));
        }
    }

    /** The folder of a voter is lost. */
    void loseFolder(int member) throws IOException {
        try (var all = Files.walk(programs.folder().resolve("voter-" + member))) {
            for (Path each : all.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(each);
            }
        }
    }

    void start(int member) throws IOException {
        record.say("n" + member + " is started");
        processes[member] = programs.serve("n" + member, config(member), " --settings " + file(member));
    }

    Process process(int member) {
        return processes[member];
    }

    void signal(int member, String signal) throws IOException, InterruptedException {
        record.say("n" + member + " is sent SIG" + signal);
        Programs.signal(processes[member], signal);
    }

    /** Cuts a member off from all others, or lets it hear and speak again. */
    void cutOff(int member, boolean now) {
        record.say("n" + member + (now ? " is cut off from the others" : " is no longer cut off"));
        for (int other = 0; other < count; other++) {
            if (other != member) {
                proxies[member][other].cut(now);
                proxies[other][member].cut(now);
            }
        }
    }

    /** What an operators' command says, asked at a member. */
    String fleet(int at, String command) throws Exception {
        Process asked = new ProcessBuilder("/bin/sh", "-c", "exec " + JAR + "fleet " + command + " --at 127.0.0.1:"
                + members[at] + " --key-file " + key).redirectErrorStream(true).start();
        String text = new String(asked.getInputStream().readAllBytes());
        asked.waitFor();
        return text;
    }

    /** The leader by {@code fleet duties}, or null. */
    String leader(int at) throws Exception {
        return inDuties(at, "\"leader\"\\s*:\\s*\"(n\\d)\"");
    }

    /** The lease of a duty by {@code fleet duties}, in seconds, or null. */
    Double lease(int at, String duty) throws Exception {
        String lease = inDuties(at, "\"name\"\\s*:\\s*\"" + duty + "\"[^}]*?\"lease\"\\s*:\\s*([0-9.]+)");
        return lease == null ? null : Double.valueOf(lease);
    }

    private String inDuties(int at, String pattern) throws Exception {
        Matcher found = Pattern.compile(pattern).matcher(fleet(at, "duties --json"));
        return found.find() ? found.group(1) : null;
    }

    /** Waits until it is not null; a case can't run without it. */
    static <T> T await(String what, double seconds, Looked<T> look) throws Exception {
        double until = Record.now() + seconds;
        for (T value = look.look();; value = look.look()) {
            if (value != null) {
                return value;
            }
            if (Record.now() > until) {
                throw new CannotRun("it did not come to it in " + seconds + " s: " + what);
            }
            Thread.sleep(100);
        }
    }

    interface Looked<T> {
        T look() throws Exception;
    }
}
