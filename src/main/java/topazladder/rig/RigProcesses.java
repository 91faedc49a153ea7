package topazladder.rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import topazladder.cluster.ClusterMessage;
import topazladder.cluster.ClusterMessage.Command.Kind;
import topazladder.config.ExtensionSettingsFile;
import topazladder.config.ServiceSettings.Address;
import topazladder.net.cluster.OperatorClient;
import topazladder.net.cluster.VoterStoreCreator;

/**
 * The processes of one rig: starts, signals, ends, and operators' commands to them. Called by the thread that plays a
 * schedule and by the supervisor's.
 */
final class RigProcesses {
    /** Status of one that went as agreed. */
    static final int WENT_AS_AGREED = 75;
    private static final int HEAP_MB = 48;
    private static final int LEAVE_SECONDS = 4;

    /** Told of what becomes of a process; called on any thread. */
    interface Listener {

        /** It is stalled, or goes on. */
        void stalled(int process, boolean still);

        /** It is gone; {@code inOrder} says whether it was let end by itself. */
        void ended(int process, boolean inOrder);

        /** What it knew of runs that ended is lost with it. */
        void forgot(int process);
    }

    private final RigPlan plan;
    private final RigPorts ports;
    private final RigSettings settings;
    private final Path folder;
    private final Programs programs;
    private final Happenings happenings;
    private final Listener listener;
    private final Process[] processes;
    private final boolean[] stalled;
    private final String[] versions;

    RigProcesses(RigPlan plan, RigPorts ports, Path folder, Happenings happenings, Listener listener) {
        this.plan = plan;
        this.ports = ports;
        this.folder = folder;
        this.happenings = happenings;
        this.listener = listener;
        settings = new RigSettings(plan, ports);
        programs = new Programs(folder);
        processes = new Process[plan.count()];
        stalled = new boolean[plan.count()];
        versions = new String[plan.count()];
        Arrays.fill(versions, "A");
    }

    Programs programs() {
        return programs;
    }

    RigSettings settings() {
        return settings;
    }

    Process process(int i) {
        return processes[i];
    }

    boolean alive(int i) {
        return processes[i].isAlive();
    }

    /** Whether it runs and does not stand still. */
    boolean up(int i) {
        return processes[i].isAlive() && !stalled[i];
    }

    synchronized String version(int i) {
        return versions[i];
    }

    /** Takes effect at its next start. */
    synchronized void version(int i, String next) {
        versions[i] = next;
    }

    /** What runs in most places. */
    synchronized String version() {
        return Arrays.stream(versions).filter("A"::equals).count() * 2 > plan.count() ? "A" : "B";
    }

    void found(int i, long formed) {
        VoterStoreCreator.create(RigSettings.name(i),
                ExtensionSettingsFile.of(settings.of(i, version(i)), folder).cluster(),
                formed);
    }

    synchronized void start(int i) throws IOException {
        if (processes[i] == null || !processes[i].isAlive()) {
            happenings.add(RigSettings.name(i) + " is started");
            stalled[i] = false;
            processes[i] = programs.start(RigSettings.name(i), settings.of(i, versions[i]), HEAP_MB, plan.before());
        }
    }

    /** Starts what has ended, but for what the supervisor is to start again. */
    void startDead(int i, boolean supervised) throws IOException {
        if (!processes[i].isAlive() && !(supervised && processes[i].exitValue() == WENT_AS_AGREED)) {
            happenings.add(RigSettings.name(i) + " ended with status " + processes[i].exitValue());
            start(i);
        }
    }

    void signal(int i, String signal) throws IOException, InterruptedException {
        signal(processes[i], signal);
    }

    static void signal(Process process, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
    }

    void stall(int i, boolean on) throws IOException, InterruptedException {
        stalled[i] = on;
        signal(i, on ? "STOP" : "CONT");
        listener.stalled(i, on);
    }

    /** Ends the stall of that process, whatever has been started in its place since. */
    void goOn(int i, Process process) throws IOException, InterruptedException {
        stalled[i] = false;
        listener.stalled(i, false);
        if (process.isAlive()) {
            signal(process, "CONT");
        }
    }

    void kill(int i) throws InterruptedException {
        happenings.add(RigSettings.name(i) + " is killed");
        processes[i].destroyForcibly().waitFor();
        listener.ended(i, false);
        listener.forgot(i);
    }

    /** Asks it to end. */
    void leave(int i) {
        happenings.add(RigSettings.name(i) + " is told to leave");
        processes[i].destroy();
    }

    /** Waits for one that was told to leave; whether it ended in time. */
    boolean awaitLeft(int i) throws InterruptedException {
        return processes[i].waitFor(LEAVE_SECONDS, TimeUnit.SECONDS);
    }

    void loseFolder(int i) throws IOException {
        happenings.add(RigSettings.name(i) + " loses its folder");
        Path of = folder.resolve(RigSettings.name(i) + ".folder");
        if (Files.exists(of)) {
            Programs.delete(of);
        }
    }

    /** The version that it was told to come back as, when it went as agreed; its own where it was told none. */
    String nextVersion(int i) throws IOException {
        Path file = folder.resolve(RigSettings.name(i) + ".next");
        return Files.exists(file) ? Files.readString(file).strip() : version(i);
    }

    /** No file of the process may grow past so many bytes: a full disk for whatever it writes. */
    static void limitFiles(Process process, String bytes) throws IOException, InterruptedException {
        if (process.isAlive()) {
            new ProcessBuilder("prlimit", "--pid", String.valueOf(process.pid()), "--fsize=" + bytes + ":unlimited")
                    .start().waitFor();
        }
    }

    /** A command straight to one process, past all relays. */
    ClusterMessage.CommandResponse ask(int member, Kind kind, String duty, String text) throws InterruptedException {
        try {
            return OperatorClient.send(new Address("127.0.0.1", ports.members(member)),
                    Files.readAllBytes(folder.resolve("key")), new ClusterMessage.Command(kind, duty, text));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The last lines of all processes, by time; for whoever has to find out why. */
    List<String> logs(int lines) throws IOException {
        List<String> all = new ArrayList<>();
        for (int i = 0; i < plan.count(); i++) {
            Path log = folder.resolve(RigSettings.name(i) + ".log");
            if (Files.exists(log)) {
                List<String> own = Files.readAllLines(log);
                for (String l : own.subList(Math.max(0, own.size() - lines), own.size())) {
                    all.add(l.startsWith("20") ? l.replaceFirst(" ", " " + RigSettings.name(i) + " ") : l);
                }
            }
        }
        all.sort(String::compareTo);
        return all.subList(Math.max(0, all.size() - lines), all.size());
    }

    /** Lines of all logs so far in which the words stand. */
    long linesWith(String words) throws IOException {
        long n = 0;
        for (int i = 0; i < plan.count(); i++) {
            n += Files.readAllLines(folder.resolve(RigSettings.name(i) + ".log")).stream()
                    .filter(l -> l.contains(words)).count();
        }
        return n;
    }

    /** Ends all; those that stand still are let go on first. */
    void end() throws IOException, InterruptedException {
        for (int i = 0; i < processes.length; i++) {
            if (stalled[i] && processes[i].isAlive()) {
                signal(i, "CONT");
            }
        }
        Programs.end(Arrays.stream(processes).filter(p -> p != null).toList());
    }
}
