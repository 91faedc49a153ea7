package topazladder.emulator.hall;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.function.BiFunction;
import java.util.random.RandomGenerator;
import topazladder.endpoint.CallOutcome;
import topazladder.endpoint.EndpointSelector;

/**
 * Servers below a hall in virtual time: which are ill, to whom the way is bad, and what calls come to. What is left out
 * by whom is told from the calls that come, not from the program's word.
 */
public final class Servers {
    /** Seconds between two rounds of calls. */
    static final double STEP = 0.1;
    /** Calls of one instance in one round. */
    static final int CALLS = 4;
    /** Seconds for which a call without an answer is waited for. */
    static final double PATIENCE = 0.4;
    /** Seconds without a call of an instance that calls others, after which it leaves a server out. */
    private static final double LEFT_OUT = 2;
    /** Seconds for which a trouble may go unnoticed, or be noticed still. */
    private static final double NOTICED = 6;
    /** Seconds behind its first calls within which a server that is left out again was only tried. */
    private static final double TRIAL = 10;
    /** Part of the usual calls that a server may be met with in its first second back. */
    private static final double MOST_AT_FIRST = 0.35;

    /** What may be wrong. */
    public enum Kind {
        /** All calls to one server are refused. */
        DEAD,
        /** It takes calls and says nothing. */
        HANGS,
        /** One instance does not reach one server. */
        LINK,
        /** One instance reaches none. */
        WATCHER,
        /** No instance reaches any. */
        ALL,
        /** Each instance does not reach another one. */
        EACH_ANOTHER
    }

    /** @param instance whose way is bad, or -1 */
    public record Trouble(double at, double seconds, Kind kind, int server, int instance) {

        boolean on(double now) {
            return now >= at && now < at + seconds;
        }

