package topazladder.lease;

import java.util.HashMap;
import java.util.Map;

/**
 * When each held lease expires and since when it has been held, by the leader's clock. This is not replicated: a new
 * leader counts every lease from the start of its own term.
 */
final class LeaseDeadlines {
    private final Map<String, Double> expiresAt = new HashMap<>(); // by lease name, bounded by the defined leases
    private final Map<String, Double> heldSince = new HashMap<>(); // same keys and bound

    void clear() {
        expiresAt.clear();
        heldSince.clear();
    }

    /** Starts to track a lease that is held from now on. */
    void held(String leaseName, double now, double until) {
        expiresAt.put(leaseName, until);
        heldSince.put(leaseName, now);
    }

    /** Extends the lease to that time, unless it expires later already. */
    void extend(String leaseName, double until) {
        expiresAt.merge(leaseName, until, Math::max);
    }

    /** When the lease has expired for certain; an unknown lease is recorded with the given default. */
    double expiresAt(String leaseName, double ifUnknown) {
        return expiresAt.computeIfAbsent(leaseName, name -> ifUnknown);
    }

    /** Since when the lease has been held; {@code now} if unknown. */
    double heldSince(String leaseName, double now) {
        return heldSince.getOrDefault(leaseName, now);
    }

    void remove(String leaseName) {
        expiresAt.remove(leaseName);
        heldSince.remove(leaseName);
    }
}
