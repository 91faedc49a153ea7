package topazladder.lease;

/**
 * One process that may hold leases.
 *
 * @param name the same through restarts
 * @param incarnation differs between the processes that bear the name, and grows from one to the next
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