        boolean near(double now) {
            return now >= at && now < at + seconds + NOTICED;
        }

        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%.2f s: %s of s%d and n%d for %.1f s", at, kind.name().toLowerCase(
                    Locale.ROOT), server, instance, seconds);
        }
    }

    private final int count;
    private final int budget;
    private final double alone;
    private final List<Trouble> troubles;
    private final BiFunction<EndpointSelector.Settings, RandomGenerator, EndpointSelector> maker;
    private double[][] lastCall = new double[0][];
    private double[] callsSince = new double[0];
    private final List<List<Double>> recent = new ArrayList<>(); // calls of the last second, by server
    private final boolean[] out;
    private final double[] outSince;
    private final double[] backAt;
    private final double[] calledAgain;
    private final List<String> breaks = new ArrayList<>();
    private long asked;
    private long lost;
    private int falseOuts;
    private int mostOut;
    private int instances;

    /**
     * @param budget of servers that may be out at once
     * @param alone share that one instance may leave out by itself
     * @param maker of each instance's use; trials plant ones that err
     */
    public Servers(int count, int budget, double alone, List<Trouble> troubles,
            BiFunction<EndpointSelector.Settings, RandomGenerator, EndpointSelector> maker) {
        this.count = count;
        this.budget = budget;
        this.alone = alone;
        this.troubles = troubles;
        this.maker = maker;
        out = new boolean[count];
        outSince = new double[count];
        backAt = new double[count];
        Arrays.fill(backAt, Double.NaN);
        calledAgain = new double[count];
        Arrays.fill(calledAgain, Double.NaN);
        for (int s = 0; s < count; s++) {
            recent.add(new ArrayList<>());
        }
    }

    /** Troubles of a seed, some beside each other. */
    public static List<Trouble> draw(long seed, int instances, int count) {
        SplittableRandom chance = new SplittableRandom(seed ^ 0xbe10);
        List<Trouble> all = new ArrayList<>();
        double at = 12;
        int troubles = 2 + chance.nextInt(4);
        for (int i = 0; i < troubles; i++) {
            Kind kind = Kind.values()[chance.nextInt(Kind.values().length)];
            all.add(new Trouble(at, chance.nextDouble(1, 12), kind, chance.nextInt(count), chance.nextInt(instances)));
            at += chance.nextInt(3) == 0 ? chance.nextDouble(0, 2) : chance.nextDouble(4, 20);
        }
        return List.copyOf(all);
    }

    /** Many short troubles of single ways, and none of a server: a day on which links are bad. */
    public static List<Trouble> badLinks(long seed, int instances, int count, double seconds) {
        SplittableRandom chance = new SplittableRandom(seed ^ 0x11c5);
        List<Trouble> all = new ArrayList<>();
        for (double at = 15; at < seconds; at += chance.nextDouble(0.5, 4)) {
            int kind = chance.nextInt(10);
            all.add(new Trouble(at, chance.nextDouble(1, 15), kind == 0 ? Kind.WATCHER : Kind.LINK,
                    chance.nextInt(count), chance.nextInt(instances)));
        }
        return List.copyOf(all);
    }

    static List<String> names(int count) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add("s" + i);
        }
        return names;
    }

    EndpointSelector use(RandomGenerator chance) {
        return maker.apply(new EndpointSelector.Settings(names(count), alone), chance);
    }

    int budget() {
        return budget;
    }

    /** What a call comes to now. */
    CallOutcome call(double now, int instance, int server) {
        if (lastCall.length <= instance) {
            int from = lastCall.length;
            lastCall = Arrays.copyOf(lastCall, instance + 1);
            callsSince = Arrays.copyOf(callsSince, instance + 1);
            for (int i = from; i <= instance; i++) {
                lastCall[i] = new double[count];
                Arrays.fill(lastCall[i], Double.NEGATIVE_INFINITY);
                callsSince[i] = Double.NaN;
            }
        }
        if (out[server] && now - outSince[server] > LEFT_OUT && recent.get(server).isEmpty()) {
            backAt[server] = now;
        }
        lastCall[instance][server] = now;
        recent.get(server).add(now);
        for (Trouble t : troubles) {
            if (t.on(now) && hits(t, instance, server)) {
                return t.kind() == Kind.HANGS || t.kind() == Kind.LINK && t.server() % 2 == 0 ? CallOutcome.TIMED_OUT
                        : CallOutcome.UNREACHABLE;
            }
        }
        return CallOutcome.ANSWERED;
    }

    private boolean hits(Trouble t, int instance, int server) {
        return switch (t.kind()) {
            case DEAD, HANGS -> t.server() == server;
            case LINK -> t.server() == server && t.instance() == instance;
            case WATCHER -> t.instance() == instance;
            case ALL -> true;
            case EACH_ANOTHER -> (instance + t.server()) % count == server;
        };
    }

    void came(boolean well) {
        asked++;
        lost += well ? 0 : 1;
    }

    /** Whoever does not call now counts anew once it does. */
    void calls(double now, int instance, boolean does) {
        if (instance < callsSince.length) {
            callsSince[instance] = !does ? Double.NaN : Double.isNaN(callsSince[instance]) ? now
                    : callsSince[instance];
        }
    }

    /** Looks at who leaves out what. */
    void look(double now) {
        instances = 0;
        int[] by = new int[count];
        for (int i = 0; i < lastCall.length; i++) {
            if (!Double.isNaN(callsSince[i]) && now - callsSince[i] > LEFT_OUT) {
                instances++;
                for (int s = 0; s < count; s++) {
                    by[s] += now - lastCall[i][s] > LEFT_OUT ? 1 : 0;
                }
            }
        }
        int outs = 0;
        for (int s = 0; s < count; s++) {
            recent.get(s).removeIf(at -> now - at > 1);
            boolean left = instances > 0 && 2 * by[s] > instances;
            if (left && !out[s]) {
                // One that is called a little, for a trial, and then not any more has not been back meanwhile.
                if (!(now - calledAgain[s] < TRIAL)) {
                    judge(now, s);
                }
                outSince[s] = now;
            } else if (!left && out[s]) {
                calledAgain[s] = now;
            }
            if (now - backAt[s] >= 1) {
                backAt[s] = Double.NaN;
            } else if (!Double.isNaN(backAt[s])
                    // One that has just started has not been told yet, and gives it its whole part for a moment.
                    && recent.get(s).size() > (1 + MOST_AT_FIRST * instances) * CALLS / STEP / count) {
                broken(now, "s" + s + " is back and met with " + recent.get(s).size() + " calls in a second by "
                        + instances);
                backAt[s] = Double.NaN;
            }
            out[s] = left;
            outs += left ? 1 : 0;
        }
        mostOut = Math.max(mostOut, outs);
        if (outs > budget) {
            broken(now, outs + " servers are left out by most, of " + budget);
        }
    }

    /** One is left out by most from now on: was there a reason, and was it not most of them? */
    private void judge(double now, int s) {
        int ill = 0;
        boolean reason = false;
        for (int o = 0; o < count; o++) {
            int bad = 0;
            int always = 0;
            for (int i = 0; i < lastCall.length; i++) {
                int instance = i;
                int server = o;
                bad += troubles.stream().anyMatch(t -> t.near(now) && hits(t, instance, server)) ? 1 : 0;
                always += troubles.stream().anyMatch(t -> t.on(now) && now - t.at() > NOTICED
                        && hits(t, instance, server)) ? 1 : 0;
            }
            reason |= o == s && 2 * bad >= lastCall.length;
            ill += always == lastCall.length ? 1 : 0;
        }
        if (!reason) {
            falseOuts++;
            broken(now, "s" + s + " is left out by most, and is well");
        } else if (2 * ill > count) {
            broken(now, "s" + s + " is left out by most while " + ill + " of " + count + " look ill");
        }
    }

    private void broken(double now, String what) {
        if (breaks.size() < 20) {
            breaks.add(String.format(Locale.ROOT, "%.3f s: %s", now, what));
        }
    }

    public List<String> breaks() {
        return List.copyOf(breaks);
    }

    /** Servers that most leave out now. */
    public List<String> left() {
        List<String> all = new ArrayList<>();
        for (int s = 0; s < count; s++) {
            if (out[s]) {
                all.add("s" + s);
            }
        }
        return all;
    }

    /** Calls made, and those that came to nothing. */
    public long[] calls() {
        return new long[] {asked, lost};
    }

    /** Times that most left out one that was well. */
    public int falseOuts() {
        return falseOuts;
    }

    public int mostOut() {
        return mostOut;
    }

    public List<Trouble> troubles() {
        return troubles;
    }

    /** When the last trouble is over. */
    public double end() {
        return troubles.stream().mapToDouble(t -> t.at() + t.seconds()).max().orElse(0);
    }
}
