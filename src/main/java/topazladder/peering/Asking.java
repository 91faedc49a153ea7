package topazladder.peering;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Whom a returning instance asks, when, and for how long: bounded tries, a second peer beside a slow first, waits with
 * jitter. It does no I/O: it is told what became of each try, and says what to do next.
 */
public final class Asking {

    /**
     * @param hedgeAfter seconds without a word after which a second peer is asked beside the first
     * @param tryFor seconds after which a try is over, whatever comes on it
     * @param tries in all
     */
    public record Bounds(double hedgeAfter, double tryFor, int tries) {
    }

    public enum Phase { WAITING_TO_START, ASKING, LEARNED, GIVEN_UP }

    /** What is to be done next. */
    public sealed interface Step {}

    /** Ask this one; what becomes of it is told under the number. */
    public record Ask(int number, Candidate peer) implements Step {
    }

    /** Nothing that comes on this try is wanted any more. */
    public record Drop(int number) implements Step {
    }

    /** Call {@link Asking#tick} in so many seconds; only the last such wish counts. */
    public record Wake(double seconds) implements Step {
    }

    private static final int MOST_AT_ONCE = 2;
    /** The first wait after a failure; each later one up to twice as long. */
    private static final double FIRST_WAIT = 0.05;
    private static final double LONGEST_WAIT = 2;
    /** A peer that asks for longer than this is as good as gone: by then the own knowledge is better. */
    private static final double LONGEST_COME_BACK = 10;

    private static final class Try {
        final Candidate peer;
        final double since;
        boolean heard;

        Try(Candidate peer, double since) {
            this.peer = peer;
            this.since = since;
        }
    }

    private final String asker;
    private final long incarnation;
    private final String hall;
    private final Bounds bounds;
    private final RandomGenerator chance;
    private final Deque<Candidate> next = new ArrayDeque<>(); // emptied by tries; filled by a new list
    private final Map<Candidate, Double> comeBack = new LinkedHashMap<>(); // emptied as the times come
    private final Map<Integer, Try> open = new LinkedHashMap<>(); // at most two
    private final Set<Candidate> useless = new HashSet<>(); // of the present list: answered that it has nothing
    private final Map<Candidate, Integer> failures = new HashMap<>(); // of the present list
    private Phase phase = Phase.WAITING_TO_START;
    private int number;
    private double notBefore; // waits after failures
    private int failedInARow;

    public Asking(String asker, long incarnation, String hall, Bounds bounds, RandomGenerator chance) {
        this.asker = asker;
        this.incarnation = incarnation;
        this.hall = hall;
        this.bounds = bounds;
        this.chance = chance;
    }

    public Phase phase() {
        return phase;
    }

    public int triesMade() {
        return number;
    }

    public List<Step> start(double now, Collection<Candidate> peers) {
        next.addAll(Ranking.of(asker, incarnation, hall, peers));
        phase = Phase.ASKING;
        return go(now, new ArrayList<>());
    }

    /** The list is another now: what is under way goes on, who is no longer on it is not asked any more. */
    public List<Step> replace(double now, Collection<Candidate> peers) {
        List<Candidate> ranked = Ranking.of(asker, incarnation, hall, peers);
        next.clear();
        useless.retainAll(ranked);
        failures.keySet().retainAll(ranked);
        comeBack.keySet().retainAll(ranked);
        for (Candidate c : ranked) {
            boolean underWay = open.values().stream().anyMatch(t -> t.peer.equals(c));
            if (!underWay && !useless.contains(c) && !comeBack.containsKey(c) && !failures.containsKey(c)) {
                next.add(c);
            }
        }
        return go(now, new ArrayList<>());
    }

    /** Something sound came: no second peer is asked because of this one. */
    public void heard(int number) {
        Try t = open.get(number);
        if (t != null) {
            t.heard = true;
        }
    }

    /** The share is whole. */
    public List<Step> learned(double now, int number) {
        List<Step> steps = new ArrayList<>();
        if (open.remove(number) != null) {
            phase = Phase.LEARNED;
            open.keySet().forEach(n -> steps.add(new Drop(n)));
            open.clear();
        }
        return steps;
    }

    /** @param seconds until it may be asked again; 0 for not at all in this start */
    public List<Step> later(double now, int number, double seconds) {
        Try t = open.remove(number);
        if (t != null) {
            if (seconds > 0 && seconds <= LONGEST_COME_BACK) {
                // A little later than told, and not all at once.
                comeBack.put(t.peer, now + seconds * (1 + 0.1 * chance.nextDouble()));
            } else {
                useless.add(t.peer);
            }
        }
        return go(now, new ArrayList<>());
    }

    /** Refused, cut off, unreadable or out of time; what had come of it by then is used all the same. */
    public List<Step> failed(double now, int number) {
        Try t = open.remove(number);
        if (t != null) {
            failedInARow++;
            int times = failures.merge(t.peer, 1, Integer::sum);
            double most = Math.min(LONGEST_WAIT, FIRST_WAIT * Math.pow(2, failedInARow));
            notBefore = now + chance.nextDouble() * most;
            if (times < 2) {
                comeBack.put(t.peer, now + 2 * most);
            }
        }
        return go(now, new ArrayList<>());
    }

    public List<Step> tick(double now) {
        List<Step> steps = new ArrayList<>();
        for (Map.Entry<Integer, Try> e : List.copyOf(open.entrySet())) {
            if (now - e.getValue().since >= bounds.tryFor()) {
                steps.add(new Drop(e.getKey()));
                steps.addAll(failed(now, e.getKey()));
            }
        }
        return go(now, steps);
    }

    private List<Step> go(double now, List<Step> steps) {
        if (phase != Phase.ASKING) {
            return steps;
        }
        for (Map.Entry<Candidate, Double> e : List.copyOf(comeBack.entrySet())) {
            if (e.getValue() <= now) {
                comeBack.remove(e.getKey());
                next.addFirst(e.getKey());
            }
        }
        while (number < bounds.tries() && !next.isEmpty() && mayAsk(now)) {
            Candidate peer = next.poll();
            open.put(++number, new Try(peer, now));
            steps.add(new Ask(number, peer));
        }
        boolean more = number < bounds.tries() && !(next.isEmpty() && comeBack.isEmpty());
        if (open.isEmpty() && !more) {
            phase = Phase.GIVEN_UP;
        } else {
            steps.removeIf(Wake.class::isInstance);
            steps.add(new Wake(Math.max(0.001, nextMoment(now) - now)));
        }
        return steps;
    }

    private boolean mayAsk(double now) {
        return now >= notBefore && (open.isEmpty() || open.size() < MOST_AT_ONCE && open.values().stream()
                .allMatch(t -> !t.heard && now - t.since >= bounds.hedgeAfter()));
    }

    private double nextMoment(double now) {
        double at = now + LONGEST_WAIT;
        for (Try t : open.values()) {
            at = Math.min(at, t.since + bounds.tryFor());
            if (!t.heard && open.size() < MOST_AT_ONCE && !next.isEmpty()) {
                at = Math.min(at, Math.max(notBefore, t.since + bounds.hedgeAfter()));
            }
        }
        for (double back : comeBack.values()) {
            at = Math.min(at, back);
        }
        return open.isEmpty() && !next.isEmpty() ? Math.min(at, notBefore) : at;
    }

    @Override
    public String toString() {
        return phase.name().toLowerCase(Locale.ROOT).replace('_', ' ') + " after " + number + " tries";
    }
}
