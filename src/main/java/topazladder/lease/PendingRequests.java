package topazladder.lease;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Members' requests that wait until a majority has confirmed that this voter still leads.
 *
 * <p>Confirmation rounds run one at a time. A request is answered only by a round that began after the request arrived,
 * as an earlier round does not show that this voter led at that time. All requests that wait when a round begins share
 * its confirmation.
 */
final class PendingRequests {
    /** Most requests that wait at a time. A request beyond that is dropped; its member polls again after a timeout. */
    private static final int MAX_PENDING = 4096;

    /** @param round the first round that may confirm the request */
    private record PendingRequest(LeaseRequest request, long round) {
    }

    private final Map<MemberIdentity, PendingRequest> pending = new LinkedHashMap<>();
    private long round;
    private boolean roundUnderWay;

    /** Drops all requests, and the round that may be in progress. */
    void reset() {
        roundUnderWay = false;
        pending.clear();
    }

    /** Drops all requests; a round in progress continues. */
    void clear() {
        pending.clear();
    }

    /** Adds a request, which replaces an earlier one of the same member. */
    void add(LeaseRequest request) {
        if (pending.size() < MAX_PENDING || pending.containsKey(request.member())) {
            pending.put(request.member(), new PendingRequest(request, round + 1));
        }
    }

    /** Begins the next round if requests wait and no round is in progress; returns whether it did. */
    boolean beginRound() {
        if (roundUnderWay || pending.isEmpty()) {
            return false;
        }
        roundUnderWay = true;
        round++;
        return true;
    }

    /** Number of the latest round that has begun. */
    long round() {
        return round;
    }

    /** Ends the round in progress, and removes and returns the requests that it confirms, in order of arrival. */
    List<LeaseRequest> takeConfirmed() {
        roundUnderWay = false;
        List<LeaseRequest> confirmed = new ArrayList<>();
        for (PendingRequest waiting : List.copyOf(pending.values())) {
            if (waiting.round() <= round) {
                pending.remove(waiting.request().member());
                confirmed.add(waiting.request());
            }
        }
        return confirmed;
    }

    /** Ends the round in progress without confirmation, and drops the requests that waited for it. */
    void dropUnconfirmed() {
        roundUnderWay = false;
        pending.values().removeIf(waiting -> waiting.round() <= round);
    }
}
