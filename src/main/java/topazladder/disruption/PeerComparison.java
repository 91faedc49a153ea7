package topazladder.disruption;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Whether an instance that has returned serves as its peers do: it is offered at least a quarter of the median payoff a
 * second that they are offered, and serves at least nine tenths of their median served share. Where they are offered
 * nothing there is nothing to compare, and it counts as one of them.
 */
final class PeerComparison {
    private static final double MIN_OFFERED_PART = 0.25;
    private static final double MIN_SERVED_SHARE_PART = 0.9;

    private PeerComparison() {}

    /**
     * Compares one report with those of the peers.
     *
     * @param own fresh report of the instance, or null where there is none
     * @param peers fresh reports of instances that are steady
     */
    static boolean servesAsItsPeers(LoadReport own, List<LoadReport> peers) {
        double medianOffered = median(peers, LoadReport::offeredPerSecond);
        if (medianOffered <= 0) {
            return true;
        }
        return own != null && own.offeredPerSecond() >= MIN_OFFERED_PART * medianOffered
                && own.servedShare() >= MIN_SERVED_SHARE_PART * median(peers, LoadReport::servedShare);
    }

    /** The upper one of an even number; 0 of none. */
    private static double median(List<LoadReport> reports, ToDoubleFunction<LoadReport> value) {
        double[] sorted = reports.stream().mapToDouble(value).sorted().toArray();
        return sorted.length == 0 ? 0 : sorted[sorted.length / 2];
    }
}
