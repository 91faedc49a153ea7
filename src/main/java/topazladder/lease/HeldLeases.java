package topazladder.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/**
 * The leases that a member holds, and those that it has stopped but the consensus group has not recorded as released
 * yet. For each lease that has ended here it keeps the highest fencing token, so that a delayed response never restarts
 * a task under that token.
 */
final class HeldLeases {
    private final Map<String, HeldLease> byName = new TreeMap<>(); // bounded by the leases granted to this member
    private final Map<String, EndedLease> ended = new HashMap<>(); // by lease name, bounded by the defined leases

    /** @param stoppedAt when the lease was last marked as stopped */
    private record EndedLease(long highestToken, double stoppedAt) {
    }

    HeldLease get(String leaseName) {
        return byName.get(leaseName);
    }

    void put(String leaseName, HeldLease lease) {
        byName.put(leaseName, lease);
    }

    boolean isEmpty() {
        return byName.isEmpty();
    }

    void forEach(BiConsumer<String, HeldLease> action) {
        byName.forEach(action);
    }

    /** Whether a task under this token, or under a later one of the same lease, has already ended here. */
    boolean hasEnded(String leaseName, long fencingToken) {
        EndedLease last = ended.get(leaseName);
        return fencingToken <= (last == null ? 0 : last.highestToken());
    }

    /** Marks the lease as stopped, and records its token so that its task is not started again under it. */
    void markStopped(double now, String leaseName, HeldLease lease, String failure) {
        lease.markStopped(failure);
        EndedLease last = ended.get(leaseName);
        long highestToken = last == null ? lease.fencingToken() : Math.max(last.highestToken(), lease.fencingToken());
        ended.put(leaseName, new EndedLease(highestToken, now));
    }

    /**
     * Removes stopped leases that the leader no longer lists. Only a response to a request sent after the stop counts,
     * as an earlier request did not report it.
     */
    void removeAcknowledged(LeaseResponse response, double requestedAt) {
        byName.entrySet().removeIf(entry -> entry.getValue().isStopped()
                && !isListed(response, entry.getKey(), entry.getValue().fencingToken())
                && requestedAt >= ended.get(entry.getKey()).stoppedAt());
    }

    private static boolean isListed(LeaseResponse response, String leaseName, long fencingToken) {
        return response.grants().stream()
                .anyMatch(grant -> grant.leaseName().equals(leaseName) && grant.fencingToken() == fencingToken);
    }

    /** The shortest duration among these leases; {@link Double#MAX_VALUE} if there is none. */
    double shortestDurationSeconds() {
        return byName.values().stream().mapToDouble(HeldLease::durationSeconds).min().orElse(Double.MAX_VALUE);
    }

    double nextChangeAt() {
        return byName.values().stream().mapToDouble(HeldLease::nextChangeAt).min().orElse(Double.POSITIVE_INFINITY);
    }

    /** Builds a request that reports every held and every stopped lease. */
    LeaseRequest request(MemberIdentity member, long sequence, boolean eligible) {
        List<LeaseRequest.Held> held = new ArrayList<>();
        List<LeaseRequest.Stopped> stopped = new ArrayList<>();
        byName.forEach((leaseName, lease) -> {
            if (lease.isStopped()) {
                stopped.add(new LeaseRequest.Stopped(leaseName, lease.fencingToken(), lease.failure()));
            } else {
                held.add(new LeaseRequest.Held(leaseName, lease.fencingToken()));
            }
        });
        return new LeaseRequest(member, sequence, eligible, held, stopped);
    }
}
