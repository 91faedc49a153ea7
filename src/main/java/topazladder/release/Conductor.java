package topazladder.release;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import topazladder.disruption.Disruption;
import topazladder.disruption.DisruptionController.Health;
import topazladder.disruption.LoadReport;
import topazladder.release.Place.Stage;
import topazladder.release.Release.Phase;
import topazladder.release.View.Sight;

/**
 * What the holder of the conducting duty decides, from what the group's leader shows it. All that must outlive it is in
 * the group's log; what it keeps here (since when it judges, how long one has been away) is lost with it, and the next
 * one waits and judges anew.
 */
public class Conductor {
    /** Soaks after which a B that is neither well nor surely worse is halted. */
    private static final double UNDECIDED = 4;
    /** Seconds that the judge needs at least, however short the soaks: it says nothing of a few looks. */
    private static final double LEAST_UNDECIDED = 30;
    /** Seconds between two looks of the judge: what is said of rates is over a window, so closer ones tell the same. */
    private static final double LOOK_EVERY = 3;
    /** That many may wait for a place, or half as many as are out where that is more. */
    private static final int LEAST_WAITING = 4;
    /** Processes that may end on one place before B is taken for one that does not start. */
    private static final int MOST_LIVES = 3;

    private final String self;
    private final ReleaseOp.By by;
    private final Map<String, Double> awaySince = new HashMap<>(); // by place
    private final Map<String, Long> lives = new HashMap<>(); // by place, the last seen
    private final Map<String, Integer> ended = new HashMap<>(); // by place, lives that ended since it was asked
    private Judge judge;
    private long judging = -1;
    private double lastLook = Double.NEGATIVE_INFINITY;
    private double soakedSince = Double.NaN;
    private String doing = "";

    /** @param by with the duty's token; its time is filled in at each step */
    public Conductor(String self, ReleaseOp.By by) {
        this.self = self;
        this.by = by;
    }

    /** In words, for operators. */
    public String doing() {
        return doing + (judge == null ? "" : "; " + judge);
    }

    /** What should be agreed on next. */
    public List<ReleaseOp> next(double now, long atMillis, View v) {
        Release r = v.release();
        ReleaseOp.By mine = new ReleaseOp.By(by.duty(), by.token(), atMillis);
        if (r == null || r.over()) {
            judge = null;
            doing = r == null ? "there is no release" : "the last release is done";
            return List.of();
        }
        long key = r.id() << 16 | r.started();
        if (judging != key) {
            judging = key;
            judge = new Judge(r.plan().judge());
            soakedSince = Double.NaN;
            ended.clear();
            awaySince.clear();
        }
        look(now, r, v);
        follow(now, r, v);
        if (r.phase() == Phase.HALTED) {
            // Whoever has it go on wants it judged for longer, and not halted again for the same seconds.
            soakedSince = Double.NaN;
            doing = "halted: " + r.why();
            return List.of();
        }
        String halt = halt(now, r, v);
        if (halt != null) {
            return List.of(new ReleaseOp.Halt(mine, r.id(), halt));
        }
        return steps(now, r, v, mine);
    }

