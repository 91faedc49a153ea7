package topazladder.consensus;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Decides, at the leader, which voter is added or removed next. Invariant: after each change a majority of the voters
 * was heard lately, so that the group stays available (Raft dissertation, section 4.2). Whoever the settings name and
 * has lost its folder comes back under another birth.
 */
public final class VoterSet {
    /** For as long a request to join holds without being repeated. */
    private static final double JOIN_REQUEST_SECONDS = 5;

    /** One step from a configuration of voters to the next. */
    public record Change(VoterEndpoint endpoint, Kind kind) {

        /** What becomes of the endpoint. */
        public enum Kind { ADD, REMOVE }
    }

    private record JoinRequest(VoterEndpoint endpoint, double atSeconds) {
    }

    private final Map<String, JoinRequest> joinRequests = new TreeMap<>(); // by name: no more than are wanted

    /** An endpoint that does not vote asks to; only those that the settings name are heard. */
    public void joinRequested(double now, VoterEndpoint endpoint, Collection<String> wanted) {
        if (wanted.contains(endpoint.name())) {
            joinRequests.put(endpoint.name(), new JoinRequest(endpoint, now));
        }
    }

    /**
     * The next change, if any: removals come before additions, so that a reborn voter never votes beside its old self.
     *
     * @param now seconds
     * @param voting who votes now
     * @param wanted names of those who should
     * @param heard voters whose answer to the leader came lately, itself among them
     */
    public Optional<Change> nextChange(double now, Collection<VoterEndpoint> voting, Collection<String> wanted,
            Collection<VoterEndpoint> heard) {
        joinRequests.values().removeIf(request -> now - request.atSeconds() > JOIN_REQUEST_SECONDS);
        int available = (int) voting.stream().filter(heard::contains).count();
        for (VoterEndpoint voter : voting) {
            int remaining = available - (heard.contains(voter) ? 1 : 0);
            boolean keepsMajority = remaining > (voting.size() - 1) / 2;
            if (isSuperfluous(voter, wanted) && voting.size() > 1 && keepsMajority) {
                return Optional.of(new Change(voter, Change.Kind.REMOVE));
            }
        }
        // One that is added has an empty log, so for a while it is a voter that does not count as available.
        boolean bearsOneMore = available > (voting.size() + 1) / 2;
        return joinRequests.values().stream().map(JoinRequest::endpoint)
                .filter(endpoint -> bearsOneMore && !votes(endpoint.name(), voting))
                .findFirst().map(endpoint -> new Change(endpoint, Change.Kind.ADD));
    }

    /** Whether the settings do not name it any more, or another birth of its name asks to vote. */
    private boolean isSuperfluous(VoterEndpoint voter, Collection<String> wanted) {
        JoinRequest request = joinRequests.get(voter.name());
        boolean reborn = request != null && !request.endpoint().equals(voter);
        return !wanted.contains(voter.name()) || reborn;
    }

    private static boolean votes(String name, Collection<VoterEndpoint> voting) {
        return voting.stream().anyMatch(voter -> voter.name().equals(name));
    }
}
