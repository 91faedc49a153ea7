package topazladder.lease;

import java.util.List;

/**
 * What the leader says to one ask, after a majority has confirmed that it still leads.
 *
 * @param number of the ask
 * @param leases all that the member holds by the group
 * @param askAgainIn seconds within which a member without a duty should ask anew
 */
public record LeaseResponse(long number, List<Lease> leases, double askAgainIn) {

    /**
     * @param lease seconds from before the ask was sent
     * @param stop whether the member is to stop it and say so
     */
    public record Lease(String duty, long token, double lease, boolean stop) {
    }
}
