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
 * Decides which peers a starting instance asks for their learned estimates, when, and for how long: a bounded number of
 * attempts, one hedged attempt beside a slow one, and backoff with jitter after failures. It does no I/O: it is told
 * what became of each attempt and returns the next steps.
 */
public final class EstimateFetcher {

    /**
     * Limits of all attempts.
     *
     * @param hedgeAfterSeconds without an answer after which a second peer is asked beside the first
     * @param attemptTimeoutSeconds after which an attempt is over, even while its answer arrives
     * @param maxAttempts in all
     */
    public record Limits(double hedgeAfterSeconds, double attemptTimeoutSeconds, int maxAttempts) {
    }

    /** Printed by name: names stay. */
    public enum Phase {
        /** Not started. */
        WAITING_TO_START,
        /** Peers are asked. */
        ASKING,
        /** A share has arrived whole. */
        LEARNED,
        /** All attempts, or all peers, are used up. */
        GIVEN_UP
    }

    /** What the caller has to do next. */
    public sealed interface Step {}

    /** Ask that peer, and report what becomes of the attempt under its number. */
    public record Fetch(int number, PeerCandidate peer) implements Step {
    }

    /** Abandon that attempt: whatever still arrives on it is not wanted. */
    public record Cancel(int number) implements Step {
    }

    /** Call {@link EstimateFetcher#tick} after that time; replaces the last such step. */
    public record ScheduleTick(double seconds) implements Step {
    }

    private static final int MAX_OPEN_ATTEMPTS = 2;
    private static final int MAX_FAILURES_OF_PEER = 2;
    /** The backoff after the first failure is up to twice this, and up to twice as long after each further one. */
    private static final double BASE_BACKOFF_SECONDS = 0.05;
    private static final double MAX_BACKOFF_SECONDS = 2;
    /** A peer that postpones by more than this is not asked again: by then the instance's own estimates are better. */
    private static final double MAX_POSTPONEMENT_SECONDS = 10;
    /** Part of the postponement that is added at random, so that not all come back at once. */
    private static final double POSTPONEMENT_JITTER = 0.1;
    private static final double MIN_WAKE_SECONDS = 0.001;

    private static final class Attempt {
        final PeerCandidate peer;
        final double startedAt;
        boolean isAnswering;

        Attempt(PeerCandidate peer, double startedAt) {
            this.peer = peer;
            this.startedAt = startedAt;
        }
    }

    private final String asker;
    private final long incarnation;
    private final String zone;
    private final Limits bounds;
    private final RandomGenerator random;
    private final Deque<PeerCandidate> queue = new ArrayDeque<>(); // of the current list: not asked yet, or due again
    private final Map<PeerCandidate, Double> retryAt = new LinkedHashMap<>(); // of the current list
    private final Map<Integer, Attempt> open = new LinkedHashMap<>(); // by number; at most MAX_OPEN_ATTEMPTS
    private final Set<PeerCandidate> withoutShare = new HashSet<>(); // of the current list: have none
    private final Map<PeerCandidate, Integer> failures = new HashMap<>(); // of the current list
    private Phase phase = Phase.WAITING_TO_START;
    private int attempts;
    private double backoffUntil;
    private int failureCount;

    /**
     * Creates a state machine that has not started.
     *
     * @param asker name of this instance
     * @param zone of this instance, or empty
     */
    public EstimateFetcher(String asker, long incarnation, String zone, Limits bounds, RandomGenerator random) {
        this.asker = asker;
        this.incarnation = incarnation;
        this.zone = zone;
        this.bounds = bounds;
        this.random = random;
    }

    /** How far it has come. */
    public Phase phase() {
        return phase;
    }

    /** Attempts made so far. */
    public int attempts() {
        return attempts;
    }

    /** Starts to ask these peers. */
    public List<Step> start(double now, Collection<PeerCandidate> peers) {
        queue.addAll(PeerRanking.of(asker, incarnation, zone, peers));
        phase = Phase.ASKING;
        return advance(now, new ArrayList<>());
    }

    /** Replaces the list of peers; open attempts go on, and peers that are no longer listed are not asked again. */
    public List<Step> replacePeers(double now, Collection<PeerCandidate> peers) {
        List<PeerCandidate> ranked = PeerRanking.of(asker, incarnation, zone, peers);
        queue.clear();
        withoutShare.retainAll(ranked);
        failures.keySet().retainAll(ranked);
        retryAt.keySet().retainAll(ranked);
        for (PeerCandidate peer : ranked) {
            boolean isOpen = open.values().stream().anyMatch(attempt -> attempt.peer.equals(peer));
            if (!isOpen && !withoutShare.contains(peer) && !retryAt.containsKey(peer)
                    && !failures.containsKey(peer)) {
                queue.add(peer);
            }
        }
        return advance(now, new ArrayList<>());
    }

