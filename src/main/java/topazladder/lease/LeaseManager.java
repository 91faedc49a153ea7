package topazladder.lease;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import topazladder.lease.LeaseRequest.Stopped;
import topazladder.lease.LeaseResponse.Lease;
import topazladder.lease.LeaseState.Loss;

/**
 * What the group's leader decides about duties: who is granted what, when a lease is surely over, whom it answers. Only
 * the leader's has a say, and only after the first operation of its time is applied. Nothing here is agreed on: what
 * it believes about times is lost with it, and the next one waits out what it can't know.
 *
 * <p>An ask is answered once a majority has confirmed, after it came, that this is still the leader: a leader that was
 * cut off may believe in itself for long, and must not go on renewing what another one has given away.
 */
public class LeaseManager {
    /** Asks that wait for a confirmation; whoever comes beyond asks again by itself. */
    static final int MOST_ASKS = 4096;
    /** Asks a second, over all members, that the leader wants from those that hold nothing. */
    private static final double IDLE_ASKS = 200;
    /** Seconds between two asks of whoever is on its way back. */
    private static final double HURRIED = 0.5;
    /** Leases for which a holder has to hold before it counts as not brought down by the duty. */
    private static final double SETTLES_AFTER = 5;
    /** Idle asks that may be missed before a member is no candidate any more. */
    private static final double MISSED = 3;
    /** One in so many duties may be on its way elsewhere, to even the load. */
    private static final int MOVED = 20;

    /** What is to be done outside. */
    public sealed interface Step {

        record Propose(LeaseCommand op) implements Step {
        }

        /** Ask a majority whether this is still the leader; then {@link #confirmed}. */
        record Confirm(long round) implements Step {
        }

        record Reply(MemberIdentity to, LeaseResponse answer) implements Step {
        }

        /** Something was granted: the member should ask at once. */
        record Nudge(MemberIdentity to) implements Step {
        }
    }

    /** One life of a member, as this leader has heard of it. */
    private static final class Heard {
        private final MemberIdentity member;
        private double at;
        private boolean steady;
        private double unsteadySince = Double.NaN;

        Heard(MemberIdentity member) {
            this.member = member;
        }
    }

    private record Waiting(LeaseRequest ask, long round) {
    }

    private final LeaseStateMachine ledger;
    private boolean leading;
    private long round;
    private boolean confirming;
    private final Map<String, Double> until = new HashMap<>(); // by duty, no more than there are
    private final Map<String, Double> since = new HashMap<>(); // likewise
    private final Map<String, LeaseCommand> pending = new HashMap<>(); // by duty, the operation under way
    private final Set<String> moving = new HashSet<>(); // duties that go elsewhere to even the load
    private final Map<String, Heard> heard = new TreeMap<>(); // by name; forgotten after some idle asks
    private final Map<MemberIdentity, Waiting> waiting = new LinkedHashMap<>();
    private Set<String> hurried = Set.of();
    private double grantFrom;
    private double formedUntil = Double.NEGATIVE_INFINITY;
    private double lastMove;

    public LeaseManager(LeaseStateMachine ledger) {
        this.ledger = ledger;
    }

    public boolean isLeader() {
        return leading;
    }

    /**
     * The first operation of this leader's time is applied: all that leaders before it decided is known. What holders
     * were told is not, so each lease counts from now.
     */
    public void becomeLeader(double now) {
        leading = true;
        confirming = false;
        pending.clear();
        waiting.clear();
        until.clear();
        since.clear();
        heard.clear();
        moving.clear();
        lastMove = now;
        // Whoever asks first would get all of it: the others have their time to be heard.
        grantFrom = now + askAgainIn();
        for (LeaseState s : ledger.all()) {
            if (s.held()) {
                until.put(s.terms().name(), firstUntil(now, s.terms()));
                since.put(s.terms().name(), now);
            }
        }
    }

    /** When what another leader has granted is over. */
    protected double firstUntil(double now, LeaseSettings terms) {
        return now + surelyOver(terms);
    }

    /** Seconds by this clock after which a lease that was granted now is over by any clock. */
    protected double surelyOver(LeaseSettings terms) {
        return LeaseSettings.surelyOver(terms.lease());
    }

