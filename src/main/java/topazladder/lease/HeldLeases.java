package topazladder.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/**
 * The leases that a member holds, and what it has stopped that the group has not recorded yet. Of leases that are over
 * here it keeps the highest token, so that a delayed response never starts the work under that token again.
 */
final class HeldLeases {
    private final Map<String, HeldLease> byName = new TreeMap<>(); // no more than the group grants
    private final Map<String, EndedLease> ended = new HashMap<>(); // by lease, no more than are defined

    /** @param stoppedAt when its end was last noted */
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

    /** Whether the work under that token, or under a later one, has ended here. */
    boolean hasEnded(String leaseName, long fencingToken) {
        EndedLease last = ended.get(leaseName);
        return fencingToken <= (last == null ? 0 : last.highestToken());
    }

    /** No effect is made under the lease any more. */
    void markStopped(double now, String leaseName, HeldLease lease, String failure) {
        lease.stopped(failure);
        EndedLease last = ended.get(leaseName);
        long highestToken = last == null ? lease.fencingToken() : Math.max(last.highestToken(), lease.fencingToken());
        ended.put(leaseName, new EndedLease(highestToken, now));
    }

    /** Forgets stopped leases that are missing in the response to a request that reported them. */
    void forgetRecorded(LeaseResponse response, double requestedAt) {
        byName.entrySet().removeIf(entry -> entry.getValue().isStopped()
                && !isNamed(response, entry.getKey(), entry.getValue().fencingToken())
                && requestedAt >= ended.get(entry.getKey()).stoppedAt());
    }

    private static boolean isNamed(LeaseResponse response, String leaseName, long fencingToken) {
        return response.grants().stream()
                .anyMatch(grant -> grant.leaseName().equals(leaseName) && grant.fencingToken() == fencingToken);
    }

    /** Seconds; very many where none is held. */
    double shortestDurationSeconds() {
        return byName.values().stream().mapToDouble(HeldLease::durationSeconds).min().orElse(Double.MAX_VALUE);
    }

    double nextChangeAt() {
        return byName.values().stream().mapToDouble(HeldLease::nextChangeAt).min().orElse(Double.POSITIVE_INFINITY);
    }

    /** The member's request with all that is held and all that is stopped. */
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
