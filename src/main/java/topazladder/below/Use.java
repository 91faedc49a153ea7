package topazladder.below;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * One instance's use of the servers of one service below: which one a call goes to, how each looks by its calls, and
 * which are left out. What the hall has agreed on counts before what this instance finds. By itself it leaves a server
 * out only where the leader lets it, or within a small share while no leader speaks to it; and where most look ill it
 * leaves none out, as it is likelier its own way to them.
 *
 * <p>No I/O; all calls come on one thread.
 */
public class Use {
    /** Seconds without the leader's word after which this instance can't ask. */
    static final double ALONE_AFTER = 12;
    /** Of the calls, those that may be made a second time elsewhere because the first surely did not run. */
    private static final double REPEATS = 0.1;
    private static final double MOST_REPEATS = 10;

    /** Where a server stands for this instance. */
    public enum State { IN_USE, OUT, RETURNING, OWN_OUT, OWN_RETURNING }

    /**
     * @param servers by name, in an order that stays
     * @param alone share of the servers that one instance may leave out by itself
     */
    public record Terms(List<String> servers, double alone) {

        /** Servers that one may leave out by itself: none of two, as the other would have to bear it all. */
        int most() {
            return servers.size() < 3 ? 0 : Math.max(1, (int) (alone * servers.size()));
        }
    }

    private static final class Server {
        private final String name;
        private final Symptoms symptoms = new Symptoms();
        private State state = State.IN_USE;
        private double since;
        private long token;
        private int tries; // by itself, that came to nothing
        private int inFlight;

        Server(String name) {
            this.name = name;
        }
    }

    private final Terms terms;
    private final RandomGenerator chance;
    private final List<Server> servers = new ArrayList<>();
    private final Map<String, Server> byName = new HashMap<>();
    private Set<String> avoidable = Set.of();
    private double toldAt = Double.NEGATIVE_INFINITY;
    private double bornAt = Double.NaN;
    private long term;
    private double mostUntil = Double.NEGATIVE_INFINITY;
    private double repeats = MOST_REPEATS;
    private Map<String, Look> said = Map.of();

    public Use(Terms terms, RandomGenerator chance) {
        this.terms = terms;
        this.chance = chance;
        for (String name : terms.servers()) {
            Server s = new Server(name);
            servers.add(s);
            byName.put(name, s);
        }
    }

    // ---- calls

    /**
     * The server that a call goes to: of two drawn by their parts the one with less in hand for its part.
     *
     * @param not one that the call has been to, or -1
     * @return its place among the servers, or -1 where none is left
     */
    public int pick(double now, int not) {
        turn(now);
        double[] parts = new double[servers.size()];
        double sum = 0;
        for (int i = 0; i < parts.length; i++) {
            parts[i] = i == not ? 0 : part(now, servers.get(i));
            sum += parts[i];
        }
        if (sum <= 0) {
            return -1;
        }
        int one = drawn(parts, sum);
        int other = drawn(parts, sum);
        Server a = servers.get(one);
        Server b = servers.get(other);
        int best = a.inFlight / parts[one] <= b.inFlight / parts[other] ? one : other;
        servers.get(best).inFlight++;
        return best;
    }

    private int drawn(double[] parts, double sum) {
        double x = chance.nextDouble() * sum;
        int last = -1;
        for (int i = 0; i < parts.length; i++) {
            if (parts[i] > 0) {
                last = i;
                x -= parts[i];
                if (x < 0) {
                    break;
                }
            }
        }
        return last;
    }

    /** What became of a call that went there. */
    public void ended(double now, int server, How how) {
        Server s = servers.get(server);
        s.inFlight = Math.max(0, s.inFlight - 1);
        s.symptoms.add(now, how);
        repeats = Math.min(MOST_REPEATS, repeats + REPEATS);
        turn(now);
    }

    /** The call was given up before it told anything of the server. */
    public void dropped(int server) {
        servers.get(server).inFlight = Math.max(0, servers.get(server).inFlight - 1);
    }

    /** Whether a call that surely did not run may go to another server; a few of many may, or a storm would feed. */
    public boolean mayRepeat() {
        if (repeats < 1) {
            return false;
        }
        repeats--;
        return true;
    }

    /** Of its usual part, what a server is given now. */
    private double part(double now, Server s) {
        return switch (s.state) {
            case IN_USE -> 1;
            case OUT, OWN_OUT -> 0;
            case RETURNING, OWN_RETURNING -> ramp(now - s.since);
        };
    }

    protected double ramp(double seconds) {
        return Ramp.part(seconds);
    }

    // ---- what is left out

