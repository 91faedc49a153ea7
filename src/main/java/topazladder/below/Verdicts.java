package topazladder.below;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazladder.disruption.Disruption;
import topazladder.disruption.Disruption.Phase;
import topazladder.disruption.Disruption.Reason;
import topazladder.disruption.DisruptionBudget;
import topazladder.disruption.DisruptionCommand;
import topazladder.disruption.DisruptionStateMachine;
import topazladder.disruption.DisruptionTarget;

/**
 * What the group's leader makes of how the servers below look to all instances: which one the hall should leave out,
 * which is tried again, which is back; and which instance may leave one out for itself. What it makes of it is
 * proposed, the ledger of outs checks the budgets, and what was heard is lost with the leader: the next one hears it
 * all within one ask of each.
 *
 * <p>A server is ill where most of those that call it find it so. One who finds most servers ill is not believed about
 * any: it is likelier its own link. Where most servers look ill to those that are believed, none is treated as out:
 * it is likelier something that lies between.
 */
public class Verdicts {
    /** Seconds after which what an instance said is not believed any more. */
    static final double STALE = 15;
    /** Watchers that have to agree, where there are as many. */
    private static final int LEAST_WATCHERS = 2;
    /** Seconds for which watchers have to agree: one that is stalled for a moment finds all of them silent. */
    private static final double SURE_AFTER = 0.5;
    /**
     * Seconds for which what looks ill behind a trouble of most may be a rest of that: it is forgotten at one server
     * sooner than at another, by chance.
     */
    static final double AFTER_MOST = 4;
    private static final String BY = "symptoms";

    private static final Logger LOG = LoggerFactory.getLogger(Verdicts.class);

    private record Heard(double at, Map<String, Report> reports) {

        /** Whether it tells something of servers, and not of itself. */
        boolean believed() {
            long tried = reports.values().stream().filter(r -> r.look() != Look.UNTRIED).count();
            long ill = reports.values().stream().filter(r -> r.look() == Look.ILL).count();
            // One that has tried a single server yet, and found it ill, may be one that finds them all so.
            return reports.size() < 2 || 2 * ill <= tried;
        }
    }

    /** What all watchers together find. */
    private record Count(int ill, int well) {

        int tried() {
            return ill + well;
        }
    }

    private final DisruptionStateMachine ledger;
    private final Map<String, Heard> heard = new TreeMap<>(); // by watcher; forgotten once stale
    private final Map<String, Double> illSince = new HashMap<>(); // by server
    private final Map<DisruptionTarget, Double> since = new HashMap<>(); // of each phase, by this leader's clock
    private final Map<DisruptionTarget, Phase> phases = new HashMap<>();
    private final Map<DisruptionTarget, DisruptionCommand> pending = new HashMap<>();
    private final Map<String, Set<String>> avoiding = new HashMap<>(); // by server, the watchers that may
    private boolean leading;
    private double mostUntil = Double.NEGATIVE_INFINITY;
    private long asks;

    public Verdicts(DisruptionStateMachine ledger) {
        this.ledger = ledger;
    }

    public void lead(double now) {
        leading = true;
        heard.clear();
        illSince.clear();
        since.clear();
        phases.clear();
        pending.clear();
        avoiding.clear();
        asks = 0;
        // Nobody knows whether most were ill when the leader before this one ended.
        mostUntil = now + AFTER_MOST / 2;
    }

    public void resign() {
        leading = false;
    }

    /** One instance's reports; it calls no server where there are none. */
    public void says(double now, String watcher, List<Report> reports) {
        if (!leading || reports.isEmpty()) {
            return;
        }
        Map<String, Report> all = new TreeMap<>();
        reports.forEach(r -> all.put(r.server(), r));
        heard.put(watcher, new Heard(now, all));
    }

    /** Whether the instance calls servers below, and so wants to be told of them. */
    public boolean watches(String watcher) {
        return heard.containsKey(watcher);
    }

    /** An operation was applied, or nobody knows whether it was. */
    public void over(DisruptionCommand op) {
        pending.values().removeIf(op::equals);
    }

