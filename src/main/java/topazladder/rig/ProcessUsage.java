package topazladder.rig;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.Map;
import java.util.stream.Stream;

/**
 * What a process uses of the machine, read from {@code /proc}; all zero for one that has ended.
 *
 * @param threadSeconds seconds of a core since the start, by what the threads do; clock ticks of 10 ms
 * @param residentMegabytes resident memory
 * @param descriptors open files and sockets
 */
public record ProcessUsage(Map<ThreadKind, Double> threadSeconds, double residentMegabytes, int descriptors) {
    private static final double TICKS_A_SECOND = 100;
    private static final double BYTES_A_MEGABYTE = 1024;
    /** Fields behind the command's name in {@code /proc/PID/stat}. */
    private static final int USER_TICKS = 11;
    private static final int SYSTEM_TICKS = 12;

    /** What threads of the Java machine do, told by their names. */
    public enum ThreadKind {
        EVENT_LOOP, CONSENSUS, COMPILER, GARBAGE_COLLECTION, OTHER;

        private static ThreadKind of(String name) {
            if (name.startsWith("vert.x-event")) {
                return EVENT_LOOP;
            }
            if (name.startsWith("group-")) {
                return CONSENSUS;
            }
            if (name.startsWith("C1 ") || name.startsWith("C2 ")) {
                return COMPILER;
            }
            return name.startsWith("GC ") || name.startsWith("G1 ") || name.startsWith("VM ") ? GARBAGE_COLLECTION
                    : OTHER;
        }
    }

    public static ProcessUsage of(long pid) throws IOException {
        Path proc = Path.of("/proc", String.valueOf(pid));
        Map<ThreadKind, Double> seconds = new EnumMap<>(ThreadKind.class);
        try {
            double megabytes = 0;
            for (String line : Files.readAllLines(proc.resolve("status"))) {
                if (line.startsWith("VmRSS")) {
                    megabytes = Long.parseLong(line.replaceAll("[^0-9]", "")) / BYTES_A_MEGABYTE;
                }
            }
            try (Stream<Path> tasks = Files.list(proc.resolve("task"))) {
                tasks.forEach(task -> addThread(task, seconds));
            }
            try (Stream<Path> open = Files.list(proc.resolve("fd"))) {
                return new ProcessUsage(seconds, megabytes, (int) open.count());
            }
        } catch (NoSuchFileException | UncheckedIOException e) {
            return new ProcessUsage(Map.of(), 0, 0); // it has ended meanwhile
        }
    }

    private static void addThread(Path task, Map<ThreadKind, Double> seconds) {
        try {
            String name = Files.readString(task.resolve("comm")).strip();
            String stat = Files.readString(task.resolve("stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            double ticks = Double.parseDouble(fields[USER_TICKS]) + Double.parseDouble(fields[SYSTEM_TICKS]);
            seconds.merge(ThreadKind.of(name), ticks / TICKS_A_SECOND, Double::sum);
        } catch (IOException e) {
            seconds.merge(ThreadKind.OTHER, 0.0, Double::sum); // the thread has ended meanwhile
        }
    }

    public double cpuSeconds() {
        return threadSeconds.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    /** Without compiling and collecting, which a long-lived process does less of. */
    public double workSeconds() {
        return threadSeconds.getOrDefault(ThreadKind.EVENT_LOOP, 0.0)
                + threadSeconds.getOrDefault(ThreadKind.CONSENSUS, 0.0);
    }
}
