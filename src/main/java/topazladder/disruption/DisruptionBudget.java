package topazladder.disruption;

import java.util.Collection;
import java.util.Map;

/**
 * How much of one part of the cluster may be unavailable at once by agreement: at most {@code maxUnavailable} targets,
 * and at most {@code maxCapacityShare} of the part's measured capacity. A target without a measured capacity counts as
 * the mean of the others.
 *
 * @param name for operators
 * @param kind of the targets that it covers
 * @param zone that it covers, or empty for all zones
 * @param maxUnavailable targets at once
 * @param maxCapacityShare part of the capacity, over 0 and at most 1
 */
public record DisruptionBudget(String name, DisruptionTarget.Kind kind, String zone, int maxUnavailable,
        double maxCapacityShare) {
    /** Tolerance, so that a share that is met exactly is not rejected by rounding. */
    private static final double ROUNDING = 1e-9;
    private static final int PERCENT = 100;

    /** Whether the budget limits that target. */
    public boolean covers(DisruptionTarget target) {
        return target.kind() == kind && (zone.isEmpty() || zone.equals(target.zone()));
    }

    /**
     * Why one more target may not become unavailable, or null where it may.
     *
     * @param unavailable targets that use the budget now, of whatever kind
     * @param capacities of all known targets, payoff a second; 0 for unknown
     */
    public String rejection(DisruptionTarget candidate, Collection<DisruptionTarget> unavailable,
            Map<DisruptionTarget, Double> capacities) {
        if (!covers(candidate)) {
            return null;
        }
        long others = unavailable.stream().filter(target -> isOther(target, candidate)).count();
        if (others + 1 > maxUnavailable) {
            return "budget " + name + ": " + others + " of " + maxUnavailable + " are unavailable already";
        }
        double mean = capacities.entrySet().stream()
                .filter(entry -> covers(entry.getKey()) && entry.getValue() > 0)
                .mapToDouble(Map.Entry::getValue).average().orElse(1);
        double total = capacities.entrySet().stream().filter(entry -> covers(entry.getKey()))
                .mapToDouble(entry -> entry.getValue() > 0 ? entry.getValue() : mean).sum();
        double missing = unavailable.stream().filter(target -> isOther(target, candidate))
                .mapToDouble(target -> capacity(capacities, target, mean)).sum()
                + capacity(capacities, candidate, mean);
        if (total > 0 && missing > maxCapacityShare * total + ROUNDING) {
            return "budget " + name + ": with " + candidate + " " + Math.round(PERCENT * missing / total)
                    + "% of the capacity would be unavailable, more than " + Math.round(PERCENT * maxCapacityShare)
                    + "%";
        }
        return null;
    }

    private boolean isOther(DisruptionTarget target, DisruptionTarget candidate) {
        return covers(target) && !target.equals(candidate);
    }

    private static double capacity(Map<DisruptionTarget, Double> capacities, DisruptionTarget target, double mean) {
        double measured = capacities.getOrDefault(target, 0.0);
        return measured > 0 ? measured : mean;
    }
}
