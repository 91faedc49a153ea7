package topazladder.release;

import java.util.List;
import topazladder.disruption.Disruption;
import topazladder.disruption.DisruptionCommand;
import topazladder.disruption.DisruptionStateMachine;
import topazladder.disruption.DisruptionTarget;
import topazladder.lease.LeaseState;
import topazladder.lease.LeaseStateMachine;
import topazladder.release.Place.Stage;
import topazladder.release.Release.Phase;

/**
 * The release that is under way, or the last one, as the hall has agreed: the same operations in the same order give
 * the same at every voter. Invariants: one release at a time; only whoever holds the conducting duty under its latest
 * token moves it on; a place that is moved is not asked for again in that direction; while it is halted nobody is
 * given leave for it.
 */
public class ReleaseLedger {
    private final LeaseStateMachine duties;
    private final DisruptionStateMachine outs;
    private Release release;

    public ReleaseLedger(LeaseStateMachine duties, DisruptionStateMachine outs) {
        this.duties = duties;
        this.outs = outs;
    }

    /** @param why it changed nothing, or null where it did */
    public record Outcome(long id, String why) {

        public boolean done() {
            return why == null;
        }
    }

    public Outcome apply(ReleaseOp op) {
        String why = op.by().conducts() ? notTheConductor(op.by()) : null;
        why = why != null ? why : refused(op);
        if (why != null) {
            return new Outcome(release == null ? 0 : release.id(), why);
        }
        change(op);
        return new Outcome(release.id(), null);
    }

    protected String notTheConductor(ReleaseOp.By by) {
        LeaseState duty = duties.get(by.duty());
        return duty != null && duty.isHeld() && duty.fencingToken() == by.token() ? null
                : "whoever proposes it does not conduct under " + by.token();
    }

    private String refused(ReleaseOp op) {
        if (op instanceof ReleaseOp.Start s) {
            return release != null && !release.over() ? "a release is under way: " + release.plan().name() + ", "
                    + release.phase() : s.places().isEmpty() ? "it is about no instance" : null;
        }
        if (release == null) {
            return "there is no release";
        }
        if (op instanceof ReleaseOp.Halt h) {
            return other(h.id()) ? "that release is over" : release.phase() != Phase.RUNNING ? "it is "
                    + release.phase() + " already" : null;
        } else if (op instanceof ReleaseOp.Resume r) {
            return other(r.id()) || release.phase() != Phase.HALTED ? "it is not halted" : null;
        } else if (op instanceof ReleaseOp.Back b) {
            return other(b.id()) ? "another release is the last" : release.back() ? "it is on its way back already"
                    : release.plan().oneWay() ? "the plan says that there is no way back" : null;
        } else if (op instanceof ReleaseOp.Ask a) {
            return step(a.id(), a.started(), () -> refused(a));
        } else if (op instanceof ReleaseOp.Missed m) {
            return step(m.id(), m.started(), () -> release.place(m.place()) == null
                    || !cameBack(release.place(m.place())) ? "it is not back" : null);
        } else if (op instanceof ReleaseOp.Moved m) {
            return step(m.id(), m.started(), () -> release.place(m.place()) == null
                    || release.place(m.place()).stage() == Stage.MOVED ? "it is moved already" : null);
        } else if (op instanceof ReleaseOp.Next n) {
            return step(n.id(), n.started(), () -> n.wave() != release.wave() + 1 ? "the wave is " + release.wave()
                    : !release.waveMoved(conductor(n.by())) ? "the wave is not through" : null);
        } else if (op instanceof ReleaseOp.AddPlace a) {
            return step(a.id(), a.started(), () -> release.place(a.place()) != null ? "it has a place already" : null);
        } else if (op instanceof ReleaseOp.Done d) {
            return step(d.id(), d.started(), () -> release.places().stream().allMatch(p -> p.stage() == Stage.MOVED)
                    ? null : "some are not moved");
        }
        return null;
    }

    private String conductor(ReleaseOp.By by) {
        LeaseState duty = duties.get(by.duty());
        return duty == null || !duty.isHeld() ? "" : duty.holder().name();
    }

    private boolean other(long id) {
        return id != release.id();
    }

    /** A step of a direction that is none any more comes too late. */
    private String step(long id, int started, java.util.function.Supplier<String> more) {
        return other(id) || started != release.started() ? "it is of another release, or of another direction"
                : release.phase() != Phase.RUNNING ? "the release is " + release.phase() : more.get();
    }

