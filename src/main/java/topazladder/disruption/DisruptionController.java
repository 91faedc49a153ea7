package topazladder.disruption;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import topazladder.disruption.Disruption.Phase;
import topazladder.disruption.Disruption.Why;

/**
 * What the group's leader decides about outs: who is lost, who is back and steady, whose turn it is. What it sees of
 * members is its own and not agreed on; what it makes of it is proposed, and the ledger checks it once more.
 *
 * <p>Whoever is suspected, or not steady, counts as out though the ledger does not say so: the hall has to bear it
 * now. When most of the hall looks lost at once nobody is taken for lost, and nobody may go: it is likelier the one
 * who looks.
 */
public class DisruptionController {
    /** Part of the instances that may look lost before that says more about this leader than about them. */
    private static final double MOST_LOST = 0.5;

    /** How one instance looks from here. */
    public enum Look { STEADY, UNSTEADY, SUSPECTED, GONE }

    /** @param life of the process that looks so */
    public record Seen(Look look, long life) {
    }

    /** What is older says nothing of how it serves. */
    private static final double STALE = 30;
    /** Parts of its peers' middle that one has to be asked for and to honour, to be one of them. */
    private static final double ASKED_PART = 0.25;
    private static final double SHARE_PART = 0.9;
    /** By how much a capacity has to differ before the ledger is told. */
    private static final double CAPACITY_MOVES = 0.2;

    /** Seconds for which an instance's own word that it is steady counts before the others have told it along. */
    private static final double WORD = 3;

    private record Said(double at, long life, int schema, LoadReport serving, boolean steady) {
    }

    private final DisruptionStateMachine ledger;
    private final double lostAfter;
    private final Map<DisruptionTarget, Seen> seen = new HashMap<>(); // as many as there are members
    private final Map<DisruptionTarget, Double> goneSince = new HashMap<>();
    private final Map<DisruptionTarget, DisruptionCommand> pending = new HashMap<>();
    private final Map<DisruptionTarget, String> blocked = new TreeMap<>();
    private final Map<DisruptionTarget, Said> said = new HashMap<>(); // of those that are seen
    private boolean leading;
    private double quietUntil;

    /** @param lostAfter seconds for which one must be unheard before its place is written down as lost */
    public DisruptionController(DisruptionStateMachine ledger, double lostAfter) {
        this.ledger = ledger;
        this.lostAfter = lostAfter;
    }

    /**
     * Its time begins: what it sees of the members is not to be trusted yet, so nothing is granted for so many
     * seconds.
     */
    public void becomeLeader(double now, double quiet) {
        leading = true;
        goneSince.clear();
        pending.clear();
        quietUntil = now + quiet;
    }

    /** Whether the time is over for which a new leader grants nothing, as it may not have heard of every member yet. */
    public boolean isSettled(double now) {
        return leading && now >= quietUntil;
    }

    public void stepDown() {
        leading = false;
    }

    /** How the instances look to this member, from membership and from what they say of themselves. */
    public void membersObserved(double now, Map<DisruptionTarget, Seen> looks) {
        seen.clear();
        seen.putAll(looks);
        said.keySet().retainAll(looks.keySet());
        goneSince.keySet().removeIf(s -> !looks.containsKey(s) || looks.get(s).look() != Look.GONE);
        looks.forEach((s, l) -> {
            if (l.look() == Look.GONE) {
                goneSince.putIfAbsent(s, now);
            }
        });
    }

    /** An operation was applied, or nobody knows whether it was; where it was not it is proposed again. */
    public void commandCompleted(DisruptionCommand op) {
        pending.values().removeIf(op::equals);
    }

    /** What time and sight bring, to be proposed. */
    public List<DisruptionCommand> tick(double now) {
        List<DisruptionCommand> ops = new ArrayList<>();
        if (!leading || now < quietUntil) {
            return ops;
        }
        blocked.clear();
        boolean blind = blind();
        seen.forEach((s, l) -> {
            know(s, ops);
            follow(now, s, asSaid(now, s, l), blind, ops);
        });
        grant(now, blind, ops);
        return ops;
    }

    private void know(DisruptionTarget s, List<DisruptionCommand> ops) {
        Double before = ledger.capacities().get(s);
        double capacity = said.containsKey(s) ? said.get(s).serving().capacity() : 0;
        if (before == null || capacity > 0 && Math.abs(capacity - before) > CAPACITY_MOVES * Math.max(before, 1e-9)) {
            propose(new DisruptionCommand.Known(s, capacity), s, ops);
        }
    }

    /** Whether more look lost than are known to be out by more than half of all. */
    private boolean blind() {
        long lost = seen.entrySet().stream().filter(e -> e.getValue().look() == Look.GONE
                || e.getValue().look() == Look.SUSPECTED).filter(e -> !ledger.taken().contains(e.getKey())).count();
        return lost > MOST_LOST * seen.size();
    }

