package topazladder.admission;

import java.util.ArrayList;
import java.util.List;
import topazladder.request.LearnedEstimate;
import topazladder.request.LearnedEstimate.Kind;

/**
 * Exchanges estimates with peers that apply to other servers too, as far as their machines are alike. The admission
 * level is not exchanged, as it depends on the load of each server.
 */
final class PeerEstimates {
    /** Estimates are shared once the server has run for this multiple of the shortest latency objective. */
    private static final double MIN_AGE_IN_OBJECTIVES = 2;

    private final AdmissionContext context;
    private final WorkloadStatistics statistics;
    private final DependencyCallLimit callLimit;

    PeerEstimates(AdmissionContext context, WorkloadStatistics statistics, DependencyCallLimit callLimit) {
        this.context = context;
        this.statistics = statistics;
        this.callLimit = callLimit;
    }

    /** The estimates measured by this server itself; empty while it warms up. */
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

    /** Uses peers' estimates as starting values for missing measurements; they do not raise any limit. */
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
