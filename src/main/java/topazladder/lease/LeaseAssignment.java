package topazladder.lease;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which member should be granted a lease, and when a holder should release one that has not expired. It
 * considers the members known to the leader; expiry is up to {@link LeaseManager}.
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
     * The member to grant a lease to: the one that an operator prefers if it is eligible, otherwise the choice of
     * {@link LeasePlacement} among the eligible members. The member that lost the lease last may have caused the loss,
     * so it is chosen only if no other member is eligible.
     *
     * @param load number of leases held, by member
     * @return empty if no member is eligible
     */
    Optional<MemberIdentity> holderFor(LeaseState lease, Map<MemberIdentity, Integer> load) {
        if (members.isEligible(lease.preferredMember())) {
            return Optional.of(members.get(lease.preferredMember()).identity());
        }
        List<MemberIdentity> eligible = members.eligibleMembers();
        MemberIdentity lastLossHolder = lease.holderOfLastLoss();
        List<MemberIdentity> others = eligible.stream()
                .filter(member -> lastLossHolder == null || !member.name().equals(lastLossHolder.name()))
                .toList();
        return LeasePlacement.choose(lease.settings().name(), others.isEmpty() ? eligible : others, load,
                LeasePlacement.bound(stateMachine.leases().size(), eligible.size()));
    }

    /**
     * Whether the holder should release the lease: because the lease is suspended, because it is being moved to balance
     * the load, because an operator prefers another member that is eligible, or because the holder is no longer
     * eligible and another member is.
     */
    boolean shouldRelease(double now, LeaseState lease) {
        return lease.isSuspended() || balancer.isMoving(lease.settings().name()) || isPreferredElsewhere(lease)
                || isHolderIneligible(now, lease);
    }

    private boolean isPreferredElsewhere(LeaseState lease) {
        return !lease.preferredMember().isEmpty() && !lease.preferredMember().equals(lease.holder().name())
                && members.isEligible(lease.preferredMember());
    }

    /**
     * Requires ineligibility for longer than the lease duration: a holder that was ineligible for a moment would
     * otherwise release the lease and might be granted it again at once.
     */
    private boolean isHolderIneligible(double now, LeaseState lease) {
        KnownMember holder = members.get(lease.holder().name());
        return holder != null && holder.isIneligibleForLongerThan(lease.settings().durationSeconds(), now)
                && members.isAnyEligibleBesides(lease.holder());
    }
}