    public void stepDown() {
        leading = false;
        waiting.clear();
    }

    /** One member's ask. It is answered after a confirmation that begins after it came. */
    public List<Step> handleRequest(double now, LeaseRequest ask) {
        if (!leading) {
            return List.of();
        }
        List<Step> steps = new ArrayList<>();
        Heard before = heard.get(ask.from().name());
        if (before == null || !before.member.equals(ask.from())) {
            if (before != null && before.member.life() > ask.from().life()) {
                return List.of(); // a process that should have ended; lives grow
            }
            heard.put(ask.from().name(), before = new Heard(ask.from()));
            steps.addAll(crashed(ask.from()));
        }
        before.at = now;
        before.unsteadySince = ask.steady() ? Double.NaN : before.steady || Double.isNaN(before.unsteadySince)
                ? now : before.unsteadySince;
        before.steady = ask.steady();
        for (Stopped s : ask.stopped()) {
            LeaseState state = ledger.get(s.duty());
            if (state != null && state.held() && state.token() == s.token() && state.holder().equals(ask.from())) {
                propose(s.duty(), s.failed() == null ? new LeaseCommand.Release(s.duty(), s.token())
                        : new LeaseCommand.Failed(s.duty(), s.token(), s.failed()), steps);
            }
        }
        if (waiting.size() < MOST_ASKS || waiting.containsKey(ask.from())) {
            waiting.put(ask.from(), new Waiting(ask, round + 1));
        }
        confirm(steps);
        return steps;
    }

    /** Whoever bears the name anew ended the life before it: what that one held and lost counts as brought down. */
    private List<Step> crashed(MemberIdentity now) {
        List<Step> steps = new ArrayList<>();
        for (LeaseState s : ledger.all()) {
            for (Loss l : s.losses()) {
                if (!l.ended() && l.holder().name().equals(now.name()) && l.holder().life() != now.life()) {
                    steps.add(new Step.Propose(new LeaseCommand.Crashed(s.terms().name(), l.token())));
                }
            }
        }
        return steps;
    }

    private void confirm(List<Step> steps) {
        if (!confirming && !waiting.isEmpty()) {
            confirming = true;
            round++;
            steps.add(new Step.Confirm(round));
        }
    }

    /** A majority has confirmed that this led at some moment after the round began. */
    public List<Step> leadershipConfirmed(double now, long of) {
        List<Step> steps = new ArrayList<>();
        if (!leading || of != round) {
            return steps;
        }
        confirming = false;
        double again = askAgainIn();
        Map<MemberIdentity, List<LeaseState>> held = heldBy();
        for (Waiting w : List.copyOf(waiting.values())) {
            if (w.round() > of) {
                continue;
            }
            waiting.remove(w.ask().from());
            List<Lease> leases = new ArrayList<>();
            for (LeaseState s : held.getOrDefault(w.ask().from(), List.of())) {
                String name = s.terms().name();
                if (pending.containsKey(name) && !renewable(pending.get(name))) {
                    continue; // it may be another's by the time this arrives
                }
                until.merge(name, now + surelyOver(s.terms()), Math::max);
                leases.add(new Lease(name, s.token(), s.terms().lease(), toStop(now, s)));
            }
            steps.add(new Step.Reply(w.ask().from(), new LeaseResponse(w.ask().number(), leases,
                    hurried.contains(w.ask().from().name()) ? Math.min(again, HURRIED) : again)));
        }
        confirm(steps);
        return steps;
    }

    /** No renewal of what is being given away: nothing tells which of the two comes first. */
    protected boolean renewable(LeaseCommand underWay) {
        return underWay instanceof LeaseCommand.Settled;
    }

    /** The majority did not answer: whoever waits asks anew, here or elsewhere. */
    public List<Step> leadershipUnconfirmed(long of) {
        if (of == round) {
            confirming = false;
            waiting.values().removeIf(w -> w.round() <= of);
        }
        List<Step> steps = new ArrayList<>();
        if (leading) {
            confirm(steps);
        }
        return steps;
    }

