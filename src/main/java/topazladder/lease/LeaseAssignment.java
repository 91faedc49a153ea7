package topazladder.lease;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Which member should hold a lease, and when a holder should give one up though its time has not run out. Goes by the
 * members that the leader has heard of; decides nothing about time limits, which are {@link LeaseManager}'s.
 */
final class LeaseAssignment {
    private final LeaseStateMachine stateMachine;
    private final KnownMembers members;
    private final LeaseBalancer balancer;

    LeaseAssignment(LeaseStateMachine stateMachine, KnownMembers members, LeaseBalancer balancer) {
        this.stateMachine = stateMachine;
        this.members = members;
        this.balancer = balancer;
    }

    /**
     * The member to grant a lease to: the one that an operator prefers if it is eligible, else by
     * {@link LeasePlacement} among all eligible members but the one that lost the lease last. That one is chosen only
     * where it is the only one, as it may be the cause of the loss.
     *
     * @param load by member, the leases that it holds
     */
    Optional<MemberIdentity> holderFor(LeaseState lease, Map<MemberIdentity, Integer> load) {
        if (members.isEligible(lease.preferredMember())) {
            return Optional.of(members.get(lease.preferredMember()).identity());
        }
        List<MemberIdentity> eligible = members.eligibleMembers();
        MemberIdentity lastLost = lease.lastLostHolder();
        List<MemberIdentity> others = eligible.stream()
                .filter(member -> lastLost == null || !member.name().equals(lastLost.name()))
                .toList();
        return LeasePlacement.choose(lease.settings().name(), others.isEmpty() ? eligible : others, load,
                LeasePlacement.bound(stateMachine.leases().size(), eligible.size()));
    }

    /**
     * Whether the holder should give the lease up: it is suspended, it moves to even the load, an operator wants it at
     * another member that is eligible, or the holder is no longer eligible and another member is.
     */
    boolean shouldRelease(double now, LeaseState lease) {
        return lease.isSuspended() || balancer.isMoving(lease.settings().name()) || isPreferredElsewhere(lease)
                || isHolderIneligible(now, lease);
    }

    private boolean isPreferredElsewhere(LeaseState lease) {
        return !lease.preferredMember().isEmpty() && !lease.preferredMember().equals(lease.holder().name())
                && members.isEligible(lease.preferredMember());
    }

    /** Only after a whole lease: a holder that is ineligible for a moment would release it and be granted it again. */
    private boolean isHolderIneligible(double now, LeaseState lease) {
        KnownMember holder = members.get(lease.holder().name());
        return holder != null && holder.isIneligibleForLongerThan(lease.settings().durationSeconds(), now)
                && members.isAnyEligibleBesides(lease.holder());
    }
}
