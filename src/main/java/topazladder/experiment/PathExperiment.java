package topazladder.experiment;

import java.util.List;
import java.util.Locale;
import topazladder.rig.PathRig;
import topazladder.rig.PathSettings;

/**
 * What the settings' size costs one service instance: time to start, memory, processor time a request, and the time
 * that the instance adds to a request, by classes and tenants.
 */
public final class PathExperiment {

    private PathExperiment() {}

    public static String table(List<Integer> classes, List<Integer> tenants, double rate, double seconds, int heapMb)
            throws Exception {
        StringBuilder table = new StringBuilder(String.format(Locale.ROOT, "%.0f requests a second, %.0f s each, heap "
                + "of %d MB, loopback; times are upper bounds.%n%n", rate, seconds, heapMb));
        table.append(
                "| classes | tenants | start s | start cpu s | resident MB | cpu µs a request | to the runtime ms:")
                .append(" p50 | p99 | p99.9 | to the caller ms: p50 | p99 | p99.9 | served of sent |\n")
                .append("|").append(" --- |".repeat(13)).append('\n');
        for (int c : classes) {
            for (int t : tenants) {
                try (PathRig rig = new PathRig(new PathSettings(c, t, rate, seconds), heapMb)) {
                    table.append(row(c, t, rig.measure()));
                }
            }
        }
        return table.append('\n').toString();
    }

    private static String row(int classes, int tenants, PathRig.Result r) {
        if (!r.refusal().isEmpty()) {
            return "| " + classes + " | " + tenants + " | does not start: " + r.refusal() + " |"
                    + " |".repeat(10) + "\n";
        }
        return String.format(Locale.ROOT, "| %d | %d | %.2f | %.2f | %.1f | %.0f | %.2f | %.2f | %.2f | %.2f | %.2f |"
                + " %.2f | %d of %d |%n", classes, tenants, r.startSeconds(), r.startCpuSeconds(),
                r.usage().residentMegabytes(), r.cpuMicros(), r.toRuntime().p50(), r.toRuntime().p99(),
                r.toRuntime().p999(), r.toCaller().p50(), r.toCaller().p99(), r.toCaller().p999(), r.answered(),
                r.sent());
    }
}
