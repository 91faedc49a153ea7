package topazladder.cluster;

import java.util.List;

/** Chooses the voter that a member sends its requests to: the known leader, else each voter in turn. */
final class LeaderLocator {
    private List<String> voters;
    private int nextVoter;
    private String leader; // null where none is known

    /** @param firstVoter index to begin at, so that not all members begin at the same voter */
    LeaderLocator(List<String> voters, int firstVoter) {
        this.voters = List.copyOf(voters);
        nextVoter = Math.floorMod(firstVoter, Math.max(1, voters.size()));
    }

    void replaceVoters(List<String> newVoters) {
        voters = List.copyOf(newVoters);
        nextVoter = voters.isEmpty() ? 0 : nextVoter % voters.size();
    }

    /** The voter to send to, or null where the settings name none. */
    String target() {
        return leader != null ? leader : voters.isEmpty() ? null : voters.get(nextVoter);
    }

    /** The last request got no response: forgets the leader and moves on to the next voter. */
    void tryNextVoter() {
        // Also where the request went to a hinted leader: the voter that gave the hint would only repeat it.
        nextVoter = (nextVoter + 1) % voters.size();
        leader = null;
    }

    /**
     * Records who leads, as told by another member. Returns whether the hint is new, so that it is worth polling at
     * once.
     *
     * @param sender that gave the hint
     * @param hintedLeader its name, or empty where the sender knows none
     */
    boolean leaderHinted(String sender, String hintedLeader) {
        // The hint may name a voter that this member's settings do not name yet: voters change while members run.
        if (hintedLeader.isEmpty() || hintedLeader.equals(sender) || hintedLeader.equals(leader)) {
            return false;
        }
        leader = hintedLeader;
        return true;
    }

    String leader() {
        return leader;
    }

    /** A leader's own message: whoever sent it leads. */
    void leaderConfirmed(String name) {
        leader = name;
    }
}
