package topazladder.lease;

import java.util.List;

/**
 * A member's poll of the leader: the leases it holds, those it has stopped, and whether it may be granted more.
 *
 * @param member the member that sends the request
 * @param sequence increases with each request of one incarnation; the response repeats it
 * @param eligible whether the member may be granted leases
 * @param held leases that the member holds, whose tasks have not stopped
 * @param stopped leases whose tasks have stopped; repeated until the consensus group has recorded the release
 */
public record LeaseRequest(MemberIdentity member, long sequence, boolean eligible, List<Held> held,
        List<Stopped> stopped) {

    /** A lease whose task has not stopped. */
    public record Held(String leaseName, long fencingToken) {
    }

    /**
     * A lease whose task has stopped.
     *
     * @param failure why the task failed; null if it stopped normally
     */
    public record Stopped(String leaseName, long fencingToken, String failure) {
    }
}