    /** Those that are on their way back: how they serve should be heard soon, as their places are waited for. */
    public void wakeUp(Set<String> names) {
        hurried = names;
    }

    private double askAgainIn() {
        double shortest = ledger.all().stream().mapToDouble(s -> s.terms().lease()).min().orElse(10);
        return Math.max(shortest / 2, heard.size() / IDLE_ASKS);
    }

    private Map<MemberIdentity, List<LeaseState>> heldBy() {
        Map<MemberIdentity, List<LeaseState>> held = new HashMap<>();
        for (LeaseState s : ledger.all()) {
            if (s.held()) {
                held.computeIfAbsent(s.holder(), m -> new ArrayList<>()).add(s);
            }
        }
        return held;
    }

    /** Whether the holder should give it up though nothing is wrong with its lease. */
    private boolean toStop(double now, LeaseState s) {
        if (s.halted() != null || moving.contains(s.terms().name())) {
            return true;
        }
        Heard holder = heard.get(s.holder().name());
        boolean wantedElsewhere = !s.wanted().isEmpty() && !s.wanted().equals(s.holder().name())
                && candidate(heard.get(s.wanted()));
        // Not at once: one that is unsteady for a moment would hand over and be handed back.
        return wantedElsewhere || holder != null && !holder.steady
                && now - holder.unsteadySince > s.terms().lease() && anotherSteady(s.holder());
    }

    private boolean anotherSteady(MemberIdentity than) {
        return heard.values().stream().anyMatch(h -> !h.member.equals(than) && candidate(h));
    }

    private static boolean candidate(Heard h) {
        return h != null && h.steady;
    }

    /** An operation was applied at this voter, with what became of it. */
    public List<Step> commandApplied(double now, LeaseCommand op, LeaseStateMachine.Outcome outcome) {
        if (!leading) {
            return List.of();
        }
        List<Step> steps = new ArrayList<>();
        if (op instanceof LeaseCommand.Grant g) {
            pending.remove(g.duty());
            if (outcome.done()) {
                LeaseState s = ledger.get(g.duty());
                until.put(g.duty(), now + surelyOver(s.terms()));
                since.put(g.duty(), now);
                steps.add(new Step.Nudge(g.to()));
            }
        } else if (op instanceof LeaseCommand.Release r) {
            ended(r.duty());
        } else if (op instanceof LeaseCommand.Expire e) {
            ended(e.duty());
        } else if (op instanceof LeaseCommand.Failed f) {
            ended(f.duty());
        } else if (op instanceof LeaseCommand.Settled s) {
            pending.remove(s.duty());
        } else if (op instanceof LeaseCommand.Define) {
            pending.clear();
            grantFrom = Math.min(grantFrom, now + askAgainIn()); // by the leases that there are, not by a guess
        } else if (op instanceof LeaseCommand.RaiseTokens && outcome.done()) {
            pending.clear();
            // Holders of the group that was before may go on for as long as their leases.
            double longest = ledger.all().stream().mapToDouble(s -> surelyOver(s.terms())).max().orElse(0);
            formedUntil = now + longest;
        }
        return steps;
    }

    private void ended(String duty) {
        pending.remove(duty);
        moving.remove(duty);
        LeaseState s = ledger.get(duty);
        if (s == null || !s.held()) {
            until.remove(duty);
            since.remove(duty);
        }
    }

    /** An operation did not come through, or nobody knows whether it did; what is applied tells. */
    public void commandFailed(LeaseCommand op) {
        if (op instanceof LeaseCommand.Grant g) {
            pending.remove(g.duty());
        } else if (op instanceof LeaseCommand.Release r) {
            pending.remove(r.duty());
        } else if (op instanceof LeaseCommand.Failed f) {
            pending.remove(f.duty());
        } else if (op instanceof LeaseCommand.Settled s) {
            pending.remove(s.duty());
        }
        // One that expires stays pending: whether it comes through is unknown, so nothing is renewed under it any more.
    }

