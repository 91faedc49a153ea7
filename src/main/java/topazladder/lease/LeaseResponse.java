package topazladder.lease;

import java.util.List;

/**
 * The leader's response to one {@link LeaseRequest}, sent once a majority has confirmed that it still leads.
 *
 * @param sequence the sequence number of the request
 * @param grants the leases that the member holds by the replicated state, without those whose end is proposed
 * @param pollAfterSeconds interval after which a member without leases should poll again
 */
public record LeaseResponse(long sequence, List<Grant> grants, double pollAfterSeconds) {

    /**
     * A granted or renewed lease.
     *
     * @param durationSeconds counted from before the request was sent, by the member's clock
     * @param stopRequested whether the member should stop the task and release the lease
     */
    public record Grant(String leaseName, long fencingToken, double durationSeconds, boolean stopRequested) {
    }
}
