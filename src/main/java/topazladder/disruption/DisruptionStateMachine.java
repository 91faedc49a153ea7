package topazladder.disruption;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import topazladder.disruption.Disruption.Phase;
import topazladder.disruption.Disruption.Why;

/**
 * Who is out or about to be, as the hall has agreed: the same operations in the same order give the same ledger at
 * every voter. Invariants: what is granted fits all budgets at the moment of its grant, whoever proposed it; a place
 * that is taken is given back by steadiness, by an operator, or by a withdrawal before it was used, and by nothing
 * else; a token only grows.
 */
public class DisruptionStateMachine {
    private final Map<DisruptionTarget, Disruption> outs = new TreeMap<>(); // no more than there are subjects
    private final Map<DisruptionTarget, Double> capacities = new TreeMap<>();
    private final Map<String, DisruptionBudget> budgets = new LinkedHashMap<>();
    private long tokens;
    private long asked;
    private String halted;

    /** @param why it changed nothing, or null where it did */
    public record Outcome(long token, String why) {

        public boolean done() {
            return why == null;
        }
    }

    public Outcome apply(DisruptionCommand op) {
        if (op instanceof DisruptionCommand.Budgets b) {
            budgets.clear();
            b.budgets().forEach(each -> budgets.put(each.name(), each));
        } else if (op instanceof DisruptionCommand.Known k) {
            capacities.put(k.subject(), k.capacity());
        } else if (op instanceof DisruptionCommand.Forgotten f) {
            if (outs.containsKey(f.subject())) {
                return new Outcome(0, "it takes a place; an operator may give that up");
            }
            capacities.remove(f.subject());
        } else if (op instanceof DisruptionCommand.Ask a) {
            return ask(a);
        } else if (op instanceof DisruptionCommand.Grant g) {
            return grant(g);
        } else if (op instanceof DisruptionCommand.Withdraw w) {
            return withdraw(w);
        } else if (op instanceof DisruptionCommand.Leaves l) {
            return leaves(l);
        } else if (op instanceof DisruptionCommand.Lost l) {
            return lost(l);
        } else if (op instanceof DisruptionCommand.Returns r) {
            return returns(r);
        } else if (op instanceof DisruptionCommand.Steady s) {
            return steady(s.subject());
        } else if (op instanceof DisruptionCommand.Rejoins r) {
            return rejoins(r.subject());
        } else if (op instanceof DisruptionCommand.Keeps k) {
            return keeps(k);
        } else if (op instanceof DisruptionCommand.GivenUp g) {
            return outs.remove(g.subject()) == null ? new Outcome(0, "it takes no place") : new Outcome(tokens, null);
        } else if (op instanceof DisruptionCommand.Halt h) {
            halted = h.why();
        }
        return new Outcome(tokens, null);
    }

    private Outcome ask(DisruptionCommand.Ask a) {
        Disruption before = outs.get(a.subject());
        if (before != null && before.request().equals(a.request())) {
            return new Outcome(before.token(), null); // asked again, as the answer was lost
        }
        if (before != null && before.phase() == Phase.RETURNING && a.why() == Why.RELEASE && halted == null) {
            // It holds its place and goes once more under it: a version that never serves as its peers do would keep
            // its own way back closed.
            outs.put(a.subject(),
                    new Disruption(a.subject(), a.why(), Phase.GRANTED, a.request(), ++tokens, before.life(),
                            before.asked(), a.by()));
            return new Outcome(tokens, null);
        }
        if (before != null && before.takesPlace()) {
            return new Outcome(before.token(), "it is out already: " + words(before));
        }
        if (!a.why().waits()) {
            return new Outcome(0, "nobody asks for that: " + a.why());
        }
        outs.put(a.subject(), new Disruption(a.subject(), a.why(), Phase.ASKED, a.request(), 0, 0,
                before == null ? ++asked : before.asked(), a.by()));
        capacities.putIfAbsent(a.subject(), 0.0);
        return new Outcome(0, null);
    }

    private Outcome grant(DisruptionCommand.Grant g) {
        Disruption out = outs.get(g.subject());
        if (out == null || out.phase() != Phase.ASKED || !out.request().equals(g.request())) {
            return new Outcome(out == null ? 0 : out.token(), "it does not wait for that");
        }
        String why = refuses(g.subject(), List.of());
        if (why != null) {
            return new Outcome(0, why);
        }
        outs.put(g.subject(), out.granted(++tokens, g.life()));
        return new Outcome(tokens, null);
    }

    /** Whether one more may go out, beside what the ledger has and some that it does not know of. */
    protected String refuses(DisruptionTarget one, Collection<DisruptionTarget> besides) {
        if (halted != null) {
            return "halted: " + halted;
        }
        List<DisruptionTarget> out = new ArrayList<>(taken());
        besides.stream().filter(s -> !out.contains(s)).forEach(out::add);
        for (DisruptionBudget b : budgets.values()) {
            String why = b.refuses(one, out, capacities);
            if (why != null) {
                return why;
            }
        }
        // Without a budget that covers it nothing goes: a hall whose settings were not read yet is not one without
        // limits.
        return budgets.values().stream().anyMatch(b -> b.covers(one)) ? null : "no budget covers it";
    }

    private Outcome withdraw(DisruptionCommand.Withdraw w) {
        Disruption out = outs.get(w.subject());
        if (out == null || !out.request().equals(w.request())) {
            return new Outcome(0, "it did not ask for that");
        }
        if (out.phase() != Phase.ASKED && out.phase() != Phase.GRANTED) {
            return new Outcome(out.token(), "it has gone");
        }
        outs.remove(w.subject());
        return new Outcome(out.token(), null);
    }

