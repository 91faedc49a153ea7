package topazladder.lease;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Evens the load by moving leases away from members that hold well more than their share: more than
 * {@code bound + max(1, bound / 4)}, with the bound of {@link LeasePlacement#bound}.
 *
 * <p>At most once in a poll interval, and with no more than one lease in twenty under way at a time, so that leases
 * move slowly when a whole zone joins. What an operator put somewhere stays there.
 */
final class LeaseBalancer {
    /** One in so many leases may be under way to another member. */
    private static final int LEASES_PER_MOVE = 20;
    /** A member may exceed its bound by one in so many leases before it loses any. */
    private static final int BOUND_PER_EXCESS = 4;
    private static final int MIN_MEMBERS = 2;

    private final Set<String> moving = new HashSet<>();
    private double lastMoveAt;

    void reset(double now) {
        moving.clear();
        lastMoveAt = now;
    }

    /** Whether the holder is to give the lease up, to even the load. */
    boolean isMoving(String leaseName) {
        return moving.contains(leaseName);
    }

    /** The lease has been given up, or its holder was lost. */
    void moved(String leaseName) {
        moving.remove(leaseName);
    }

    void retainDefined(LeaseStateMachine stateMachine) {
        moving.removeIf(leaseName -> stateMachine.get(leaseName) == null);
    }

    /**
     * Chooses the leases that are to move.
     *
     * @param leases all that are defined
     * @param eligible members that may take leases
     * @param load by member, the leases that it holds or is about to hold; a lease that is to move is subtracted
     * @param intervalSeconds between two choices
     */
    void balance(double now, Collection<LeaseState> leases, List<MemberIdentity> eligible,
            Map<MemberIdentity, Integer> load, double intervalSeconds) {
        if (eligible.size() < MIN_MEMBERS || now - lastMoveAt < intervalSeconds || !mayMoveMore(leases.size())) {
            return;
        }
        lastMoveAt = now;
        int bound = LeasePlacement.bound(leases.size(), eligible.size());
        int maxLoad = bound + Math.max(1, bound / BOUND_PER_EXCESS);
        int capacity = eligible.stream().mapToInt(member -> Math.max(0, bound - load.getOrDefault(member, 0))).sum();
        for (LeaseState lease : leases) {
            if (capacity > 0 && isMovable(lease, load, maxLoad) && mayMoveMore(leases.size())
                    && moving.add(lease.settings().name())) {
                load.merge(lease.holder(), -1, Integer::sum);
                capacity--;
            }
        }
    }

    private boolean mayMoveMore(int leaseCount) {
        return moving.size() <= leaseCount / LEASES_PER_MOVE;
    }

    private static boolean isMovable(LeaseState lease, Map<MemberIdentity, Integer> load, int maxLoad) {
        return lease.isHeld() && !lease.placedByOperator() && load.getOrDefault(lease.holder(), 0) > maxLoad;
    }
}
