package topazladder.consensus;

import io.microraft.RaftEndpoint;

/**
 * Identity of a voter in the group. A voter that lost its data folder has forgotten its term and vote, and must not
 * vote under its old identity again (Raft dissertation, section 3.8). Each data folder therefore has its own number.
 *
 * @param name name of the member
 * @param folderId random number of the data folder; 0 for the group's initial voters
 */
public record VoterEndpoint(String name, long folderId) implements RaftEndpoint {
    private static final char SEPARATOR = ':';

    @Override
    public Object getId() {
        return toString();
    }

    /**
     * Parses the form that {@link #toString} returns.
     *
     * @throws IllegalArgumentException if the form is not {@code name:number}
     */
    public static VoterEndpoint of(String id) {
        int separatorAt = id.lastIndexOf(SEPARATOR);
        if (separatorAt < 1) {
            throw new IllegalArgumentException(
                    "invalid voter id '" + id + "': should be name:number, with the number in base 36");
        }
        String birth = id.substring(separatorAt + 1);
        return new VoterEndpoint(id.substring(0, separatorAt), Long.parseLong(birth, Character.MAX_RADIX));
    }

    @Override
    public String toString() {
        return name + SEPARATOR + Long.toString(folderId, Character.MAX_RADIX);
    }
}
