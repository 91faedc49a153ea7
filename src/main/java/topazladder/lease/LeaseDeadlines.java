package topazladder.lease;

import java.util.HashMap;
import java.util.Map;

/**
 * When the leases run out, and since when they are held, by the leader's clock. Nothing of it is replicated: a new
 * leader counts all leases from its own start.
 */
final class LeaseDeadlines {
    private final Map<String, Double> expiresAt = new HashMap<>(); // by lease, no more than are defined
    private final Map<String, Double> heldSince = new HashMap<>(); // likewise

    void clear() {
        expiresAt.clear();
        heldSince.clear();
    }

    /** The lease is held from now on. */
    void held(String leaseName, double now, double until) {
        expiresAt.put(leaseName, until);
        heldSince.put(leaseName, now);
    }

    /** The lease runs out no earlier than that. */
    void extend(String leaseName, double until) {
        expiresAt.merge(leaseName, until, Math::max);
    }

    /** When the lease has surely run out; set to that where it was not known. */
    double expiresAt(String leaseName, double ifUnknown) {
        return expiresAt.computeIfAbsent(leaseName, name -> ifUnknown);
    }

    /** Since when the lease is held; {@code now} where it is not known. */
    double heldSince(String leaseName, double now) {
        return heldSince.getOrDefault(leaseName, now);
    }

    void remove(String leaseName) {
        expiresAt.remove(leaseName);
        heldSince.remove(leaseName);
    }
}