    /** What time and reports bring, to be proposed. */
    public List<DisruptionCommand> tick(double now) {
        List<DisruptionCommand> ops = new ArrayList<>();
        if (!leading) {
            return ops;
        }
        heard.values().removeIf(h -> now - h.at() > STALE);
        Map<String, Count> counts = counts();
        follow(now, counts);
        know(counts.keySet(), ops);
        Set<String> ill = new HashSet<>();
        counts.forEach((server, c) -> {
            if (ill(c.ill(), c.tried(), heard.size())) {
                ill.add(server);
                illSince.putIfAbsent(server, now);
            } else {
                illSince.remove(server);
            }
        });
        Set<String> lookIll = new HashSet<>(ill);
        // What is out is tried by nobody, and so counts as it was when it went.
        ledger.disruptions().stream()
                .filter(o -> o.target().kind() == DisruptionTarget.Kind.DEPENDENCY && o.reason() == Reason.ILL
                        && (o.phase() == Phase.GRANTED || o.phase() == Phase.GONE))
                .forEach(o -> lookIll.add(
                        o.target()
                                .name()));
        long strange = heard.values().stream().filter(h -> !h.believed()).count();
        boolean most = tooMany(lookIll.size(), counts.size()) || tooMany((int) strange, heard.size());
        if (most) {
            mostUntil = now + AFTER_MOST;
        }
        // Also of one that nobody speaks of, as behind an election: what was asked for by then has no reason any more.
        ledger.disruptions().stream().filter(o -> o.target().kind() == DisruptionTarget.Kind.DEPENDENCY)
                .forEach(o -> counts.putIfAbsent(
                        o.target().name(), new Count(0, 0)));
        counts.forEach((server, c) -> decide(now, server, c, ill.contains(server), most, ops));
        avoid(counts, ill, most);
        return ops;
    }

    private void decide(double now, String server, Count c, boolean ill, boolean most, List<DisruptionCommand> ops) {
        DisruptionTarget s = subject(server);
        Disruption out = ledger.get(s);
        double held = now - since.getOrDefault(s, now);
        if (out == null) {
            if (ill && !most && now >= mostUntil && now - illSince.get(server) >= SURE_AFTER) {
                propose(new DisruptionCommand.Request(s, Reason.ILL, BY + ' ' + server + ' ' + ++asks, BY), s, ops);
            }
            return;
        }
        switch (out.phase()) {
            case ASKED -> {
                // No reason any more, or one too many: whoever waits in vain would go when it is well again.
                if (out.reason() == Reason.ILL && (!ill || most)) {
                    propose(new DisruptionCommand.Withdraw(s, out.requestId()), s, ops);
                }
            }
            case GRANTED, GONE -> {
                if (out.reason() == Reason.ILL && (held >= Waits.seconds(out.incarnation()) || most)) {
                    propose(new DisruptionCommand.Rejoin(s), s, ops);
                }
            }
            case RETURNING -> {
                if (ill && !most && held >= SURE_AFTER) {
                    propose(new DisruptionCommand.Lost(s, out.incarnation()), s, ops);
                } else if (held >= Ramp.whole() && 2 * c.well() >= c.tried()) {
                    propose(new DisruptionCommand.Steady(s), s, ops);
                }
            }
            default -> throw new IllegalStateException("no phase of a server: " + out.phase());
        }
    }

    /** Most of those that call it, and never one alone where there are more who could. */
    protected boolean ill(int ill, int tried, int watchers) {
        return ill > 0 && 2 * ill > tried && ill >= Math.min(LEAST_WATCHERS, watchers);
    }

    /** Past that it is likelier something between. */
    protected boolean tooMany(int ill, int servers) {
        return 2 * ill > servers;
    }

    /** Whether a watcher's word counts at all. */
    protected boolean believed(boolean tellsOfServers) {
        return tellsOfServers;
    }

    private Map<String, Count> counts() {
        Map<String, Count> counts = new TreeMap<>();
        for (Heard h : heard.values()) {
            boolean believed = believed(h.believed());
            h.reports().forEach((server, r) -> {
                int ill = believed && r.look() == Look.ILL ? 1 : 0;
                int well = believed && r.look() == Look.WELL ? 1 : 0;
                counts.merge(server, new Count(ill, well), (a, b) -> new Count(a.ill() + b.ill(), a.well() + b.well()));
            });
        }
        return counts;
    }

