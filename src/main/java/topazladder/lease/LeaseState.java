package topazladder.lease;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * One lease as the group has agreed on it; immutable, replaced by each command that changes it.
 *
 * @param fencingToken the last one granted; it only grows
 * @param holder who was granted the lease under that token, or null while nobody holds it
 * @param suspendedReason why the lease is granted to nobody, or null while it is not suspended
 * @param preferredMember name of the member that an operator wants to hold it, or empty
 * @param placedByOperator whether an operator put it where it is; it is then not moved to even the load
 * @param losses of holders that expired, failed or ended, oldest first; emptied once a holder settles
 */
public record LeaseState(LeaseSettings settings, long fencingToken, MemberIdentity holder, String suspendedReason,
        String preferredMember, boolean placedByOperator, List<Loss> losses) {

    /** Losses kept; more than {@link LeaseSettings#maxConsecutiveLosses} may be set to. */
    static final int MAX_KEPT_LOSSES = 16;

    /**
     * A holder that did not release the lease in order.
     *
     * @param processEnded whether its process is known to have ended, or to have failed at the work
     */
    public record Loss(long fencingToken, MemberIdentity holder, boolean processEnded) {
    }

    static LeaseState neverGranted(LeaseSettings settings, long fencingToken) {
        return new LeaseState(settings, fencingToken, null, null, "", false, List.of());
    }

    /** Whether somebody holds the lease by the replicated state. */
    public boolean isHeld() {
        return holder != null;
    }

    /** Whether the lease is granted to nobody until an operator resumes it. */
    public boolean isSuspended() {
        return suspendedReason != null;
    }

    LeaseState withSettings(LeaseSettings newSettings) {
        return new LeaseState(newSettings, fencingToken, holder, suspendedReason, preferredMember, placedByOperator,
                losses);
    }

    LeaseState grantedTo(MemberIdentity newHolder, long newToken) {
        boolean asPreferred = newHolder.name().equals(preferredMember);
        return new LeaseState(settings, newToken, newHolder, suspendedReason, asPreferred ? "" : preferredMember,
                asPreferred, losses);
    }

    LeaseState released() {
        return new LeaseState(settings, fencingToken, null, suspendedReason, preferredMember, placedByOperator,
                losses);
    }

    LeaseState suspended(String reason) {
        return new LeaseState(settings, fencingToken, holder, reason, preferredMember, placedByOperator, losses);
    }

    LeaseState resumed() {
        return new LeaseState(settings, fencingToken, holder, null, preferredMember, placedByOperator, List.of());
    }

    LeaseState transferTo(String memberName) {
        if (isHeld() && holder.name().equals(memberName)) {
            return new LeaseState(settings, fencingToken, holder, suspendedReason, "", true, losses);
        }
        return new LeaseState(settings, fencingToken, holder, suspendedReason, memberName, placedByOperator, losses);
    }

    LeaseState settled() {
        return new LeaseState(settings, fencingToken, holder, suspendedReason, preferredMember, placedByOperator,
                List.of());
    }

    /** Adds a loss, or replaces what was known of it; suspends once enough holders are known to have ended. */
    LeaseState lost(Loss loss) {
        List<Loss> kept = new ArrayList<>(losses);
        kept.removeIf(earlier -> earlier.fencingToken() == loss.fencingToken());
        kept.add(loss);
        kept.sort(Comparator.comparingLong(Loss::fencingToken));
        while (kept.size() > MAX_KEPT_LOSSES) {
            kept.remove(0);
        }
        long ended = kept.stream().filter(Loss::processEnded).count();
        String reason = suspendedReason == null && ended >= settings.maxConsecutiveLosses()
                ? "it brought down " + ended + " holders one after another" : suspendedReason;
        return new LeaseState(settings, fencingToken, holder, reason, preferredMember, placedByOperator,
                List.copyOf(kept));
    }

    /** The loss under that token, or null where none is kept. */
    Loss lossUnder(long token) {
        return losses.stream().filter(loss -> loss.fencingToken() == token).findFirst().orElse(null);
    }

    /** The holder that lost the lease last, or null where no loss is kept. */
    MemberIdentity lastLostHolder() {
        return losses.isEmpty() ? null : losses.get(losses.size() - 1).holder();
    }
}
