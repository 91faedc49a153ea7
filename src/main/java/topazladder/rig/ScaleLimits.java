package topazladder.rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** What a scale run may take of the machine; one that would take more is refused before it starts anything. */
public final class ScaleLimits {
    public static final int MOST_PROCESSES = 300;
    /** Heap of a hollow process beside its members, in megabytes. */
    private static final int BASE_HEAP_MB = 200;
    /** For each member, and for each entry of its table of members; generous, as what is not used is not held. */
    private static final double MEMBER_HEAP_MB = 1;
    private static final double ENTRY_HEAP_MB = 0.0006;
    /** A real process, whole. */
    private static final int REAL_MB = 170;

    private ScaleLimits() {}

    /** Megabytes of heap for one process of that many hollow members. */
    static int heapMb(ScaleSettings s) {
        return (int) (BASE_HEAP_MB + s.eachProcess() * (MEMBER_HEAP_MB + s.members() * ENTRY_HEAP_MB));
    }

    /** @throws IllegalArgumentException that says which limit it would pass */
    public static void check(ScaleSettings s) throws IOException {
        check(s, machineMegabytes());
    }

    static void check(ScaleSettings s, long machineMegabytes) {
        int processes = s.hollowProcesses() + s.real() + s.voters();
        if (processes > MOST_PROCESSES) {
            throw new IllegalArgumentException("it would start " + processes + " processes; at most " + MOST_PROCESSES);
        }
        long megabytes = (long) s.hollowProcesses() * heapMb(s) + (long) REAL_MB * (s.real() + s.voters());
        if (megabytes > machineMegabytes / 2) {
            throw new IllegalArgumentException("it could take " + megabytes + " MB; at most half of the machine's "
                    + machineMegabytes);
        }
    }

    private static long machineMegabytes() throws IOException {
        String first = Files.readAllLines(Path.of("/proc/meminfo")).get(0);
        return Long.parseLong(first.replaceAll("[^0-9]", "")) / 1024;
    }
}
