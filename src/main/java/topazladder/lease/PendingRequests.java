package topazladder.lease;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Members' requests that wait until a majority has confirmed that this voter still leads.
 *
 * <p>Confirmations come in rounds, one at a time. A request is answered by a round that began after the request came,
 * so a round that is under way does not count for it. All requests that came before a round share its one confirmation.
 */
final class PendingRequests {
    /** Requests that wait at most; a member that comes beyond is not answered, and polls again by itself. */
    private static final int MAX_PENDING = 4096;

    /** @param round the first that confirms it */
    private record PendingRequest(LeaseRequest request, long round) {
    }

    private final Map<MemberIdentity, PendingRequest> pending = new LinkedHashMap<>();
    private long round;
    private boolean roundUnderWay;

    /** Forgets all requests, and the round that may be under way. */
    void reset() {
        roundUnderWay = false;
        pending.clear();
    }

    /** Forgets all requests; a round that is under way goes on. */
    void clear() {
        pending.clear();
    }

    /** Adds a request in place of an earlier one of the same member. */
    void add(LeaseRequest request) {
        if (pending.size() < MAX_PENDING || pending.containsKey(request.member())) {
            pending.put(request.member(), new PendingRequest(request, round + 1));
        }
    }

    /** Begins the next round where requests wait and none is under way. */
    boolean beginRound() {
        if (roundUnderWay || pending.isEmpty()) {
            return false;
        }
        roundUnderWay = true;
        round++;
        return true;
    }

    /** The latest round that was begun. */
    long round() {
        return round;
    }

    /** Ends the round that is under way, and takes out what it confirms, in the order in which it came. */
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

    /** Ends the round that is under way without an answer to those that waited for it. */
    void dropUnconfirmed() {
        roundUnderWay = false;
        pending.values().removeIf(waiting -> waiting.round() <= round);
    }
}
