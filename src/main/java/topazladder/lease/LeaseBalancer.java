package topazladder.lease;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Balances the load by moving leases away from members that hold clearly more than their share, which is more than
 * {@code bound + max(1, bound / 4)} leases with the bound of {@link LeasePlacement#bound}.
 *
 * <p>Leases are chosen at most once per poll interval, and no more are chosen once over a twentieth of all leases are
 * moving, so that leases move gradually when a whole zone joins. A lease that an operator has placed is never moved.
 */
final class LeaseBalancer {
    /** No more moves are started once more than one lease in this many is moving. */
    private static final int LEASES_PER_MOVE = 20;
    /** A member may exceed its bound by one lease in this many, and at least by one, before leases move away. */
    private static final int BOUND_PER_EXCESS = 4;
    private static final int MIN_MEMBERS = 2;

    private final Set<String> moving = new HashSet<>();
    private double lastMoveAt;

    void reset(double now) {
        moving.clear();
        lastMoveAt = now;
    }

    /** Whether the holder should release the lease to balance the load. */
    boolean isMoving(String leaseName) {
        return moving.contains(leaseName);
    }

    /** Called when the lease was released, has expired, or its holder has failed. */
    void moveEnded(String leaseName) {
        moving.remove(leaseName);
    }

    void retainDefined(LeaseStateMachine stateMachine) {
        moving.removeIf(leaseName -> stateMachine.get(leaseName) == null);
    }

    /**
     * Chooses leases to move away from overloaded members.
     *
     * @param leases all defined leases
     * @param eligible members that may be granted leases
     * @param load number of leases held or about to be granted, by member; reduced by the leases chosen
     * @param intervalSeconds minimum time between two rounds of choices
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