    /** Why no leave is asked for: one that is moved stays, and of the voters one goes at a time. */
    protected String refused(ReleaseOp.Ask a) {
        Place p = release.place(a.place());
        if (p == null || p.stage() != Stage.LEFT || a.attempt() != p.attempt() + 1) {
            return "that step was done";
        } else if (p.wave() > release.wave()) {
            return "its wave has not begun";
        }
        Disruption out = outs.get(subject(p));
        if (out != null && out.takesPlace() && !(release.back() && out.phase() == Disruption.Phase.RETURNING)) {
            return "it is out already";
        }
        return p.votes() && release.places().stream().anyMatch(o -> o.votes() && o.stage() == Stage.ASKED)
                ? "another voter is on its way" : null;
    }

    private void change(ReleaseOp op) {
        long at = op.by().atMillis();
        if (op instanceof ReleaseOp.Start s) {
            release = new Release(release == null ? 1 : release.id() + 1, s.plan(), false, Phase.RUNNING, "", 0, 1,
                    s.places(), List.of()).told(at, "starts: " + s.plan().from() + " to " + s.plan().to());
        } else if (op instanceof ReleaseOp.Ask a) {
            Place p = release.place(a.place()).at(Stage.ASKED, a.attempt());
            outs.apply(new DisruptionCommand.Ask(subject(p), Disruption.Why.RELEASE, release.request(p), "release "
                    + release.plan().name()));
            release = release.with(p).told(at, p.name() + " is asked for");
        } else if (op instanceof ReleaseOp.Missed m) {
            Place p = release.place(m.place());
            release = release.with(p.at(Stage.LEFT, p.attempt())).told(at, p.name() + " came back as it was");
        } else if (op instanceof ReleaseOp.Moved m) {
            Place p = release.place(m.place());
            release = release.with(p.at(Stage.MOVED, p.attempt())).told(at, p.name() + " runs " + release.target());
        } else if (op instanceof ReleaseOp.Next n) {
            release = release.at(n.wave()).told(at, "wave " + n.wave());
        } else if (op instanceof ReleaseOp.AddPlace a) {
            release = release.withAdded(new Place(a.place(), a.zone(), a.votes(), release.lastWave(), Stage.LEFT, 0))
                    .told(at, a.place() + " was not known before, and is added");
        } else if (op instanceof ReleaseOp.Done) {
            release = release.in(Phase.DONE, "").told(at, "done");
        } else if (op instanceof ReleaseOp.Halt h) {
            withdraw();
            release = release.in(Phase.HALTED, h.why()).told(at, "halted: " + h.why());
        } else if (op instanceof ReleaseOp.Resume) {
            release = release.in(Phase.RUNNING, "").told(at, "goes on");
        } else if (op instanceof ReleaseOp.Back) {
            withdraw();
            release = release.turned().told(at, "goes back to " + release.plan().from());
        }
    }

    /** Whoever has leave and has not gone stays; whoever has gone comes back by itself. */
    protected void withdraw() {
        for (Place p : release.places()) {
            Disruption out = outs.get(subject(p));
            if (p.stage() == Stage.ASKED && (out == null
                    || out.request().equals(release.request(p)) && out.why() == Disruption.Why.RELEASE
                            && outs.apply(new DisruptionCommand.Withdraw(subject(p), out.request())).done())) {
                release = release.with(p.at(Stage.LEFT, p.attempt()));
            }
        }
    }

    /** Whoever was asked for and is not out any more, but was not moved either, may be asked for again. */
    public boolean cameBack(Place p) {
        Disruption out = outs.get(subject(p));
        return p.stage() == Stage.ASKED && (out == null || !out.request().equals(release.request(p)));
    }

    private static DisruptionTarget subject(Place p) {
        return new DisruptionTarget(DisruptionTarget.Kind.INSTANCE, p.name(), p.zone());
    }

    /** The version in which an instance that goes now should come back; empty where the release has no part in it. */
    public String versionFor(String member, String request) {
        Place p = release == null ? null : release.place(member);
        return p != null && release.request(p).equals(request) ? release.target() : "";
    }

    public Release release() {
        return release;
    }

    public void replace(Release other) {
        release = other;
    }
}
