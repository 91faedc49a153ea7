package topazladder.lease;

/**
 * One process that may hold duties.
 *
 * @param name the same through restarts
 * @param life differs between the processes that bear the name
 */
public record MemberIdentity(String name, long life) implements Comparable<MemberIdentity> {

    @Override
    public int compareTo(MemberIdentity other) {
        int byName = name.compareTo(other.name);
        return byName != 0 ? byName : Long.compare(life, other.life);
    }

    @Override
    public String toString() {
        return name + '#' + Long.toString(life, 36);
    }
}