    private List<ReleaseOp> steps(double now, Release r, View v, ReleaseOp.By leave) {
        List<ReleaseOp> ops = additions(r, v, leave);
        // Once B is known a voter goes beside the others, as voters take longest: one at a time. Before, they go last.
        boolean known = r.wave() > 0 || r.back();
        List<Place> open = r.places().stream().filter(p -> p.wave() <= r.wave() && p.stage() != Stage.MOVED)
                .sorted(Comparator.comparing((Place p) -> p.name().equals(self)).thenComparing(p -> p.votes() != known)
                        // Each leader that goes costs an election, and the next one's look round.
                        .thenComparing(p -> p.name().equals(v.leader())).thenComparing(Place::name))
                .toList();
        int room = room(r, v);
        boolean voterAsked = r.places().stream().anyMatch(p -> p.votes() && p.stage() == Stage.ASKED);
        int left = 0;
        for (Place p : open) {
            Sight s = v.of(p.name());
            if (s != null && isMoved(r, s)) {
                ops.add(new ReleaseOp.Moved(leave, r.id(), r.started(), p.name()));
                continue;
            }
            // The conductor itself goes last of all, so that the duty is handed on once for its sake; but a wave of
            // which it
            // is all has to go, or nothing would be judged.
            if (p.name().equals(self) && p.stage() == Stage.LEFT && (open.size() > 1 || r.wave() < r.lastWave()
                    && r.places().stream().anyMatch(o -> o.wave() == p.wave() && !o.name().equals(self)))) {
                continue;
            }
            left++;
            if (p.stage() == Stage.ASKED) {
                if (s != null && s.out() == null && s.look() == Health.STEADY && s.serving() != null) {
                    ops.add(new ReleaseOp.Missed(leave, r.id(), r.started(), p.name()));
                }
            } else if (p.attempt() < r.plan().tries() && s != null && mayBeAsked(r, s)
            // What runs the target and is not steady yet would go for nothing; what has not said, may.
                    && s.serving() != null && !s.serving().version().isEmpty()
                    && !s.serving().version().equals(r.target())
                    && (p.votes() ? !voterAsked : room > 0)) {
                ops.add(new ReleaseOp.Ask(leave, r.id(), r.started(), p.name(), p.attempt() + 1));
                voterAsked |= p.votes();
                room -= p.votes() ? 0 : 1;
            }
        }
        if (left == 0 && ops.isEmpty()) {
            through(now, r, leave, ops);
        } else {
            soakedSince = Double.NaN;
            doing = "wave " + r.wave() + ": " + left + " left";
        }
        return ops;
    }

    /**
     * Members that run another version than the release's target and have no place in it: they joined after it
     * started, or the leader that started it had not heard of them yet. Without a place they would stay on that version
     * behind a release that is done.
     */
    private static List<ReleaseOp> additions(Release r, View v, ReleaseOp.By by) {
        List<ReleaseOp> ops = new ArrayList<>();
        for (Sight s : v.takesAdditions() ? v.members() : List.<Sight>of()) {
            boolean says = s.look() != Health.GONE && s.serving() != null && !s.serving().version().isEmpty();
            if (says && r.place(s.name()) == null && !s.serving().version().equals(r.target())) {
                ops.add(new ReleaseOp.AddPlace(by, r.id(), r.started(), s.name(), s.zone(), false));
            }
        }
        return ops;
    }

    /**
     * Asks that may still be made now: enough that places never stand free, and no more, since whoever asks waits its
     * turn and the next voter would wait behind all of them.
     */
    private static int room(Release r, View v) {
        int waiting = 0;
        int out = 0;
        for (Place p : r.places()) {
            Sight s = p.stage() == Stage.ASKED ? v.of(p.name()) : null;
            if (s != null) {
                boolean goes = s.out() != null && s.out().usesBudget();
                out += goes ? 1 : 0;
                waiting += goes ? 0 : 1;
            }
        }
        return Math.max(LEAST_WAITING, out / 2) - waiting;
    }

    /** On the way back also one that is not steady again: it may be B that keeps it from that. */
    private static boolean mayBeAsked(Release r, Sight s) {
        return s.out() == null || r.back() && s.out().phase() == Disruption.Phase.RETURNING;
    }

    protected boolean isMoved(Release r, Sight s) {
        return s.runs(r.target());
    }

