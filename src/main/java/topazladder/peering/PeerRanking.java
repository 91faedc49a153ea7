package topazladder.peering;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Orders the peers for one asker by weighted rendezvous hashing. Each asker has an order of its own, so that a zone
 * whose instances all restart at once spreads its load over the running peers; a peer that is added or removed changes
 * nothing in the order of the others.
 */
final class PeerRanking {
    /**
     * Weight of a peer in the asker's zone, which is so asked first twice as often: it sees the same dependencies. Not
     * always, as a zone often fails as a whole.
     */
    private static final double SAME_ZONE_WEIGHT = 2;
    private static final Hasher64 HASH = Hashing.komihash5_0();

    private PeerRanking() {}

    static List<PeerCandidate> of(String asker, long incarnation, String zone, Collection<PeerCandidate> peers) {
        return peers.stream().filter(peer -> !peer.name().equals(asker)).distinct()
                .sorted(Comparator.comparingDouble((PeerCandidate peer) -> -score(asker, incarnation, zone, peer))
                        .thenComparing(PeerCandidate::name))
                .toList();
    }

    private static double score(String asker, long incarnation, String zone, PeerCandidate peer) {
        long hash = HASH.hashStream().putString(asker).putLong(incarnation).putString(peer.name())
                .putString(peer.address()).getAsLong();
        // Uniform in the open interval (0, 1): the logarithm of 0 is infinite, and that of 1 would divide by zero.
        double u = ((hash >>> 11) + 0.5) * 0x1.0p-53;
        double weight = !zone.isEmpty() && zone.equals(peer.zone()) ? SAME_ZONE_WEIGHT : 1;
        return -weight / StrictMath.log(u);
    }
}
