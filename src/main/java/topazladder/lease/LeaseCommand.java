package topazladder.lease;

import java.util.List;

/**
 * A command about leases in the replicated log. A command about a granted lease carries the fencing token that its
 * proposer saw, so that a duplicate or late command changes nothing. No command carries a time, as the voters' clocks
 * differ.
 */
public sealed interface LeaseCommand {

    /** A command about one lease. */
    sealed interface OnLease extends LeaseCommand {
        /** Name of the lease that the command applies to. */
        String leaseName();
    }

    /** A command about one lease as it was granted under one fencing token. */
    sealed interface OnGrant extends OnLease {
        /** The token under which the lease was granted. */
        long fencingToken();
    }

    /**
     * Defines which leases exist. A lease that is not listed is removed, unless it is held: then it stays until a later
     * definition that does not list it finds it released.
     */
    record Define(List<LeaseSettings> leases) implements LeaseCommand {
    }

    /**
     * Grants a lease that is not held.
     *
     * @param holder the member that holds it from now on
     * @param previousToken the last fencing token granted, as the proposer saw it
     */
    record Grant(String leaseName, MemberIdentity holder, long previousToken) implements OnLease {
    }

    /** The holder has stopped its task and releases the lease. */
    record Release(String leaseName, long fencingToken) implements OnGrant {
    }

    /** The lease has expired by the holder's clock for certain, whether or not the holder has stopped. */
    record Expire(String leaseName, long fencingToken) implements OnGrant {
    }

    /**
     * The holder has held the lease for so long that the task is unlikely to crash its holders: earlier losses are
     * discarded.
     */
    record HolderSettled(String leaseName, long fencingToken) implements OnGrant {
    }

    /** The process that lost the lease under this token has ended, as a later incarnation of the member is known. */
    record HolderCrashed(String leaseName, long fencingToken) implements OnGrant {
    }

    /** The task failed at the holder. */
    record HolderFailed(String leaseName, long fencingToken, String reason) implements OnGrant {
    }

    /** Suspends the lease: it is not granted until it is resumed. */
    record Suspend(String leaseName, String reason) implements OnLease {
    }

    /** Ends a suspension and discards the losses that led to it. */
    record Resume(String leaseName) implements OnLease {
    }

    /**
     * Sets the member that an operator prefers as the holder.
     *
     * @param memberName the preferred holder; empty clears an earlier preference
     */
    record Transfer(String leaseName, String memberName) implements OnLease {
    }

    /** The first command of a leader's term; the leader makes no decision before it is applied. */
    record BeginLeadership(String leader, long nonce) implements LeaseCommand {
    }

    /**
     * Raises the tokens of later grants above this one, and ends all current grants. Used for a consensus group that is
     * formed anew from what is left of an earlier one.
     */
    record RaiseTokenFloor(long tokenFloor) implements LeaseCommand {
    }
}
