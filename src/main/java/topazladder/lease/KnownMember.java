package topazladder.lease;

/** One incarnation of a member, as the leader has heard of it. Owned by {@link KnownMembers}. */
final class KnownMember {
    private final MemberIdentity identity;
    private double lastHeardAt;
    private boolean eligible;
    private double ineligibleSince = Double.NaN;

    KnownMember(MemberIdentity identity) {
        this.identity = identity;
    }

    void heard(double now, boolean isEligible) {
        lastHeardAt = now;
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

    /** Whether it has said for longer than that, without a break, that it should be granted nothing. */
    boolean isIneligibleForLongerThan(double seconds, double now) {
        return !eligible && now - ineligibleSince > seconds;
    }

    double silentSeconds(double now) {
        return now - lastHeardAt;
    }
}
