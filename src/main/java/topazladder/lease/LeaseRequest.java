package topazladder.lease;

import java.util.List;

/**
 * A member's poll of the leader: what it holds, what it has stopped, and whether it would take more.
 *
 * @param member who asks
 * @param sequence grows with each request of one incarnation; the response repeats it
 * @param eligible whether the member may be granted anything
 * @param held leases whose work the member does now
 * @param stopped leases that it was granted and no longer works under; repeated until the group has recorded it
 */
public record LeaseRequest(MemberIdentity member, long sequence, boolean eligible, List<Held> held,
        List<Stopped> stopped) {

    /** A lease that the member works under. */
    public record Held(String leaseName, long fencingToken) {
    }

    /**
     * A lease that the member no longer works under.
     *
     * @param failure why the work could not be done; null where it was stopped in order
     */
    public record Stopped(String leaseName, long fencingToken, String failure) {
    }
}
