package topazladder.lease;

/** One incarnation of a member, as known to the leader from its requests. Owned by {@link KnownMembers}. */
final class KnownMember {
    private final MemberIdentity identity;
    private double lastRequestAt;
    private boolean eligible;
    private double ineligibleSince = Double.NaN;

    KnownMember(MemberIdentity identity) {
        this.identity = identity;
    }

    void recordRequest(double now, boolean isEligible) {
        lastRequestAt = now;
        if (isEligible) {
            ineligibleSince = Double.NaN;
        } else if (eligible || Double.isNaN(ineligibleSince)) {
            ineligibleSince = now;
        }
        eligible = isEligible;
    }

    MemberIdentity identity() {
        return identity;
    }

    boolean isEligible() {
        return eligible;
    }

    /** Whether the member has declared itself ineligible without interruption for longer than this. */
    boolean isIneligibleForLongerThan(double seconds, double now) {
        return !eligible && now - ineligibleSince > seconds;
    }

    double secondsSinceLastRequest(double now) {
        return now - lastRequestAt;
    }
}
