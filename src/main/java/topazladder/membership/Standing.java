package topazladder.membership;

/**
 * One member's status as some member knows it. Of two statuses with the same name, the one that {@link #overrules} the
 * other is kept, so updates may arrive in any order, any number of times and from any member.
 *
 * @param name stays the same through restarts
 * @param address where the member listens
 * @param hall the member's zone; empty for none
 * @param life incarnation of the process; a later process with the same name has a higher one
 * @param incarnation SWIM's incarnation number, which only the member itself raises, to refute what others say of it
 *     or to publish a change
 * @param steady whether the member reports that it serves as it should
 * @param by name of the member whose own probe failed, if the state is SUSPECTED; otherwise empty
 */
public record Standing(String name, String address, String hall, long life, long incarnation, State state,
        boolean steady, String by) {

    /** Within one incarnation a later constant overrules an earlier one. */
    public enum State {
        ALIVE, SUSPECTED, GONE, LEFT
    }

    /** Compares the process incarnation first, then SWIM's incarnation, then the state. */
    public boolean overrules(Standing other) {
        if (life != other.life) {
            return life > other.life;
        } else if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return state.compareTo(other.state) > 0;
    }

    /** Whether the member still belongs to the cluster; a suspected member does. */
    public boolean there() {
        return state == State.ALIVE || state == State.SUSPECTED;
    }

    public Standing as(State newState) {
        return new Standing(name, address, hall, life, incarnation, newState, steady, "");
    }

    public Standing suspectedBy(String whom) {
        return new Standing(name, address, hall, life, incarnation, State.SUSPECTED, steady, whom);
    }
}
