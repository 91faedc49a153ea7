package topazladder.lease;

import java.util.HashMap;
import java.util.Map;

/**
 * When each held lease expires and since when it has been held, by the leader's clock. This is not replicated: a new
 * leader counts every lease from the start of its own term.
 */
final class LeaseDeadlines {
    private final Map<String, Double> expiryByLease = new HashMap<>(); // bounded by the defined leases
    private final Map<String, Double> heldSinceByLease = new HashMap<>(); // same keys and bound

    void clear() {
        expiryByLease.clear();
        heldSinceByLease.clear();
    }

    /** Starts to track a lease that is held from now on. */
    void track(String leaseName, double now, double expiresAt) {
        expiryByLease.put(leaseName, expiresAt);
        heldSinceByLease.put(leaseName, now);
    }

    /** Extends the lease to that time, unless it expires later already. */
    void extend(String leaseName, double expiresAt) {
        expiryByLease.merge(leaseName, expiresAt, Math::max);
    }

    /** When the lease has expired for certain; an unknown lease is recorded with the given default. */
    double expiresAtOrRecord(String leaseName, double defaultExpiresAt) {
        return expiryByLease.computeIfAbsent(leaseName, name -> defaultExpiresAt);
    }

    /** Since when the lease has been held; {@code now} if unknown. */
    double heldSince(String leaseName, double now) {
        return heldSinceByLease.getOrDefault(leaseName, now);
    }

    void remove(String leaseName) {
        expiryByLease.remove(leaseName);
        heldSinceByLease.remove(leaseName);
    }
}
