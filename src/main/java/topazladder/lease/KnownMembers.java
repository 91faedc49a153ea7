package topazladder.lease;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * The members that have sent the leader a request recently, one incarnation for each name. This is not replicated: a
 * new leader starts without any.
 */
final class KnownMembers {
    private final Map<String, KnownMember> byName = new TreeMap<>(); // bounded by removeSilent()

    void clear() {
        byName.clear();
    }

    int size() {
        return byName.size();
    }

    /** Whether a later incarnation of the member is known, so that the process of this one should have ended. */
    boolean isOutdated(MemberIdentity identity) {
        KnownMember known = byName.get(identity.name());
        return known != null && known.identity().incarnation() > identity.incarnation();
    }

    /**
     * Records that a member has sent a request, and whether it is eligible for leases.
     *
     * @return whether this incarnation was unknown before
     */
    boolean recordRequest(double now, LeaseRequest request) {
        MemberIdentity identity = request.member();
        KnownMember known = byName.get(identity.name());
        boolean isNew = known == null || !known.identity().equals(identity);
        if (isNew) {
            known = new KnownMember(identity);
            byName.put(identity.name(), known);
        }
        known.recordRequest(now, request.eligible());
        return isNew;
    }

    void removeSilent(double now, double longerThanSeconds) {
        byName.values().removeIf(known -> known.secondsSinceLastRequest(now) > longerThanSeconds);
    }

    /** The known incarnation of the member, or null. */
    KnownMember get(String memberName) {
        return byName.get(memberName);
    }

    /** Whether the member is known and may be granted leases. */
    boolean isEligible(String memberName) {
        KnownMember known = byName.get(memberName);
        return known != null && known.isEligible();
    }

    boolean isAnyEligibleBesides(MemberIdentity identity) {
        return eligible().anyMatch(member -> !member.equals(identity));
    }

    /** All members that may be granted leases, in natural order. */
    List<MemberIdentity> eligibleMembers() {
        return eligible().sorted().toList();
    }

    Set<MemberIdentity> identities() {
        Set<MemberIdentity> identities = new TreeSet<>();
        byName.values().forEach(known -> identities.add(known.identity()));
        return identities;
    }

    private Stream<MemberIdentity> eligible() {
        return byName.values().stream().filter(KnownMember::isEligible).map(KnownMember::identity);
    }
}