    private void follow(double now, DisruptionTarget s, Seen l, boolean blind, List<DisruptionCommand> ops) {
        Disruption out = ledger.get(s);
        Phase phase = out == null ? null : out.phase();
        boolean another = out != null && out.life() != l.life();
        if (l.look() == Look.GONE) {
            boolean sure = now - goneSince.getOrDefault(s, now) >= lostAfter && !blind;
            // One on its way back keeps that place: as GONE under the life that it has it would pass for one that has
            // said that it goes and was not told so yet, and be sent out once more.
            if (sure && (out == null || phase == Phase.ASKED)) {
                propose(new DisruptionCommand.Lost(s, l.life()), s, ops);
            }
        } else if (l.look() != Look.SUSPECTED) {
            if ((phase == Phase.GONE || phase == Phase.GRANTED) && (another || out.why() == Why.LOST)) {
                propose(new DisruptionCommand.Returns(s, l.life()), s, ops);
            } else if (phase == Phase.RETURNING && another) {
                propose(new DisruptionCommand.Lost(s, out.life()), s, ops); // and then it returns under its new life
            } else if (phase == Phase.RETURNING && steady(now, s, l)) {
                propose(new DisruptionCommand.Steady(s), s, ops);
            }
        }
    }

    /** Its own word that it is steady comes with its ask, and so sooner than by whoever else has heard of it. */
    private Seen asSaid(double now, DisruptionTarget s, Seen l) {
        Said own = said.get(s);
        return l.look() == Look.UNSTEADY && own != null && own.life() == l.life() && own.steady()
                && now - own.at() < WORD ? new Seen(Look.STEADY, l.life()) : l;
    }

    /** By its own word, and by what it serves beside its peers: one that is back and is passed by is not back yet. */
    protected boolean steady(double now, DisruptionTarget s, Seen l) {
        return l.look() == Look.STEADY && servesAsItsPeers(now, s, l);
    }

    private boolean servesAsItsPeers(double now, DisruptionTarget s, Seen l) {
        List<LoadReport> peers = new ArrayList<>();
        seen.forEach((other, look) -> {
            Said what = said.get(other);
            if (!other.equals(s) && look.look() == Look.STEADY && ledger.get(other) == null && what != null
                    && what.life() == look.life() && now - what.at() < STALE) {
                peers.add(what.serving());
            }
        });
        double asked = middle(peers.stream().mapToDouble(LoadReport::asked).sorted().toArray());
        if (asked <= 0) {
            return true; // nobody is asked for anything: there is nothing to compare
        }
        Said own = said.get(s);
        return own != null && own.life() == l.life() && now - own.at() < STALE
                && own.serving().asked() >= ASKED_PART * asked && own.serving().share() >= SHARE_PART * middle(
                        peers.stream().mapToDouble(LoadReport::share).sorted().toArray());
    }

    private static double middle(double[] sorted) {
        return sorted.length == 0 ? 0 : sorted[sorted.length / 2];
    }

    /** What an instance says of itself. */
    public void loadReported(double now, DisruptionTarget s, long life, int schema, LoadReport serving,
            boolean steady) {
        said.put(s, new Said(now, life, schema, serving, steady));
    }

    /** What it said last in that life, or null. */
    public LoadReport loadReport(DisruptionTarget s, long life) {
        Said what = said.get(s);
        return what != null && what.life() == life ? what.serving() : null;
    }

    /** The schema that it can read; 0 for one that has said nothing. */
    public int schemaOf(String name) {
        Said what = said.get(new DisruptionTarget(DisruptionTarget.Kind.INSTANCE, name, ""));
        return what == null ? 0 : what.schema();
    }

    /** Those that count as out now though the ledger does not say so. */
    protected boolean countsAsOut(Seen l) {
        return l.look() != Look.STEADY;
    }

    private void grant(double now, boolean blind, List<DisruptionCommand> ops) {
        List<DisruptionTarget> besides = new ArrayList<>();
        seen.forEach((s, l) -> {
            if (countsAsOut(asSaid(now, s, l))) {
                besides.add(s);
            }
        });
        boolean first = true;
        for (Disruption o : ledger.waiting()) {
            DisruptionTarget s = o.subject();
            Seen l = seen.get(s);
            String why = blind ? "most of the hall looks lost from the leader"
                    : s.kind() == DisruptionTarget.Kind.INSTANCE && (l == null || l.look() == Look.GONE)
                            ? "it is not heard"
                            : ledger.refuses(s, besides);
            if (why != null) {
                blocked.put(s, why);
                if (first) {
                    // Whoever waits longest has the next place that is free: those behind it go only where there is
                    // one more.
                    besides.add(s);
                    first = false;
                }
            } else if (propose(new DisruptionCommand.Grant(s, o.request(), l == null ? 0 : l.life()), s, ops)) {
                besides.add(s); // until the ledger says so itself
            }
        }
    }

    private boolean propose(DisruptionCommand op, DisruptionTarget s, List<DisruptionCommand> ops) {
        if (pending.putIfAbsent(s, op) == null) {
            ops.add(op);
            return true;
        }
        return false;
    }

    /** Why each that waits does so; for operators. */
    public Map<DisruptionTarget, String> blocked() {
        return Map.copyOf(blocked);
    }
}