    /** Since when each is in its phase, by this leader's clock; after an election that is a little later. */
    private void follow(double now, Map<String, Count> counts) {
        Set<DisruptionTarget> there = new HashSet<>();
        for (Disruption o : ledger.disruptions()) {
            if (o.target().kind() == DisruptionTarget.Kind.DEPENDENCY) {
                there.add(o.target());
                if (phases.put(o.target(), o.phase()) != o.phase()) {
                    since.put(o.target(), now);
                    Count c = counts.getOrDefault(o.target().name(), new Count(0, 0));
                    LOG.info("{} is {} for {}: found ill by {} and well by {} of {}", o.target(), o.phase(), o.reason(),
                            c.ill(), c.well(), heard.size());
                }
            }
        }
        phases.keySet().stream().filter(s -> !there.contains(s)).forEach(s -> LOG.info("{} is in use again", s));
        phases.keySet().retainAll(there);
        since.keySet().retainAll(there);
    }

    /** A share of what there is has to know what there is. */
    private void know(Set<String> servers, List<DisruptionCommand> ops) {
        for (String server : servers) {
            DisruptionTarget s = subject(server);
            if (!ledger.capacities().containsKey(s)) {
                propose(new DisruptionCommand.SetCapacity(s, 0), s, ops);
            }
        }
    }

    /**
     * Who finds one ill that the others find well may leave it out for itself, as long as all that is left out so adds
     * up to less than the budgets have room for: what many leave out one by one is out all the same.
     */
    private void avoid(Map<String, Count> counts, Set<String> ill, boolean most) {
        avoiding.clear();
        if (most) {
            return;
        }
        double room = room();
        double used = 0;
        for (Map.Entry<String, Heard> h : heard.entrySet()) {
            if (!h.getValue().believed()) {
                continue;
            }
            for (Report r : h.getValue().reports().values()) {
                double part = 1.0 / heard.size();
                if (r.look() == Look.ILL && !ill.contains(r.server()) && ledger.get(subject(r.server())) == null
                        && used + part <= room + 1e-9) {
                    used += part;
                    avoiding.computeIfAbsent(r.server(), n -> new TreeSet<>()).add(h.getKey());
                }
            }
        }
    }

    /** Servers that may still be out, by the budgets of all zones. */
    private double room() {
        double room = 0;
        for (DisruptionBudget b : ledger.budgets()) {
            if (b.kind() == DisruptionTarget.Kind.DEPENDENCY && b.zone().isEmpty()) {
                long out = ledger.targetsUsingBudget().stream().filter(b::covers).count();
                room = Math.max(room, b.maxUnavailable() - out);
            }
        }
        return room;
    }

    /** What one instance is told. */
    public List<Word> words(double now, String watcher) {
        List<Word> words = new ArrayList<>();
        for (Disruption o : ledger.disruptions()) {
            if (o.target().kind() == DisruptionTarget.Kind.DEPENDENCY && o.usesBudget()) {
                // Applied since the last look it is new: by the age of the phase before it would be back all at once.
                double age = phases.get(o.target()) == o.phase() ? now - since.get(o.target()) : 0;
                words.add(new Word(o.target().name(), o.phase() == Phase.RETURNING ? Word.Kind.RETURNING
                        : Word.Kind.OUT, o.token(), Math.max(0, age)));
            }
        }
        avoiding.forEach((server, by) -> {
            if (by.contains(watcher)) {
                words.add(new Word(server, Word.Kind.AVOID, 0, 0));
            }
        });
        return words;
    }

    /** For operators: by server, how many find it ill and well. */
    public Map<String, String> looks() {
        Map<String, String> all = new TreeMap<>();
        counts().forEach((server, c) -> all.put(server, c.ill() + " ill, " + c.well() + " well of " + heard.size()
                + (avoiding.containsKey(server) ? ", left out by " + avoiding.get(server) : "")));
        return all;
    }

    private static DisruptionTarget subject(String server) {
        return new DisruptionTarget(DisruptionTarget.Kind.DEPENDENCY, server, "");
    }

    private void propose(DisruptionCommand op, DisruptionTarget s, List<DisruptionCommand> ops) {
        if (pending.putIfAbsent(s, op) == null) {
            ops.add(op);
        }
    }
}
