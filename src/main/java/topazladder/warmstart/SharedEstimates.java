package topazladder.warmstart;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeMap;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import topazladder.request.LearnedEstimate;
import topazladder.request.LearnedEstimate.Kind;
import topazladder.warmstart.SharedEstimate.Key;

/**
 * An immutable set of the facts of several origins. It is persistent: a new set shares its structure with the one that
 * it is made from, which may be read or sent meanwhile. A merge keeps the later fact of each origin, kind and subject,
 * so that neither the order nor the number of deliveries, nor the peers on the way, make a difference.
 */
public final class SharedEstimates {
    /** Origins whose facts are kept: the median of so many is not moved by a few that are wrong. */
    static final int MAX_ORIGINS = 12;
    /** Facts kept of one origin: kinds and request classes, with room to spare. */
    static final int MAX_FACTS_OF_ORIGIN = 64;
    /** A fact of a smaller weight is dropped. */
    private static final double MIN_WEIGHT = 0.1;

    /** Without facts. */
    public static final SharedEstimates EMPTY = new SharedEstimates(HashTreePMap.empty());

    private final PMap<Key, SharedEstimate> facts;

    private SharedEstimates(PMap<Key, SharedEstimate> facts) {
        this.facts = facts;
    }

    /** The later ones of these facts. */
    public static SharedEstimates of(Collection<SharedEstimate> facts) {
        return EMPTY.with(facts);
    }

    /** Merges in more facts. */
    public SharedEstimates with(Collection<SharedEstimate> more) {
        PMap<Key, SharedEstimate> merged = facts;
        for (SharedEstimate fact : more) {
            SharedEstimate earlier = merged.get(fact.key());
            SharedEstimate kept = earlier == null ? fact : earlier.laterOf(fact);
            if (kept != earlier) {
                merged = merged.plus(fact.key(), kept);
            }
        }
        return merged == facts ? this : new SharedEstimates(merged);
    }

    /** Commutative, associative and idempotent; drops nothing. */
    public SharedEstimates merge(SharedEstimates other) {
        return with(other.facts.values());
    }

    /** All facts, in no order. */
    public Collection<SharedEstimate> facts() {
        return facts.values();
    }

    /** Whether there are no facts. */
    public boolean isEmpty() {
        return facts.isEmpty();
    }

    /** Number of facts. */
    public int size() {
        return facts.size();
    }

    /** Without facts that are too old to say anything, and without the origins of least weight past the limit. */
    public SharedEstimates bounded(double now) {
        Map<String, Double> weights = new HashMap<>();
        Map<String, Integer> counts = new HashMap<>();
        List<SharedEstimate> byWeight = new ArrayList<>(facts.values());
        Comparator<SharedEstimate> heaviest = Comparator.comparingDouble((SharedEstimate fact) -> -fact.weightAt(now));
        byWeight.sort(heaviest.thenComparing(fact -> fact.key().toString()));
        PMap<Key, SharedEstimate> kept = facts;
        Set<Key> dropped = new HashSet<>();
        for (SharedEstimate fact : byWeight) {
            String origin = processOf(fact);
            if (fact.weightAt(now) < MIN_WEIGHT || counts.merge(origin, 1, Integer::sum) > MAX_FACTS_OF_ORIGIN) {
                dropped.add(fact.key());
            } else {
                weights.merge(origin, fact.weightAt(now), Double::sum);
            }
        }
        List<String> origins = new ArrayList<>(weights.keySet());
        origins.sort(Comparator.comparingDouble((String origin) -> -weights.get(origin))
                .thenComparing(origin -> origin));
        Set<String> keptOrigins = new HashSet<>(origins.subList(0, Math.min(MAX_ORIGINS, origins.size())));
        facts.values().stream().filter(fact -> !keptOrigins.contains(processOf(fact)))
                .forEach(fact -> dropped.add(fact.key()));
        kept = kept.minusAll(dropped);
        return dropped.isEmpty() ? this : new SharedEstimates(kept);
    }

    private static String processOf(SharedEstimate fact) {
        return fact.origin().name() + '#' + fact.origin().incarnation();
    }

    /**
     * One estimate for each kind and subject, as they apply to one instance now: the weighted median over the origins,
     * so that an origin that was itself overloaded does not distort it. Facts of that very process are left out.
     */
    public List<LearnedEstimate> estimatesFor(Origin here, double now) {
        record Group(Kind kind, String subject) {
        }

        Map<Group, List<SharedEstimate>> groups =
                new TreeMap<>(Comparator.comparing(Group::kind).thenComparing(Group::subject));
        for (SharedEstimate fact : facts.values()) {
            if (!fact.origin().isSameProcess(here)) {
                groups.computeIfAbsent(new Group(fact.kind(), fact.subject()), key -> new ArrayList<>()).add(fact);
            }
        }
        List<LearnedEstimate> estimates = new ArrayList<>();
        groups.forEach((group, members) -> {
            TransferPolicy policy = TransferPolicy.of(group.kind());
            Map<Double, Double> weightByValue = new TreeMap<>();
            double age = Double.POSITIVE_INFINITY;
            for (SharedEstimate fact : members) {
                OptionalDouble value = policy.scaledValue(fact.value(), fact.origin(), here);
                double weight = fact.weightAt(now) * policy.weightFactor(fact.origin(), here);
                if (value.isPresent() && weight > 0) {
                    weightByValue.merge(value.getAsDouble(), weight, Double::sum);
                    age = Math.min(age, Math.max(0, now - fact.measuredAt()));
                }
            }
            double weight = weightByValue.values().stream().mapToDouble(w -> w).sum();
            if (weight >= policy.minWeight()) {
                estimates.add(new LearnedEstimate(group.kind(), group.subject(), median(weightByValue, weight),
                        Math.min(policy.maxWeight(), weight), age));
            }
        });
        return estimates;
    }

    private static double median(Map<Double, Double> weightByValue, double totalWeight) {
        double sum = 0;
        double last = 0;
        for (Map.Entry<Double, Double> entry : weightByValue.entrySet()) {
            sum += entry.getValue();
            last = entry.getKey();
            if (sum >= totalWeight / 2) {
                break;
            }
        }
        return last;
    }

    /** The facts of each origin, in an order that depends on them alone. */
    public Map<Origin, List<SharedEstimate>> byOrigin() {
        Map<Origin, List<SharedEstimate>> byOrigin = new LinkedHashMap<>();
        facts.values().stream()
                .sorted(Comparator.comparing((SharedEstimate fact) -> fact.key().name())
                        .thenComparing(fact -> fact.key().incarnation())
                        .thenComparing(SharedEstimate::kind).thenComparing(SharedEstimate::subject))
                .forEach(fact -> byOrigin.computeIfAbsent(fact.origin(), origin -> new ArrayList<>()).add(fact));
        return byOrigin;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof SharedEstimates k && facts.equals(k.facts);
    }

    @Override
    public int hashCode() {
        return facts.hashCode();
    }

    @Override
    public String toString() {
        return byOrigin().toString();
    }
}
