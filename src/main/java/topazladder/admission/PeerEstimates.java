package topazladder.admission;

import java.util.ArrayList;
import java.util.List;
import topazladder.request.LearnedEstimate;
import topazladder.request.LearnedEstimate.Kind;

/**
 * Exchanges with peers what holds for other servers too, as far as their machines are alike. The admission level is not
 * exchanged: it is each server's own.
 */
final class PeerEstimates {
    /** What fewer latency objectives have shown is too little to be handed on. */
    private static final double MIN_AGE_IN_OBJECTIVES = 2;

    private final AdmissionContext context;
    private final WorkloadStatistics statistics;
    private final DependencyCallLimit callLimit;

    PeerEstimates(AdmissionContext context, WorkloadStatistics statistics, DependencyCallLimit callLimit) {
        this.context = context;
        this.statistics = statistics;
        this.callLimit = callLimit;
    }

    /** What this server has measured itself; nothing while it is warming up. */
    List<LearnedEstimate> own() {
        List<LearnedEstimate> estimates = new ArrayList<>();
        boolean warmingUp = context.serverSpeed() < 1;
        if (warmingUp || context.now() < MIN_AGE_IN_OBJECTIVES * context.shortestObjectiveSeconds()) {
            return estimates;
        }
        statistics.collectRunTimes(estimates);
        callLimit.collect(estimates);
        statistics.collectCompletionRate(estimates);
        return estimates;
    }

    /** Takes in what peers measured, where nothing was measured here yet; it lifts no bound. */
    void learn(List<LearnedEstimate> estimates) {
        for (LearnedEstimate estimate : estimates) {
            if (estimate.kind() == Kind.CALLS_IN_FLIGHT) {
                callLimit.learn(estimate);
            } else {
                statistics.learn(estimate);
            }
        }
    }
}
