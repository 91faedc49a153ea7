package topazladder.lease;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses the member for a lease by rendezvous hashing with bounded loads, so that a member that joins or leaves moves
 * only its own share of the leases, and no member is overloaded by chance.
 *
 * <p>Among the members that hold fewer than {@code ceil(1.25 * leases / members)} leases, the one with the highest
 * {@code hash(lease name, member name)} is chosen; if all members have reached the bound, the one with the fewest.
 */
public final class LeasePlacement {
    /** Multiple of the even share that one member may hold. */
    private static final double MAX_SHARE_FACTOR = 1.25;

    private LeasePlacement() {}

    /** The most leases that one member should hold. */
    public static int bound(int leases, int members) {
        return members == 0 ? 0 : (int) Math.ceil(MAX_SHARE_FACTOR * leases / members);
    }

    /**
     * Chooses the member that a lease should be granted to.
     *
     * @param members the eligible members
     * @param heldLeases number of leases held, by member; members without leases may be absent
     * @param bound the most leases that one member should hold, from {@link #bound}
     * @return empty if there are no eligible members
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

    /** Hashes the member's name without its incarnation, so that a restart does not change the ranking. */
    private static long rank(String leaseName, MemberIdentity member) {
        return Hashing.komihash5_0().hashStream().putString(leaseName).putString(member.name()).getAsLong();
    }
}