    /** A valid part of an answer has arrived: this attempt is no longer hedged. */
    public void partReceived(int number) {
        Attempt attempt = open.get(number);
        if (attempt != null) {
            attempt.isAnswering = true;
        }
    }

    /** A whole share has arrived. */
    public List<Step> shareReceived(double now, int number) {
        List<Step> steps = new ArrayList<>();
        if (open.remove(number) != null) {
            phase = Phase.LEARNED;
            open.keySet().forEach(other -> steps.add(new Cancel(other)));
            open.clear();
        }
        return steps;
    }

    /**
     * The peer has postponed the share.
     *
     * @param seconds until it may be asked again; 0 where it has no share to give
     */
    public List<Step> postponed(double now, int number, double seconds) {
        Attempt attempt = open.remove(number);
        if (attempt != null) {
            if (seconds > 0 && seconds <= MAX_POSTPONEMENT_SECONDS) {
                retryAt.put(attempt.peer, now + seconds * (1 + POSTPONEMENT_JITTER * random.nextDouble()));
            } else {
                withoutShare.add(attempt.peer);
            }
        }
        return advance(now, new ArrayList<>());
    }

    /** The attempt was rejected, cut off, malformed or timed out; parts that arrived before it failed are used. */
    public List<Step> failed(double now, int number) {
        Attempt attempt = open.remove(number);
        if (attempt != null) {
            failureCount++;
            int failuresOfPeer = failures.merge(attempt.peer, 1, Integer::sum);
            double maxBackoff = Math.min(MAX_BACKOFF_SECONDS, BASE_BACKOFF_SECONDS * StrictMath.pow(2, failureCount));
            backoffUntil = now + random.nextDouble() * maxBackoff;
            if (failuresOfPeer < MAX_FAILURES_OF_PEER) {
                retryAt.put(attempt.peer, now + 2 * maxBackoff);
            }
        }
        return advance(now, new ArrayList<>());
    }

    /** Does what is due: attempts that time out, hedges and retries. */
    public List<Step> tick(double now) {
        List<Step> steps = new ArrayList<>();
        for (Map.Entry<Integer, Attempt> entry : List.copyOf(open.entrySet())) {
            if (now - entry.getValue().startedAt >= bounds.attemptTimeoutSeconds()) {
                steps.add(new Cancel(entry.getKey()));
                steps.addAll(failed(now, entry.getKey()));
            }
        }
        return advance(now, steps);
    }

    private List<Step> advance(double now, List<Step> steps) {
        if (phase != Phase.ASKING) {
            return steps;
        }
        for (Map.Entry<PeerCandidate, Double> entry : List.copyOf(retryAt.entrySet())) {
            if (entry.getValue() <= now) {
                retryAt.remove(entry.getKey());
                queue.addFirst(entry.getKey());
            }
        }
        while (attempts < bounds.maxAttempts() && !queue.isEmpty() && mayAsk(now)) {
            PeerCandidate peer = queue.poll();
            open.put(++attempts, new Attempt(peer, now));
            steps.add(new Fetch(attempts, peer));
        }
        boolean mayAskMore = attempts < bounds.maxAttempts() && !(queue.isEmpty() && retryAt.isEmpty());
        if (open.isEmpty() && !mayAskMore) {
            phase = Phase.GIVEN_UP;
        } else {
            steps.removeIf(ScheduleTick.class::isInstance);
            steps.add(new ScheduleTick(Math.max(MIN_WAKE_SECONDS, nextDue(now) - now)));
        }
        return steps;
    }

    private boolean mayAsk(double now) {
        return now >= backoffUntil && (open.isEmpty() || open.size() < MAX_OPEN_ATTEMPTS
                && open.values().stream().allMatch(attempt -> !attempt.isAnswering
                        && now - attempt.startedAt >= bounds.hedgeAfterSeconds()));
    }

    private double nextDue(double now) {
        double due = now + MAX_BACKOFF_SECONDS;
        for (Attempt attempt : open.values()) {
            due = Math.min(due, attempt.startedAt + bounds.attemptTimeoutSeconds());
            if (!attempt.isAnswering && open.size() < MAX_OPEN_ATTEMPTS && !queue.isEmpty()) {
                due = Math.min(due, Math.max(backoffUntil, attempt.startedAt + bounds.hedgeAfterSeconds()));
            }
        }
        for (double retry : retryAt.values()) {
            due = Math.min(due, retry);
        }
        return open.isEmpty() && !queue.isEmpty() ? Math.min(due, backoffUntil) : due;
    }

    /** For operators; logged, so the form stays. */
    @Override
    public String toString() {
        return phase.name().toLowerCase(Locale.ROOT).replace('_', ' ') + " after " + attempts + " tries";
    }
}
