package topazladder.lease;

import java.util.List;

/**
 * A command of the replicated log about leases. A command names the fencing token that its proposer saw, so that one
 * that is applied twice, or late, changes nothing. None carries a time: the voters' clocks differ.
 */
public sealed interface LeaseCommand {

    /** A command about one lease. */
    sealed interface OnLease extends LeaseCommand {
        /** The lease that the command is about. */
        String leaseName();
    }

    /** A command about one lease as it was granted under one fencing token. */
    sealed interface OnGrant extends OnLease {
        /** The token under which the lease was granted. */
        long fencingToken();
    }

    /** Sets which leases exist; a lease that is not listed is removed once nobody holds it. */
    record Define(List<LeaseSettings> leases) implements LeaseCommand {
    }

    /**
     * Grants a lease that nobody holds.
     *
     * @param holder who holds it from now on
     * @param previousToken the last token granted, as the proposer saw it
     */
    record Grant(String leaseName, MemberIdentity holder, long previousToken) implements OnLease {
    }

    /** The holder has stopped. */
    record Release(String leaseName, long fencingToken) implements OnGrant {
    }

    /** The holder's time has surely run out, whether it stopped or not. */
    record Expire(String leaseName, long fencingToken) implements OnGrant {
    }

    /** The holder has held for so long that the work does not bring its holders down: earlier losses are forgotten. */
    record HolderSettled(String leaseName, long fencingToken) implements OnGrant {
    }

    /** The process that lost the lease under this token has ended: a later incarnation of the member was heard. */
    record HolderCrashed(String leaseName, long fencingToken) implements OnGrant {
    }

    /** The holder could not do the work. */
    record HolderFailed(String leaseName, long fencingToken, String reason) implements OnGrant {
    }

    /** The lease is granted to nobody until it is resumed. */
    record Suspend(String leaseName, String reason) implements OnLease {
    }

    /** Ends a suspension, and forgets the losses that led to it. */
    record Resume(String leaseName) implements OnLease {
    }

    /**
     * An operator's wish about who should hold the lease.
     *
     * @param memberName who should hold it; empty withdraws an earlier wish
     */
    record Transfer(String leaseName, String memberName) implements OnLease {
    }

    /** The first command of a leader's term; the leader decides nothing before it is applied. */
    record BeginLeadership(String leader, long nonce) implements LeaseCommand {
    }

    /** Grants go on above this token; for a group that was formed anew from what is left of an earlier one. */
    record RaiseTokenFloor(long tokenFloor) implements LeaseCommand {
    }
}
