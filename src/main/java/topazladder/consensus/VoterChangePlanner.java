package topazladder.consensus;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Decides, at the leader, which voter is added or removed next. Invariant: after each change the leader has recently
 * heard from a majority of the voters, so that the group stays available (Raft dissertation, section 4.2). A voter that
 * lost its data folder rejoins under a new identity, which replaces the old one.
 */
public final class VoterChangePlanner {
    /** Seconds after which a join request that is not repeated expires. */
    private static final double JOIN_REQUEST_SECONDS = 5;

    /** The addition or removal of one voter. */
    public record Change(VoterEndpoint endpoint, Kind kind) {

        /** Whether the endpoint becomes a voter or ceases to be one. */
        public enum Kind { ADD, REMOVE }
    }

    private record JoinRequest(VoterEndpoint endpoint, double atSeconds) {
    }

    private final Map<String, JoinRequest> joinRequests = new TreeMap<>(); // by name, so bounded by the wanted voters

    /** Records the request of an endpoint to be added; ignored unless the settings name its member. */
    public void joinRequested(double now, VoterEndpoint endpoint, Collection<String> wanted) {
        if (wanted.contains(endpoint.name())) {
            joinRequests.put(endpoint.name(), new JoinRequest(endpoint, now));
        }
    }

    /**
     * The next change, if any. Removals come before additions, so that the old and the new identity of a member never
     * vote together.
     *
     * @param now time in seconds
     * @param voting current voters
     * @param wanted names of the members that should vote
     * @param heard voters that answered the leader recently, and the leader itself
     */
    public Optional<Change> nextChange(double now, Collection<VoterEndpoint> voting, Collection<String> wanted,
            Collection<VoterEndpoint> heard) {
        joinRequests.values().removeIf(request -> now - request.atSeconds() > JOIN_REQUEST_SECONDS);
        int available = (int) voting.stream().filter(heard::contains).count();
        for (VoterEndpoint voter : voting) {
            int remaining = available - (heard.contains(voter) ? 1 : 0);
            boolean keepsMajority = remaining > (voting.size() - 1) / 2;
            if (isObsolete(voter, wanted) && voting.size() > 1 && keepsMajority) {
                return Optional.of(new Change(voter, Change.Kind.REMOVE));
            }
        }
        // A new voter has an empty log, so it counts as a voter but not as available until it has caught up.
        boolean toleratesOneMore = available > (voting.size() + 1) / 2;
        return joinRequests.values().stream().map(JoinRequest::endpoint)
                .filter(endpoint -> toleratesOneMore && !votes(endpoint.name(), voting))
                .findFirst().map(endpoint -> new Change(endpoint, Change.Kind.ADD));
    }

    /** Whether the settings no longer name the voter, or its member asks to vote under another identity. */
    private boolean isObsolete(VoterEndpoint voter, Collection<String> wanted) {
        JoinRequest request = joinRequests.get(voter.name());
        boolean replaced = request != null && !request.endpoint().equals(voter);
        return !wanted.contains(voter.name()) || replaced;
    }

    private static boolean votes(String name, Collection<VoterEndpoint> voting) {
        return voting.stream().anyMatch(voter -> voter.name().equals(name));
    }
}
