package topazladder.consensus;

import io.microraft.RaftEndpoint;

/**
 * A voter as the group knows it. The birth differs between the folders that a voter of one name had: one that lost its
 * folder has forgotten its term and vote, and must never vote as who it was (Raft dissertation, section 3.8).
 *
 * @param name of the member
 * @param birth 0 for those that the group was founded with
 */
public record VoterEndpoint(String name, long birth) implements RaftEndpoint {
    private static final char SEPARATOR = ':';

    @Override
    public Object getId() {
        return toString();
    }

    /**
     * Reads what {@link #toString} wrote.
     *
     * @throws IllegalArgumentException where it is not of the form {@code name:birth}
     */
    public static VoterEndpoint of(String id) {
        int separatorAt = id.lastIndexOf(SEPARATOR);
        if (separatorAt < 1) {
            throw new IllegalArgumentException("not a voter as name:birth: " + id);
        }
        String birth = id.substring(separatorAt + 1);
        return new VoterEndpoint(id.substring(0, separatorAt), Long.parseLong(birth, Character.MAX_RADIX));
    }

    @Override
    public String toString() {
        return name + SEPARATOR + Long.toString(birth, Character.MAX_RADIX);
    }
}