    /** The leader's word about all servers; one of an earlier term says nothing against a later one's. */
    public void told(double now, long of, List<Word> words) {
        if (of < term) {
            return;
        }
        term = of;
        toldAt = now;
        Map<String, Word> agreed = new HashMap<>();
        words.stream().filter(w -> w.kind() != Word.Kind.AVOID).forEach(w -> agreed.put(w.server(), w));
        avoidable = words.stream().filter(w -> w.kind() == Word.Kind.AVOID).map(Word::server)
                .collect(Collectors.toSet());
        for (Server s : servers) {
            Word w = agreed.get(s.name);
            if (w == null) {
                if (s.state == State.OUT || s.state == State.RETURNING) {
                    into(s, State.IN_USE, now);
                }
            } else if (w.kind() == Word.Kind.OUT) {
                if (s.state != State.OUT) {
                    into(s, State.OUT, now - w.age());
                }
            } else if (s.state != State.RETURNING || s.token != w.token() || now - w.age() > s.since + 1) {
                s.symptoms.forget();
                into(s, State.RETURNING, now - w.age());
            }
            s.token = w == null ? 0 : w.token();
        }
        turn(now);
    }

    /** What time and its own calls bring. */
    private void turn(double now) {
        boolean mostIll = mostIll(now);
        if (mostIll) {
            mostUntil = now + Verdicts.AFTER_MOST;
        }
        boolean mayBeARest = now < mostUntil;
        for (Server s : servers) {
            Look look = s.symptoms.look(now);
            boolean may = mayLeaveOut(avoidable.contains(s.name), alone(now), servers.stream().filter(o -> o != s
                    && o.state != State.IN_USE).count());
            if (s.state == State.IN_USE && look == Look.ILL && !mayBeARest && may) {
                into(s, State.OWN_OUT, now);
            } else if (s.state == State.OWN_OUT && (now - s.since >= Waits.seconds(s.tries) || mostIll || !may)) {
                // Its time is over; or a leader speaks again, and what was left out alone is the hall's to decide.
                s.symptoms.forget();
                into(s, State.OWN_RETURNING, now);
            } else if (s.state == State.OWN_RETURNING && look == Look.ILL && !mostIll && may) {
                s.tries++;
                into(s, State.OWN_OUT, now);
            } else if (s.state == State.OWN_RETURNING && now - s.since >= Ramp.whole()) {
                s.tries = 0;
                into(s, State.IN_USE, now);
            }
        }
    }

    /** Where the leader lets it; or by itself where none speaks to it, within its own share. */
    protected boolean mayLeaveOut(boolean allowed, boolean alone, long leftOut) {
        return allowed || alone && leftOut < terms.most();
    }

    /** Whether no leader has spoken for so long that it can't be asked. */
    public boolean alone(double now) {
        bornAt = Double.isNaN(bornAt) ? now : bornAt; // one that has just started has not been told yet
        return now - Math.max(bornAt, toldAt) > ALONE_AFTER;
    }

    private boolean mostIll(double now) {
        long ill = servers.stream().filter(s -> s.state == State.OWN_OUT || s.state == State.OUT
                || s.symptoms.look(now) == Look.ILL).count();
        long known = servers.stream().filter(s -> s.state == State.OWN_OUT || s.state == State.OUT
                || s.symptoms.look(now) != Look.UNTRIED).count();
        return tooMany(ill, known);
    }

    /** Past that it is likelier the one who looks. */
    protected boolean tooMany(long ill, long known) {
        return 2 * ill > known;
    }

    private static void into(Server s, State next, double since) {
        s.state = next;
        s.since = since;
    }

    // ---- what is said

    /** How each server looks from here. */
    public List<Report> reports(double now) {
        List<Report> all = new ArrayList<>();
        Map<String, Look> looks = new HashMap<>();
        for (Server s : servers) {
            Report r = s.symptoms.report(now, s.name);
            // What this instance leaves out by itself it still holds for ill: it would be told that all is well.
            all.add(s.state == State.OWN_OUT ? new Report(s.name, Look.ILL, Math.max(r.tried(), 1), r.failed()) : r);
            looks.put(s.name, all.get(all.size() - 1).look());
        }
        said = looks;
        return all;
    }

    /** Whether a server looks otherwise than when the leader was last told: it should hear of it at once. */
    public boolean news(double now) {
        turn(now);
        return servers.stream().anyMatch(s -> {
            Look is = s.state == State.OWN_OUT ? Look.ILL : s.symptoms.look(now);
            Look was = said.getOrDefault(s.name, Look.UNTRIED);
            return is == Look.ILL != (was == Look.ILL);
        });
    }

    public State state(String server) {
        return byName.get(server).state;
    }

    public Terms terms() {
        return terms;
    }

    /** For operators: each server with where it stands and how it looks. */
    public Map<String, String> told(double now) {
        Map<String, String> all = new TreeMap<>();
        servers.forEach(s -> all.put(s.name, s.state + " " + s.symptoms.look(now) + " in hand " + s.inFlight));
        return all;
    }
}
