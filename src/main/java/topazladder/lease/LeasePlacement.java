package topazladder.lease;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;

/**
 * Which member a duty goes to: by rendezvous hashing, so that a member that comes or goes moves only its own part,
 * with a bound on what one member holds, so that none is crushed by luck.
 */
public final class LeasePlacement {
    /** Beyond an even spread; more moves fewer duties, less spreads them more evenly. */
    private static final double SLACK = 1.25;

    private LeasePlacement() {}

    /** The most that one member should hold, of so many duties and members. */
    public static int bound(int duties, int members) {
        return members == 0 ? 0 : (int) Math.ceil(SLACK * duties / members);
    }

    /** The first by rank of those that have room; the least laden where none has. */
    public static Optional<MemberIdentity> choose(String duty, Collection<MemberIdentity> members,
            Map<MemberIdentity, Integer> held,
            int bound) {
        Optional<MemberIdentity> first = members.stream().filter(m -> held.getOrDefault(m, 0) < bound)
                .max(Comparator.comparingLong((MemberIdentity m) -> rank(duty, m)).thenComparing(m -> m));
        return first.isPresent() ? first
                : members.stream().min(Comparator.comparingInt((MemberIdentity m) -> held.getOrDefault(m, 0))
                        .thenComparing(m -> m));
    }

    /** By the name alone: a member that was started again takes the same place. */
    private static long rank(String duty, MemberIdentity m) {
        return Hashing.komihash5_0().hashStream().putString(duty).putString(m.name()).getAsLong();
    }
}
