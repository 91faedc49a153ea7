package topazladder.membership;

/**
 * One member's status as some member knows it. Of two statuses with the same name, the one that {@link #overrides} the
 * other is kept, so updates may arrive in any order, any number of times and from any member.
 *
 * @param name stays the same through restarts
 * @param address where the member listens
 * @param zone the member's zone; empty for none
 * @param processIncarnation incarnation of the process; a later process with the same name has a higher one
 * @param incarnation SWIM's incarnation number, which only the member itself raises, to refute what others say of it
 *     or to publish a change
 * @param steady whether the member reports that it serves as it should
 * @param suspectedBy name of the member whose own probe failed, if the state is SUSPECTED; otherwise empty
 */
public record MemberStatus(String name, String address, String zone, long processIncarnation, long incarnation,
        State state,
        boolean steady, String suspectedBy) {

    /** Within one incarnation a later constant overrules an earlier one. */
    public enum State {
        ALIVE, SUSPECTED, GONE, LEFT
    }

    /** Compares the process incarnation first, then SWIM's incarnation, then the state. */
    public boolean overrides(MemberStatus other) {
        if (processIncarnation != other.processIncarnation) {
            return processIncarnation > other.processIncarnation;
        } else if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return state.compareTo(other.state) > 0;
    }

    /** Whether the member still belongs to the cluster; a suspected member does. */
    public boolean isPresent() {
        return state == State.ALIVE || state == State.SUSPECTED;
    }

    public MemberStatus withState(State newState) {
        return new MemberStatus(name, address, zone, processIncarnation, incarnation, newState, steady, "");
    }

    public MemberStatus withSuspicionBy(String whom) {
        return new MemberStatus(name, address, zone, processIncarnation, incarnation, State.SUSPECTED, steady, whom);
    }
}
