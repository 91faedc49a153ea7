package topazladder.disruption;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** The last load report of each instance to this leader. */
final class LoadReports {
    /** An older report says nothing about how the instance serves now. */
    private static final double STALE_SECONDS = 30;
    /** For which an instance's own report that it is steady counts: by then gossip has passed the same on. */
    private static final double STEADY_CLAIM_SECONDS = 3;

    private record Entry(double at, long incarnation, int schema, LoadReport report, boolean steady) {
    }

    private final Map<DisruptionTarget, Entry> byTarget = new HashMap<>(); // of those that are observed

    void put(double now, DisruptionTarget target, long incarnation, int schema, LoadReport report, boolean steady) {
        byTarget.put(target, new Entry(now, incarnation, schema, report, steady));
    }

    void retainAll(Collection<DisruptionTarget> targets) {
        byTarget.keySet().retainAll(targets);
    }

    /** The last report of that incarnation, or null. */
    LoadReport get(DisruptionTarget target, long incarnation) {
        Entry entry = byTarget.get(target);
        return entry != null && entry.incarnation() == incarnation ? entry.report() : null;
    }

    /** The last report of that incarnation, or null where there is none or it is stale. */
    LoadReport getFresh(double now, DisruptionTarget target, long incarnation) {
        Entry entry = byTarget.get(target);
        return entry != null && entry.incarnation() == incarnation && now - entry.at() < STALE_SECONDS
                ? entry.report() : null;
    }

    /** Whether that incarnation has reported recently that it is steady. */
    boolean claimsSteady(double now, DisruptionTarget target, long incarnation) {
        Entry entry = byTarget.get(target);
        return entry != null && entry.incarnation() == incarnation && entry.steady()
                && now - entry.at() < STEADY_CLAIM_SECONDS;
    }

    /** Payoff a second; 0 for unknown. */
    double capacityPerSecond(DisruptionTarget target) {
        Entry entry = byTarget.get(target);
        return entry == null ? 0 : entry.report().capacityPerSecond();
    }

    /** The schema that the target can read; 0 for one that has reported nothing. */
    int schemaOf(DisruptionTarget target) {
        Entry entry = byTarget.get(target);
        return entry == null ? 0 : entry.schema();
    }
}
