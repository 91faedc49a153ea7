package topazladder.disruption;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Decides whether an instance that has returned serves like its peers: it is offered at least a quarter of the peers'
 * median offered payoff a second, and its served share is at least nine tenths of their median served share. Where the
 * peers are offered nothing there is nothing to compare, and the instance passes.
 */
final class PeerComparison {
    private static final double MIN_OFFERED_PART = 0.25;
    private static final double MIN_SERVED_SHARE_PART = 0.9;

    private PeerComparison() {}

    /**
     * Compares one report with those of the peers; an instance without a report fails, unless they are offered nothing.
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

    /** The upper median of an even number of values; 0 without values. */
    private static double median(List<LoadReport> reports, ToDoubleFunction<LoadReport> value) {
        double[] sorted = reports.stream().mapToDouble(value).sorted().toArray();
        return sorted.length == 0 ? 0 : sorted[sorted.length / 2];
    }
}
