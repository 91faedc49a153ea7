package topazladder.lease;

import java.util.List;

/**
 * The leader's answer to one {@link LeaseRequest}, given once a majority has confirmed that it still leads.
 *
 * @param sequence of the request
 * @param grants all leases that the member holds by the replicated state
 * @param pollAfterSeconds within which a member that holds nothing should poll again
 */
public record LeaseResponse(long sequence, List<Grant> grants, double pollAfterSeconds) {

    /**
     * A lease that is granted or renewed.
     *
     * @param durationSeconds counted from before the request was sent, by the member's clock
     * @param stopRequested whether the member is to stop the work and report it
     */
    public record Grant(String leaseName, long fencingToken, double durationSeconds, boolean stopRequested) {
    }
}