    /** The wave is through: it is judged for a while, and the next one begins. */
    private void through(double now, Release r, ReleaseOp.By leave, List<ReleaseOp> ops) {
        if (Double.isNaN(soakedSince)) {
            soakedSince = now;
        }
        double soaked = now - soakedSince;
        double soak = r.back() || r.places().stream().allMatch(p -> p.stage() == Stage.MOVED) ? 0
                : r.plan().soak(r.wave());
        Judge.Verdict verdict = soak == 0 ? Judge.Verdict.WELL : judge.verdict();
        doing = "wave " + r.wave() + " is judged for " + Math.round(soaked) + " of " + Math.round(soak) + " s";
        if (soaked < soak) {
            return;
        }
        if (verdict == Judge.Verdict.WELL || judge.looks() == 0) {
            ops.add(r.wave() < r.lastWave() ? new ReleaseOp.Next(leave, r.id(), r.started(), r.wave() + 1)
                    : new ReleaseOp.Done(leave, r.id(), r.started()));
            soakedSince = Double.NaN;
        } else if (soaked >= Math.max(UNDECIDED * soak, LEAST_UNDECIDED)) {
            ops.add(new ReleaseOp.Halt(leave, r.id(), "after " + Math.round(soaked)
                    + " s it is not known to be as good: "
                    + judge));
        }
    }

    /** Those on A and those on B, in the same moment. */
    private void look(double now, Release r, View v) {
        if (r.back() || now - lastLook < LOOK_EVERY) {
            return;
        }
        lastLook = now;
        List<Judge.Look> looks = new ArrayList<>();
        for (Sight s : v.members()) {
            LoadReport served = s.serving();
            // Whoever drains or warms is no measure of its version.
            if (served != null && served.spanSeconds() > 0 && served.offeredPerSecond() > 0 && s.out() == null
                    && s.look() == Health.STEADY) {
                boolean b = served.version().equals(r.plan().to());
                if (b || served.version().equals(r.plan().from())) {
                    looks.add(new Judge.Look(s.name(), s.zone(), b, served.servedShare(),
                            served.failedPerSecond() / Math.max(1e-9, served.offeredPerSecond()),
                            served.memoryMegabytes()));
                }
            }
        }
        judged(looks);
    }

    protected void judged(List<Judge.Look> looks) {
        judge.look(looks);
    }

    /** Since when each is away, and how many of its processes have ended since it was asked for. */
    private void follow(double now, Release r, View v) {
        for (Place p : r.places()) {
            Sight s = v.of(p.name());
            // Also one that went before the release was turned, and has not come back since.
            boolean away = s == null ? p.stage() == Stage.ASKED : s.out() != null && s.out().usesBudget()
                    && s.out().phase() != Disruption.Phase.GRANTED
                    && (p.stage() == Stage.ASKED || s.out().reason() == Disruption.Reason.RELEASE);
            if (!away) {
                awaySince.remove(p.name());
            } else {
                awaySince.putIfAbsent(p.name(), now);
            }
            if (s != null && s.look() != Health.GONE) {
                Long before = lives.put(p.name(), s.life());
                if (before != null && before != s.life() && p.stage() == Stage.ASKED) {
                    ended.merge(p.name(), 1, Integer::sum);
                }
            }
            if (p.stage() != Stage.ASKED) {
                ended.remove(p.name());
            }
        }
    }

    /** Why it should not go on, or null. */
    private String halt(double now, Release r, View v) {
        for (Place p : r.places()) {
            if (now - awaySince.getOrDefault(p.name(), now) > r.plan().patience()) {
                return p.name() + " is not back after " + Math.round(r.plan().patience()) + " s";
            }
            if (ended.getOrDefault(p.name(), 0) > MOST_LIVES) {
                return p.name() + " ends again and again";
            }
            if (p.stage() == Stage.LEFT && p.attempt() >= r.plan().tries() && v.of(p.name()) != null
                    && v.of(p.name()).out() == null && !isMoved(r, v.of(p.name()))) {
                return p.name() + " does not come back as " + r.target() + ", after " + p.attempt() + " times";
            }
        }
        long others = v.members().stream().filter(s -> s.out() != null && s.out().usesBudget()
                && s.out().reason() != Disruption.Reason.RELEASE).count();
        if (others > r.plan().mostOut()) {
            return others + " are out for other reasons";
        }
        return !r.back() && judge.verdict() == Judge.Verdict.WORSE ? judge.why() : null;
    }
}
