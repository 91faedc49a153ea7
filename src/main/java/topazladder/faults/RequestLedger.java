package topazladder.faults;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * What became of requests, as callers and runtimes see it: one answer each by its time, no fingerprinted one run twice
 * by one instance, none that was read left behind by a drain. What an instance could not do because its process stood
 * still or was killed is not held against it.
 */
public final class RequestLedger {
    /**
     * Part of the requests that may have no answer in their time. The operators' bench has 3 in 1000, on a clock of its
     * own; here dozens of processes start and compile on a few cores beside each other.
     */
    private static final double MOST_LATE = 0.02;
    /** Of few requests a single one says nothing. */
    private static final long FEW = 5;
    /** Seconds past its time in which an answer may still be on its way. */
    private static final double SLACK = 0.5;
    private static final double WINDOW = 13.6;
    /** Seconds before its due time within which a process that stood still is excused of a request. */
    private static final double EXCUSED = 3;
    private static final int MOST_BREAKS = 20;

    private record Run(double at, String ref) {
    }

    private final double[] excusedUntil; // by instance; without end while it stands still
    private final int[] leftOpen;
    private final List<Map<String, Run>> runs = new ArrayList<>(); // by instance and fingerprint, those of one window
    private final List<String> breaks = new ArrayList<>();
    private long sent;
    private long answered;
    private long late;
    private long dropped;
    private long excused;

    public RequestLedger(int instances) {
        excusedUntil = new double[instances];
        Arrays.fill(excusedUntil, Double.NEGATIVE_INFINITY);
        leftOpen = new int[instances];
        for (int i = 0; i < instances; i++) {
            runs.add(new LinkedHashMap<>());
        }
    }

    public void sent() {
        sent++;
    }

    /** An answer came to what was sent then and was due by then. */
    public void answered(int instance, double now, double due) {
        answered++;
        if (now > due + SLACK) {
            late(instance, due);
        }
    }

    /** None came, and its connection still stands. */
    public void unanswered(int instance, double due) {
        late(instance, due);
    }

    private void late(int instance, double due) {
        if (excusedUntil[instance] >= due - EXCUSED) {
            excused++;
        } else {
            late++;
        }
    }

    /** How long an answer may take past its due time until it counts as none. */
    public static double slack() {
        return SLACK;
    }

    /** A second answer, or one to what was never asked. */
    public void strange(int instance, double now, String what) {
        broken(now, "n" + instance + " answers what it has answered, or what was not asked: " + what);
    }

    /** A connection has ended with so many requests open. */
    public void closed(int instance, int open) {
        leftOpen[instance] += open;
    }

    /** The process has ended; in order, all that it had read should have been answered. */
    public void ended(int instance, boolean inOrder) {
        dropped += inOrder ? leftOpen[instance] : 0;
        leftOpen[instance] = 0;
    }

    /** The process stands still from now on, or goes on. */
    public void stands(int instance, double now, boolean still) {
        excusedUntil[instance] = still ? Double.POSITIVE_INFINITY : now;
    }

    /** A run begins for a fingerprinted request. */
    public void ran(int instance, double now, String fingerprint, String ref) {
        Map<String, Run> of = runs.get(instance);
        of.values().removeIf(r -> now - r.at() > WINDOW);
        Run before = of.putIfAbsent(fingerprint, new Run(now, ref));
        if (before != null && !before.ref().equals(ref)) {
            broken(now, "n" + instance + " runs " + fingerprint + " twice within "
                    + String.format(Locale.ROOT, "%.1f s", now - before.at()));
        }
    }

    /** Its memory of fingerprints ended with it. */
    public void forgets(int instance) {
        runs.get(instance).clear();
    }

    private void broken(double now, String what) {
        if (breaks.size() < MOST_BREAKS) {
            breaks.add(String.format(Locale.ROOT, "%.3f s: %s", now, what));
        }
    }

    /** Empty where all held. */
    public List<String> breaks() {
        List<String> all = new ArrayList<>(breaks);
        if (late + dropped > FEW && late + dropped > MOST_LATE * sent) {
            all.add(late + " of " + sent + " tickets had no answer in their time, and " + dropped
                    + " were left behind by drains");
        }
        return all;
    }

    /** Sent, answered, late, dropped by drains, excused. */
    public Map<String, Long> counts() {
        Map<String, Long> all = new HashMap<>();
        all.put("sent", sent);
        all.put("answered", answered);
        all.put("late", late);
        all.put("dropped", dropped);
        all.put("excused", excused);
        return all;
    }
}
