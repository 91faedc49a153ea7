package topazladder.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import topazladder.lease.LeaseRequest.Held;
import topazladder.lease.LeaseRequest.Stopped;
import topazladder.lease.LeaseResponse.Lease;

/**
 * A member's side of duties: asks the group, counts its leases from before each ask, starts and stops what it holds. It
 * goes by one clock that never runs backwards and that counts while the process is stalled; whoever has an effect to
 * make asks {@link #token} just before it and hands the token to whatever is touched.
 */
public class LeaseHolder {
    /** Parts of a lease after which it is renewed. */
    private static final double RENEW_AFTER = 0.25;
    /** Parts of a lease after which an ask without an answer is asked again, of another voter. */
    private static final double PATIENCE = 0.125;
    /** Part of a lease before its end at which the duty is told to stop, so that it has come to an end by then. */
    private static final double STOP_BEFORE = 0.15;
    /** Asks whose time is remembered; answers to older ones are of no use. */
    private static final int MOST_OUT = 16;
    private static final double FIRST_IDLE = 1;

    /** What is to be done outside. */
    public sealed interface Step {

        record Send(LeaseRequest ask, boolean another) implements Step {
        }

        record Start(String duty, long token) implements Step {
        }

        /** Stop, and say so by {@link LeaseHolder#stopped}; after so many seconds its effects are no longer allowed. */
        record Stop(String duty, long token, double by, String why) implements Step {
        }
    }

    public enum Phase { HOLDING, STOPPING, STOPPED }

    private static final class Post {
        private final long token;
        private final double lease;
        private double until;
        private Phase phase = Phase.HOLDING;
        private String failed;

        Post(long token, double lease, double until) {
            this.token = token;
            this.lease = lease;
            this.until = until;
        }
    }

    private final MemberIdentity here;
    private final Map<String, Post> posts = new TreeMap<>(); // no more than the group grants
    private final Map<String, Long> ended = new HashMap<>(); // by duty, the last token that is over here
    private final Map<String, Double> stoppedAt = new HashMap<>(); // by duty, when its end was first to be said
    private final LinkedHashMap<Long, Double> out = new LinkedHashMap<>();
    private long number;
    private boolean steady;
    private boolean leaving;
    private double lastAsk = Double.NEGATIVE_INFINITY;
    private double lastAnswer = Double.NEGATIVE_INFINITY;
    private double idle = FIRST_IDLE;
    private boolean soon = true;

    public LeaseHolder(MemberIdentity here) {
        this.here = here;
    }

    /** Whether this may be granted anything from now on; what it holds it keeps until the group takes it over. */
    public List<Step> setSteady(double now, boolean is) {
        if (steady != is) {
            steady = is;
            soon = true;
        }
        return tick(now);
    }

    /** The process will end: all is stopped in order, and nothing is taken any more. */
    public List<Step> shutDown(double now) {
        leaving = true;
        List<Step> steps = new ArrayList<>();
        posts.forEach((duty, p) -> stop(now, duty, p, "the instance leaves", steps));
        soon = true;
        steps.addAll(tick(now));
        return steps;
    }

    /** Whether nothing is left that the group should be told before the process ends. */
    public boolean isIdle() {
        return posts.isEmpty();
    }

    /** The token under which an effect may be made now; empty where none may. To be asked before each effect. */
    public OptionalLong token(double now, String duty) {
        Post p = posts.get(duty);
        return p != null && p.phase != Phase.STOPPED && now < p.until ? OptionalLong.of(p.token) : OptionalLong.empty();
    }

    /** Seconds for which the duty may go on as things stand; 0 where it may not. */
    public double remainingSeconds(double now, String duty) {
        Post p = posts.get(duty);
        return p == null || p.phase == Phase.STOPPED ? 0 : Math.max(0, p.until - now);
    }

    /** The answer to one ask; late ones count from their own ask, unknown ones not at all. */
    public List<Step> handleResponse(double now, LeaseResponse a) {
        List<Step> steps = new ArrayList<>();
        Double asked = out.remove(a.number());
        if (asked == null) {
            return steps;
        }
        lastAnswer = Math.max(lastAnswer, asked);
        idle = a.askAgainIn();
        for (Lease l : a.leases()) {
            lease(now, from(asked, now), l, steps);
        }
        // If the group says nothing of a stopped one, it knows.
        posts.entrySet().removeIf(e -> {
            boolean known = a.leases().stream().anyMatch(l -> l.duty().equals(e.getKey())
                    && l.token() == e.getValue().token);
            return !known && e.getValue().phase == Phase.STOPPED && asked >= stoppedAt.getOrDefault(e.getKey(), now);
        });
        steps.addAll(tick(now));
        return steps;
    }

    /** From when a lease counts. From the answer, it would go on longer here than the group believes. */
    protected double from(double asked, double now) {
        return asked;
    }

