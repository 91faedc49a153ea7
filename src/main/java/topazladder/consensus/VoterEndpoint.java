package topazladder.consensus;

import io.microraft.RaftEndpoint;

/**
 * A voter as the group knows it. The birth differs between the folders that a voter of one name had: one that lost
 * its folder has forgotten how it voted, and must never vote as who it was.
 *
 * @param birth 0 for those that the group was founded with
 */
public record VoterEndpoint(String name, long birth) implements RaftEndpoint {
    private static final char BETWEEN = ':';

    @Override
    public Object getId() {
        return toString();
    }

    public static VoterEndpoint of(String id) {
        int at = id.lastIndexOf(BETWEEN);
        if (at < 1) {
            throw new IllegalArgumentException("no voter: " + id);
        }
        return new VoterEndpoint(id.substring(0, at), Long.parseLong(id.substring(at + 1), Character.MAX_RADIX));
    }

    @Override
    public String toString() {
        return name + BETWEEN + Long.toString(birth, Character.MAX_RADIX);
    }
}