    /** What time brings: leases that are over, duties that nobody holds. To be called several times in a lease. */
    public List<Step> tick(double now) {
        List<Step> steps = new ArrayList<>();
        if (!leading) {
            return steps;
        }
        double forget = MISSED * askAgainIn();
        heard.values().removeIf(h -> now - h.at > forget);
        Map<MemberIdentity, Integer> load = new HashMap<>();
        ledger.all().stream().filter(LeaseState::held).forEach(s -> load.merge(s.holder(), 1, Integer::sum));
        for (LeaseState s : List.copyOf(ledger.all())) {
            String name = s.terms().name();
            if (s.held()) {
                if (over(now, s)) {
                    // Again where the last try was lost: it names the token, so twice does no harm.
                    LeaseCommand.Expire expire = new LeaseCommand.Expire(name, s.token());
                    pending.put(name, expire);
                    steps.add(new Step.Propose(expire));
                } else if (!s.losses().isEmpty() && !pending.containsKey(name)
                        && now - since.getOrDefault(name, now) > SETTLES_AFTER * s.terms().lease()) {
                    propose(name, new LeaseCommand.Settled(name, s.token()), steps);
                }
            } else if (s.halted() == null && !pending.containsKey(name) && now >= grantFrom && now >= formedUntil) {
                takerOf(s, load).ifPresent(m -> {
                    load.merge(m, 1, Integer::sum);
                    propose(name, new LeaseCommand.Grant(name, m, s.token()), steps);
                });
            }
        }
        even(now, load);
        return steps;
    }

    /**
     * A few at a time go elsewhere from members well past the bound: a hall that joins moves in calm. What an operator
     * put somewhere stays there, however much that member holds: it would be taken from it within moments.
     */
    private void even(double now, Map<MemberIdentity, Integer> load) {
        long steady = heard.values().stream().filter(LeaseManager::candidate).count();
        int bound = LeasePlacement.bound(ledger.all().size(), (int) steady);
        double every = askAgainIn();
        moving.removeIf(name -> ledger.get(name) == null);
        if (steady < 2 || now < grantFrom || now - lastMove < every || moving.size() > ledger.all().size() / MOVED) {
            return;
        }
        lastMove = now;
        int most = bound + Math.max(1, bound / 4);
        int room = (int) heard.values().stream().filter(LeaseManager::candidate)
                .mapToInt(h -> Math.max(0, bound - load.getOrDefault(h.member, 0))).sum();
        for (LeaseState s : ledger.all()) {
            if (room > 0 && s.held() && !s.placed() && load.getOrDefault(s.holder(), 0) > most
                    && moving.size() <= ledger.all().size() / MOVED && moving.add(s.terms().name())) {
                load.merge(s.holder(), -1, Integer::sum);
                room--;
            }
        }
    }

    /** Whether the holder's time is surely over, by this clock. */
    protected boolean over(double now, LeaseState s) {
        return now >= until.computeIfAbsent(s.terms().name(), n -> now + surelyOver(s.terms()));
    }

    private Optional<MemberIdentity> takerOf(LeaseState s, Map<MemberIdentity, Integer> load) {
        Heard wanted = heard.get(s.wanted());
        if (candidate(wanted)) {
            return Optional.of(wanted.member);
        }
        Collection<MemberIdentity> steady = heard.values().stream().filter(LeaseManager::candidate).map(h -> h.member)
                .sorted(Comparator.naturalOrder()).toList();
        // Whoever lost it last is asked again only where nobody else is there: it may be the one that is in trouble.
        MemberIdentity last = s.losses().isEmpty() ? null : s.losses().get(s.losses().size() - 1).holder();
        List<MemberIdentity> others =
                steady.stream().filter(m -> last == null || !m.name().equals(last.name())).toList();
        return LeasePlacement.choose(s.terms().name(), others.isEmpty() ? steady : others, load,
                LeasePlacement.bound(ledger.all().size(), steady.size()));
    }

    private void propose(String duty, LeaseCommand op, List<Step> steps) {
        if (pending.putIfAbsent(duty, op) == null) {
            steps.add(new Step.Propose(op));
        }
    }

    /** For operators: who was heard of, and whether it is steady. */
    public Map<MemberIdentity, Boolean> knownMembers() {
        Map<MemberIdentity, Boolean> all = new TreeMap<>();
        heard.values().forEach(h -> all.put(h.member, h.steady));
        return all;
    }
}
