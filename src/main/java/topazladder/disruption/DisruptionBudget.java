package topazladder.disruption;

import java.util.Collection;
import java.util.Map;

/**
 * How much may be out at once by agreement, of one part of what there is.
 *
 * @param name for operators
 * @param kind of what it is about
 * @param zone or empty for all zones
 * @param most subjects at once
 * @param share of the measured capacity of that part, over 0 and at most 1
 */
public record DisruptionBudget(String name, DisruptionTarget.Kind kind, String zone, int most, double share) {

    public boolean covers(DisruptionTarget s) {
        return s.kind() == kind && (zone.isEmpty() || zone.equals(s.zone()));
    }

    /**
     * Why one more may not go out, or null where it may.
     *
     * @param out subjects that take a place now, of whatever kind
     * @param capacities of all subjects there are; one that is not measured counts as the mean of the others
     */
    public String refuses(DisruptionTarget one, Collection<DisruptionTarget> out,
            Map<DisruptionTarget, Double> capacities) {
        if (!covers(one)) {
            return null;
        }
        long taken = out.stream().filter(s -> covers(s) && !s.equals(one)).count();
        if (taken + 1 > most) {
            return name + ": " + taken + " of " + most + " are out";
        }
        double mean = capacities.entrySet().stream().filter(e -> covers(e.getKey()) && e.getValue() > 0)
                .mapToDouble(Map.Entry::getValue).average().orElse(1);
        double all = capacities.entrySet().stream().filter(e -> covers(e.getKey()))
                .mapToDouble(e -> e.getValue() > 0 ? e.getValue() : mean).sum();
        double gone = out.stream().filter(s -> covers(s) && !s.equals(one))
                .mapToDouble(s -> of(capacities, s, mean)).sum() + of(capacities, one, mean);
        if (all > 0 && gone > share * all + 1e-9) {
            return name + ": with it " + Math.round(100 * gone / all) + "% of the capacity would be out, of "
                    + Math.round(100 * share) + "%";
        }
        return null;
    }

    private static double of(Map<DisruptionTarget, Double> capacities, DisruptionTarget s, double mean) {
        double c = capacities.getOrDefault(s, 0.0);
        return c > 0 ? c : mean;
    }
}
