package topazladder.lease;

/**
 * Identifies one process that may hold leases.
 *
 * @param name the member's name, which stays the same across restarts
 * @param incarnation tells the processes with this name apart; each has a higher one than its predecessor
 */
public record MemberIdentity(String name, long incarnation) implements Comparable<MemberIdentity> {
    private static final int PRINTED_RADIX = 36;

    @Override
    public int compareTo(MemberIdentity other) {
        int byName = name.compareTo(other.name);
        return byName != 0 ? byName : Long.compare(incarnation, other.incarnation);
    }

    @Override
    public String toString() {
        return name + '#' + Long.toString(incarnation, PRINTED_RADIX);
    }
}
