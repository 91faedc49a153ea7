package topazladder.lease;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import topazladder.lease.LeaseState.Loss;

/**
 * The duties as the group has agreed: the same operations in the same order give the same ledger at every voter.
 * Invariants: a duty's token never falls; a token is granted once; while a duty is held it is granted to nobody else.
 */
public class LeaseStateMachine {
    private final Map<String, LeaseState> duties = new TreeMap<>();
    private long floor;

    /**
     * What became of an operation.
     *
     * @param token that now holds for the duty
     * @param why it changed nothing, or null where it did
     */
    public record Outcome(long token, String why) {

        public boolean done() {
            return why == null;
        }
    }

    public Outcome apply(LeaseCommand op) {
        if (op instanceof LeaseCommand.Define d) {
            return define(d.duties());
        } else if (op instanceof LeaseCommand.RaiseTokens r) {
            if (r.to() <= floor) {
                return new Outcome(floor, "tokens are above that");
            }
            floor = r.to();
            duties.replaceAll((name, s) -> LeaseState.fresh(s.terms(), Math.max(s.token(), floor)));
            return new Outcome(floor, null);
        } else if (op instanceof LeaseCommand.Lead) {
            return new Outcome(floor, null);
        }
        String name = duty(op);
        LeaseState s = duties.get(name);
        if (s == null) {
            return new Outcome(0, "there is no duty " + name);
        }
        String why = refused(s, op);
        if (why != null) {
            return new Outcome(s.token(), why);
        }
        LeaseState next = changed(s, op);
        duties.put(name, next);
        return new Outcome(next.token(), null);
    }

    private Outcome define(Collection<LeaseSettings> terms) {
        Set<String> named = new TreeSet<>();
        for (LeaseSettings t : terms) {
            named.add(t.name());
            LeaseState s = duties.get(t.name());
            duties.put(t.name(), s == null ? LeaseState.fresh(t, floor) : s.with(t));
        }
        // Its token goes with it: should it come back, it must go on above all that were ever granted.
        for (LeaseState s : List.copyOf(duties.values())) {
            if (!named.contains(s.terms().name()) && !s.held()) {
                floor = Math.max(floor, s.token());
                duties.remove(s.terms().name());
            }
        }
        return new Outcome(floor, null);
    }

    /** Why an operation changes nothing here, or null. */
    protected String refused(LeaseState s, LeaseCommand op) {
        if (op instanceof LeaseCommand.Grant g) {
            if (s.held()) {
                return "it is held by " + s.holder();
            } else if (s.halted() != null) {
                return "it is halted: " + s.halted();
            }
            return s.token() == g.seen() ? null : "it was granted since";
        } else if (op instanceof LeaseCommand.Release r) {
            return current(s, r.token());
        } else if (op instanceof LeaseCommand.Expire e) {
            return current(s, e.token());
        } else if (op instanceof LeaseCommand.Settled t) {
            return current(s, t.token());
        } else if (op instanceof LeaseCommand.Failed f) {
            return current(s, f.token());
        } else if (op instanceof LeaseCommand.Crashed c) {
            return s.losses().stream().anyMatch(l -> l.token() == c.token() && !l.ended()) ? null : "no such loss";
        }
        return null;
    }

    private static String current(LeaseState s, long token) {
        return s.held() && s.token() == token ? null : "the token is not the one that holds";
    }

    private LeaseState changed(LeaseState s, LeaseCommand op) {
        if (op instanceof LeaseCommand.Grant g) {
            return s.granted(g.to(), next(s));
        } else if (op instanceof LeaseCommand.Release) {
            return s.free();
        } else if (op instanceof LeaseCommand.Expire e) {
            return s.free().lost(new Loss(e.token(), s.holder(), false));
        } else if (op instanceof LeaseCommand.Failed f) {
            return s.free().lost(new Loss(f.token(), s.holder(), true));
        } else if (op instanceof LeaseCommand.Crashed c) {
            Loss lost = s.losses().stream().filter(l -> l.token() == c.token()).findFirst().orElseThrow();
            return s.lost(new Loss(c.token(), lost.holder(), true));
        } else if (op instanceof LeaseCommand.Settled) {
            return s.settled();
        } else if (op instanceof LeaseCommand.Halt h) {
            return s.halted(h.why());
        } else if (op instanceof LeaseCommand.Resume) {
            return s.resumed();
        } else if (op instanceof LeaseCommand.HandOver h) {
            return s.wanted(h.member());
        }
        throw new IllegalArgumentException("no operation on a duty: " + op);
    }

    protected long next(LeaseState s) {
        return Math.max(s.token(), floor) + 1;
    }

    private static String duty(LeaseCommand op) {
        if (op instanceof LeaseCommand.Grant g) {
            return g.duty();
        } else if (op instanceof LeaseCommand.Release r) {
            return r.duty();
        } else if (op instanceof LeaseCommand.Expire e) {
            return e.duty();
        } else if (op instanceof LeaseCommand.Settled s) {
            return s.duty();
        } else if (op instanceof LeaseCommand.Crashed c) {
            return c.duty();
        } else if (op instanceof LeaseCommand.Failed f) {
            return f.duty();
        } else if (op instanceof LeaseCommand.Halt h) {
            return h.duty();
        } else if (op instanceof LeaseCommand.Resume r) {
            return r.duty();
        } else if (op instanceof LeaseCommand.HandOver h) {
            return h.duty();
        }
        throw new IllegalArgumentException("no operation on a duty: " + op);
    }

    public LeaseState get(String duty) {
        return duties.get(duty);
    }

    public Collection<LeaseState> all() {
        return Collections.unmodifiableCollection(duties.values());
    }

    /** All of it, to begin another ledger with. */
    public record Copy(long floor, List<LeaseState> duties) {
    }

    public Copy copy() {
        return new Copy(floor, List.copyOf(duties.values()));
    }

    public void replace(Copy other) {
        floor = other.floor();
        duties.clear();
        duties.putAll(other.duties().stream().collect(Collectors.toMap(s -> s.terms().name(), s -> s)));
    }
}
