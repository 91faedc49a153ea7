package topazladder.knowledge;

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
import topazladder.knowledge.Fact.Key;
import topazladder.request.LearnedEstimate;
import topazladder.request.LearnedEstimate.Kind;

/**
 * What was learned by whom, as an immutable set of facts: one is read or sent while the next is made of it, and
 * nothing is copied. Merging takes the later fact of each origin, so that neither the order in which shares come nor
 * how often or by how many ways they come makes a difference.
 */
public final class Knowledge {
    /** Origins whose facts are kept: the median of so many is not moved by a few that are wrong. */
    static final int MOST_ORIGINS = 12;
    /** Facts kept of one origin: kinds and request classes, with room to spare. */
    static final int MOST_OF_ONE = 64;
    /** Past this a fact is forgotten. */
    private static final double FORGOTTEN = 0.1;

    public static final Knowledge NONE = new Knowledge(HashTreePMap.empty());

    private final PMap<Key, Fact> facts;

    private Knowledge(PMap<Key, Fact> facts) {
        this.facts = facts;
    }

    public static Knowledge of(Collection<Fact> facts) {
        return NONE.with(facts);
    }

    public Knowledge with(Collection<Fact> more) {
        PMap<Key, Fact> all = facts;
        for (Fact f : more) {
            Fact had = all.get(f.key());
            Fact kept = had == null ? f : had.later(f);
            if (kept != had) {
                all = all.plus(f.key(), kept);
            }
        }
        return all == facts ? this : new Knowledge(all);
    }

    /** Commutative, associative and idempotent; nothing is forgotten by it. */
    public Knowledge merge(Knowledge other) {
        return with(other.facts.values());
    }

    public Collection<Fact> facts() {
        return facts.values();
    }

    public boolean isEmpty() {
        return facts.isEmpty();
    }

    public int size() {
        return facts.size();
    }

    /** Without what is too old to say anything and without the origins past the bound, those that say least first. */
    public Knowledge bounded(double now) {
        Map<String, Double> weights = new HashMap<>();
        Map<String, Integer> counts = new HashMap<>();
        List<Fact> byWeight = new ArrayList<>(facts.values());
        Comparator<Fact> heaviest = Comparator.comparingDouble((Fact f) -> -f.weightAt(now));
        byWeight.sort(heaviest.thenComparing(f -> f.key().toString()));
        PMap<Key, Fact> kept = facts;
        Set<Key> gone = new HashSet<>();
        for (Fact f : byWeight) {
            String origin = origin(f);
            if (f.weightAt(now) < FORGOTTEN || counts.merge(origin, 1, Integer::sum) > MOST_OF_ONE) {
                gone.add(f.key());
            } else {
                weights.merge(origin, f.weightAt(now), Double::sum);
            }
        }
        List<String> origins = new ArrayList<>(weights.keySet());
        origins.sort(Comparator.comparingDouble((String o) -> -weights.get(o)).thenComparing(o -> o));
        Set<String> staying = new HashSet<>(origins.subList(0, Math.min(MOST_ORIGINS, origins.size())));
        facts.values().stream().filter(f -> !staying.contains(origin(f))).forEach(f -> gone.add(f.key()));
        kept = kept.minusAll(gone);
        return gone.isEmpty() ? this : new Knowledge(kept);
    }

    private static String origin(Fact f) {
        return f.origin().name() + '#' + f.origin().incarnation();
    }

    /**
     * What all of it comes to on one machine at one moment, one value a kind and subject: the weighted median, as one
     * origin that was itself in trouble must not pull the others along. What this very process told is left out.
     */
    public List<LearnedEstimate> seenFrom(Origin here, double now) {
        record At(Kind kind, String subject) {
        }

        Map<At, List<Fact>> groups = new TreeMap<>(Comparator.comparing(At::kind).thenComparing(At::subject));
        for (Fact f : facts.values()) {
            if (!f.origin().same(here)) {
                groups.computeIfAbsent(new At(f.kind(), f.subject()), k -> new ArrayList<>()).add(f);
            }
        }
        List<LearnedEstimate> all = new ArrayList<>();
        groups.forEach((at, group) -> {
            Nature nature = Nature.of(at.kind());
            Map<Double, Double> weightByValue = new TreeMap<>();
            double age = Double.POSITIVE_INFINITY;
            for (Fact f : group) {
                OptionalDouble value = nature.carried(f.value(), f.origin(), here);
                double weight = f.weightAt(now) * nature.worth(f.origin(), here);
                if (value.isPresent() && weight > 0) {
                    weightByValue.merge(value.getAsDouble(), weight, Double::sum);
                    age = Math.min(age, Math.max(0, now - f.seenAt()));
                }
            }
            double weight = weightByValue.values().stream().mapToDouble(w -> w).sum();
            if (weight >= nature.least()) {
                all.add(new LearnedEstimate(at.kind(), at.subject(), median(weightByValue, weight),
                        Math.min(nature.most(), weight), age));
            }
        });
        return all;
    }

    private static double median(Map<Double, Double> weightByValue, double all) {
        double sum = 0;
        double last = 0;
        for (Map.Entry<Double, Double> e : weightByValue.entrySet()) {
            sum += e.getValue();
            last = e.getKey();
            if (sum >= all / 2) {
                break;
            }
        }
        return last;
    }

    /** By origin, in an order that depends on nothing but what is in it. */
    public Map<Origin, List<Fact>> byOrigin() {
        Map<Origin, List<Fact>> all = new LinkedHashMap<>();
        facts.values().stream()
                .sorted(Comparator.comparing((Fact f) -> f.key().name()).thenComparing(f -> f.key().incarnation())
                        .thenComparing(Fact::kind).thenComparing(Fact::subject))
                .forEach(f -> all.computeIfAbsent(f.origin(), k -> new ArrayList<>()).add(f));
        return all;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Knowledge k && facts.equals(k.facts);
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