    private void lease(double now, double from, Lease l, List<Step> steps) {
        Post p = posts.get(l.duty());
        double until = from + l.lease();
        if (p != null && p.token == l.token()) {
            if (p.phase == Phase.HOLDING) {
                p.until = Math.max(p.until, until);
                if (l.stop()) {
                    stop(now, l.duty(), p, "the group wants it elsewhere", steps);
                }
            }
            return;
        }
        if (p != null && p.token > l.token()) {
            return; // an answer that was overtaken
        }
        if (l.token() <= ended.getOrDefault(l.duty(), 0L)) {
            // The group was not told, or the leader that was is none any more: said again, or it would renew it for
            // ever.
            over(now, l.duty(), posts.computeIfAbsent(l.duty(), d -> new Post(l.token(), l.lease(), until)), null);
            return;
        }
        if (p != null && p.phase != Phase.STOPPED) {
            // Granted anew before the old one has come to its end here: it would run beside itself.
            stop(now, l.duty(), p, "it was granted anew", steps);
            return;
        }
        Post fresh = new Post(l.token(), l.lease(), until);
        posts.put(l.duty(), fresh);
        if (now >= until || leaving || l.stop()) {
            over(now, l.duty(), fresh, null);
        } else {
            steps.add(new Step.Start(l.duty(), l.token()));
        }
    }

    /** The duty has come to its end: no effect under that token is made any more. */
    public List<Step> taskStopped(double now, String duty, long token, String failed) {
        Post p = posts.get(duty);
        if (p != null && p.token == token && p.phase != Phase.STOPPED) {
            over(now, duty, p, failed);
        }
        return tick(now);
    }

    private void over(double now, String duty, Post p, String failed) {
        p.phase = Phase.STOPPED;
        p.failed = failed;
        ended.merge(duty, p.token, Math::max);
        stoppedAt.put(duty, now);
        soon = true;
    }

    private void stop(double now, String duty, Post p, String why, List<Step> steps) {
        if (p.phase == Phase.HOLDING) {
            p.phase = Phase.STOPPING;
            steps.add(new Step.Stop(duty, p.token, Math.max(0, p.until - now), why));
        }
    }

    /** What time brings. To be called at least as often as {@link #next} says. */
    public List<Step> tick(double now) {
        List<Step> steps = new ArrayList<>();
        posts.forEach((duty, p) -> {
            if (p.phase == Phase.HOLDING && p.until - now < STOP_BEFORE * p.lease) {
                stop(now, duty, p, "its lease was not renewed", steps);
            }
            if (p.phase == Phase.STOPPING && now >= p.until) {
                // Past its time nothing is allowed any more, whether the duty has said so or not.
                over(now, duty, p, null);
            }
        });
        boolean unanswered = lastAnswer < lastAsk;
        boolean urgent = !posts.isEmpty() || soon;
        if (soon && lastAsk < now || now - lastAsk >= (unanswered ? patience(urgent) : interval())) {
            send(now, unanswered && !soon, steps);
        }
        return steps;
    }

    /** Something was granted here: ask at once. */
    public List<Step> wakeUp(double now) {
        soon = true;
        return tick(now);
    }

    private double shortest() {
        return posts.values().stream().mapToDouble(p -> p.lease).min().orElse(Double.MAX_VALUE);
    }

    private double interval() {
        return Math.min(idle, shortest() * RENEW_AFTER);
    }

    private double patience(boolean urgent) {
        return Math.min(urgent ? Math.min(idle, FIRST_IDLE) : idle, shortest() * PATIENCE);
    }

    /** Seconds until {@link #tick} is due. */
    public double nextDeadline(double now) {
        double due = lastAsk + (lastAnswer < lastAsk ? patience(!posts.isEmpty() || soon) : interval());
        for (Post p : posts.values()) {
            if (p.phase == Phase.HOLDING) {
                due = Math.min(due, p.until - STOP_BEFORE * p.lease);
            } else if (p.phase == Phase.STOPPING) {
                due = Math.min(due, p.until);
            }
        }
        return Math.max(0.001, due - now);
    }

    private void send(double now, boolean another, List<Step> steps) {
        soon = false;
        lastAsk = now;
        number++;
        out.put(number, now);
        if (out.size() > MOST_OUT) {
            out.remove(out.keySet().iterator().next());
        }
        List<Held> held = new ArrayList<>();
        List<Stopped> over = new ArrayList<>();
        posts.forEach((duty, p) -> {
            if (p.phase == Phase.STOPPED) {
                over.add(new Stopped(duty, p.token, p.failed));
            } else {
                held.add(new Held(duty, p.token));
            }
        });
        steps.add(new Step.Send(new LeaseRequest(here, number, steady && !leaving, held, over), another));
    }

    public MemberIdentity here() {
        return here;
    }

    /** In words: how many asks were sent, and how many of the latest wait for their answers. */
    public String asks() {
        return number + " asks, " + out.size() + " open";
    }

    /** For operators: each duty with its token, seconds left and phase. */
    public Map<String, String> told(double now) {
        Map<String, String> all = new TreeMap<>();
        posts.forEach((duty, p) -> all.put(duty, p.phase + " token=" + p.token + " left="
                + Math.round(Math.max(0, p.until - now) * 1000) / 1e3));
        return all;
    }
}
