package topazladder.lease;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;

/**
 * Which member a lease goes to: rendezvous hashing with bounded loads, so that a member that joins or leaves moves only
 * its own part of the leases, and none is overloaded by chance.
 *
 * <p>Of the members that hold fewer than {@code ceil(1.25 * leases / members)}, the one with the highest
 * {@code hash(lease name, member name)}; where all have reached the bound, the one that holds the fewest.
 */
public final class LeasePlacement {
    /** Times an even share that one member may hold. */
    private static final double MAX_SHARE_FACTOR = 1.25;

    private LeasePlacement() {}

    /** The most leases that one member should hold. */
    public static int bound(int leases, int members) {
        return members == 0 ? 0 : (int) Math.ceil(MAX_SHARE_FACTOR * leases / members);
    }

    /**
     * The member that a lease should be granted to.
     *
     * @param members that may be granted it
     * @param heldLeases by member, the leases that it holds; members that hold none may be missing
     * @param bound that a member may reach, by {@link #bound}
     * @return empty where there are no members
     */
    public static Optional<MemberIdentity> choose(String leaseName, Collection<MemberIdentity> members,
            Map<MemberIdentity, Integer> heldLeases, int bound) {
        Optional<MemberIdentity> highestRanked = members.stream()
                .filter(member -> heldLeases.getOrDefault(member, 0) < bound)
                .max(Comparator.comparingLong((MemberIdentity member) -> rank(leaseName, member))
                        .thenComparing(Comparator.naturalOrder()));
        return highestRanked.isPresent() ? highestRanked
                : members.stream()
                        .min(Comparator.comparingInt((MemberIdentity member) -> heldLeases.getOrDefault(member, 0))
                                .thenComparing(Comparator.naturalOrder()));
    }

    /** By the member's name alone: one that was restarted takes the same place. */
    private static long rank(String leaseName, MemberIdentity member) {
        return Hashing.komihash5_0().hashStream().putString(leaseName).putString(member.name()).getAsLong();
    }
}
