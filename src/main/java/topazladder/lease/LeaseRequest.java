package topazladder.lease;

import java.util.List;

/**
 * What a member says to the group's leader: what it holds, what it has stopped, whether it would take more.
 *
 * @param number grows with each ask of one life; the answer bears it
 * @param steady whether it may be granted anything
 * @param held what it does now
 * @param stopped what it was granted and does not do any more; said again until the group knows it
 */
public record LeaseRequest(MemberIdentity from, long number, boolean steady, List<Held> held, List<Stopped> stopped) {

    public record Held(String duty, long token) {
    }

    /** @param failed why it could not be done; null where it was stopped as it should be */
    public record Stopped(String duty, long token, String failed) {
    }
}