    /** It comes back little by little, and has its place until then; its life counts how often it has tried. */
    private Outcome rejoins(DisruptionTarget s) {
        Disruption out = outs.get(s);
        if (out == null || s.kind() != DisruptionTarget.Kind.BELOW || !out.takesPlace()
                || out.phase() == Phase.RETURNING) {
            return new Outcome(0, "no service below that is out");
        }
        outs.put(s, out.in(Phase.RETURNING, out.life() + 1));
        return new Outcome(out.token(), null);
    }

    /** It stays out under the place that it has, and comes back by an operator's word alone. */
    private Outcome keeps(DisruptionCommand.Keeps k) {
        Disruption out = outs.get(k.subject());
        if (out == null || k.subject().kind() != DisruptionTarget.Kind.BELOW || !out.takesPlace()) {
            return new Outcome(0, "no service below that is out");
        }
        outs.put(k.subject(),
                new Disruption(k.subject(), Why.OPERATOR, Phase.GRANTED, k.request(), ++tokens, out.life(),
                        out.asked(), k.by()));
        return new Outcome(tokens, null);
    }

    /**
     * By permission only under the token that holds; told by somebody else it is written down whatever the budgets
     * say.
     */
    protected Outcome leaves(DisruptionCommand.Leaves l) {
        Disruption out = outs.get(l.subject());
        if (l.token() > 0) {
            boolean may = out != null && out.token() == l.token() && out.life() == l.life()
                    && (out.phase() == Phase.GRANTED || out.phase() == Phase.GONE);
            if (!may) {
                return new Outcome(out == null ? 0 : out.token(), "it has no permission under " + l.token());
            }
            outs.put(l.subject(), out.in(Phase.GONE, l.life()));
            return new Outcome(l.token(), null);
        }
        if (out != null && out.takesPlace()) {
            outs.put(l.subject(), out.in(Phase.GONE, l.life()));
            return new Outcome(out.token(), null);
        }
        outs.put(l.subject(),
                new Disruption(l.subject(), Why.LEAVING, Phase.GONE, out == null ? "" : out.request(), ++tokens,
                        l.life(), out == null ? ++asked : out.asked(), l.by()));
        return new Outcome(tokens, null);
    }

    /** One that may go keeps its permission: it may only be cut off, and still know of it. */
    private Outcome lost(DisruptionCommand.Lost l) {
        Disruption out = outs.get(l.subject());
        if (out != null && out.takesPlace() && out.phase() != Phase.RETURNING) {
            return new Outcome(out.token(), "it takes its place already: " + words(out));
        }
        if (out != null && out.phase() == Phase.RETURNING) {
            outs.put(l.subject(), out.in(Phase.GONE, l.life()));
            return new Outcome(out.token(), null);
        }
        outs.put(l.subject(),
                new Disruption(l.subject(), Why.LOST, Phase.GONE, out == null ? "" : out.request(), ++tokens,
                        l.life(), out == null ? ++asked : out.asked(), ""));
        return new Outcome(tokens, null);
    }

    /** Another life of it was heard; or the same, where it was only lost from sight. */
    private Outcome returns(DisruptionCommand.Returns r) {
        Disruption out = outs.get(r.subject());
        if (out == null || out.phase() != Phase.GONE && out.phase() != Phase.GRANTED) {
            return new Outcome(out == null ? 0 : out.token(), "it is not out");
        }
        if (out.life() == r.life() && out.why() != Why.LOST) {
            return new Outcome(out.token(), "it is the process that went");
        }
        outs.put(r.subject(), out.in(Phase.RETURNING, r.life()));
        return new Outcome(out.token(), null);
    }

    protected Outcome steady(DisruptionTarget s) {
        Disruption out = outs.get(s);
        if (out == null || out.phase() != Phase.RETURNING) {
            return new Outcome(0, "it is not on its way back");
        }
        outs.remove(s);
        return new Outcome(out.token(), null);
    }

    public Disruption get(DisruptionTarget s) {
        return outs.get(s);
    }

    public Collection<Disruption> all() {
        return Collections.unmodifiableCollection(outs.values());
    }

    /** Those that take a place. */
    public Set<DisruptionTarget> taken() {
        return outs.values().stream().filter(Disruption::takesPlace).map(Disruption::subject)
                .collect(Collectors.toSet());
    }

    /** Those that wait, in the order in which they asked. */
    public List<Disruption> waiting() {
        return outs.values().stream().filter(o -> !o.takesPlace()).sorted(Comparator.comparingLong(Disruption::asked))
                .toList();
    }

    public Map<DisruptionTarget, Double> capacities() {
        return Collections.unmodifiableMap(capacities);
    }

    public Collection<DisruptionBudget> budgets() {
        return Collections.unmodifiableCollection(budgets.values());
    }

    public String halted() {
        return halted;
    }

    static String words(Disruption o) {
        return o.phase().name().toLowerCase(java.util.Locale.ROOT) + " for " + o.why().name().toLowerCase(
                java.util.Locale.ROOT);
    }

    /** All of it, to begin another ledger with. */
    public record Copy(List<Disruption> outs, Map<DisruptionTarget, Double> capacities, List<DisruptionBudget> budgets,
            long tokens, long asked,
            String halted) {
    }

    public Copy copy() {
        return new Copy(List.copyOf(outs.values()), Map.copyOf(capacities), List.copyOf(budgets.values()), tokens,
                asked,
                halted);
    }

    public void replace(Copy c) {
        outs.clear();
        c.outs().forEach(o -> outs.put(o.subject(), o));
        capacities.clear();
        capacities.putAll(c.capacities());
        budgets.clear();
        c.budgets().forEach(b -> budgets.put(b.name(), b));
        tokens = c.tokens();
        asked = c.asked();
        halted = c.halted();
    }
}
