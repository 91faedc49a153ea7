package topazladder.lease;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The replicated state of one lease. Immutable; each command that changes the lease replaces it.
 *
 * @param fencingToken the last token granted; it never decreases
 * @param holder the member that holds the lease under that token, or null while it is not held
 * @param suspendedReason why the lease is suspended, or null while it is not
 * @param preferredMember name of the member that an operator prefers as the next holder, or empty
 * @param placedByOperator whether an operator has placed the lease at a member, so that load balancing does not move it
 * @param losses the latest losses, oldest first; cleared when a holder settles or an operator resumes the lease
 */
public record LeaseState(LeaseSettings settings, long fencingToken, MemberIdentity holder, String suspendedReason,
        String preferredMember, boolean placedByOperator, List<Loss> losses) {

    /** Number of losses kept. Must not be below the largest {@link LeaseSettings#maxConsecutiveLosses} allowed. */
    static final int MAX_KEPT_LOSSES = 16;

    /**
     * A holder whose lease expired or whose task failed, instead of a release.
     *
     * @param processEnded whether the process is known to have ended, or the task to have failed there
     */
    public record Loss(long fencingToken, MemberIdentity holder, boolean processEnded) {
    }

    static LeaseState neverGranted(LeaseSettings settings, long fencingToken) {
        return new LeaseState(settings, fencingToken, null, null, "", false, List.of());
    }

    /** Whether a member holds the lease by the replicated state. */
    public boolean isHeld() {
        return holder != null;
    }

    /** Whether the lease is not granted until an operator resumes it. */
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

    LeaseState withPreferredMember(String memberName) {
        if (isHeld() && holder.name().equals(memberName)) {
            return new LeaseState(settings, fencingToken, holder, suspendedReason, "", true, losses);
        }
        return new LeaseState(settings, fencingToken, holder, suspendedReason, memberName, placedByOperator, losses);
    }

    LeaseState settled() {
        return new LeaseState(settings, fencingToken, holder, suspendedReason, preferredMember, placedByOperator,
                List.of());
    }

    /**
     * Adds a loss, or replaces the one under the same token. Suspends the lease once enough of the losses kept are
     * known to be crashes or failures.
     */
    LeaseState withLoss(Loss loss) {
        List<Loss> kept = new ArrayList<>(losses);
        kept.removeIf(earlier -> earlier.fencingToken() == loss.fencingToken());
        kept.add(loss);
        kept.sort(Comparator.comparingLong(Loss::fencingToken));
        while (kept.size() > MAX_KEPT_LOSSES) {
            kept.remove(0);
        }
        long ended = kept.stream().filter(Loss::processEnded).count();
        // Stored in the state: replicas of different versions must compute the same text.
        String reason = suspendedReason == null && ended >= settings.maxConsecutiveLosses()
                ? "it brought down " + ended + " holders one after another" : suspendedReason;
        return new LeaseState(settings, fencingToken, holder, reason, preferredMember, placedByOperator,
                List.copyOf(kept));
    }

    /** The loss under that token, or null if none is kept. */
    Loss findLoss(long token) {
        return losses.stream().filter(loss -> loss.fencingToken() == token).findFirst().orElse(null);
    }

    /** The holder of the latest loss, or null if no loss is kept. */
    MemberIdentity holderOfLastLoss() {
        return losses.isEmpty() ? null : losses.get(losses.size() - 1).holder();
    }
}
