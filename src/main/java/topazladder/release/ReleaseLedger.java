package topazladder.release;

import java.util.List;
import java.util.function.Supplier;
import topazladder.disruption.Disruption;
import topazladder.disruption.DisruptionCommand;
import topazladder.disruption.DisruptionStateMachine;
import topazladder.disruption.DisruptionTarget;
import topazladder.lease.LeaseState;
import topazladder.lease.LeaseStateMachine;
import topazladder.release.Place.Stage;
import topazladder.release.Release.Phase;

/**
 * The replicated state of the rollout in progress, or of the last one: the same commands in the same order give the
 * same state at every voter.
 *
 * <p>Invariants: there is one rollout at a time; only the holder of the rollout lease advances it, under the latest
 * fencing token; an instance that is updated is not requested again in the same direction; while the rollout is halted
 * nothing is requested for it.
 */
public class ReleaseLedger {
    private final LeaseStateMachine duties;
    private final DisruptionStateMachine outs;
    private Release release;

    /** Creates a state machine without a rollout, which reads the leases and changes the disruptions. */
    public ReleaseLedger(LeaseStateMachine duties, DisruptionStateMachine outs) {
        this.duties = duties;
        this.outs = outs;
    }

    /**
     * What became of a command.
     *
     * @param id of the rollout that it was applied to; 0 where there is none
     * @param why the command changed nothing, or null where it was applied
     */
    public record Outcome(long id, String why) {

        /** Whether the command took effect. */
        public boolean done() {
            return why == null;
        }
    }

    /** Applies one command of the log. */
    public Outcome apply(ReleaseOp op) {
        String rejection = op.by().conducts() ? notTheConductor(op.by()) : null;
        rejection = rejection != null ? rejection : rejection(op);
        if (rejection != null) {
            return new Outcome(release == null ? 0 : release.id(), rejection);
        }
        execute(op);
        return new Outcome(release.id(), null);
    }

    // ---- checks

    /** Why the proposer may not advance the rollout, or null where it may. */
    protected String notTheConductor(ReleaseOp.By by) {
        LeaseState lease = duties.get(by.duty());
        return lease != null && lease.isHeld() && lease.fencingToken() == by.token() ? null
                : "the proposer does not hold the lease " + by.duty() + " under the fencing token " + by.token();
    }

    private String rejection(ReleaseOp op) {
        if (op instanceof ReleaseOp.Start start) {
            return rejectionOfStart(start);
        }
        if (release == null) {
            return "there is no rollout";
        }
        if (op instanceof ReleaseOp.Halt halt) {
            return isOther(halt.id()) ? "rollout " + halt.id() + " is over"
                    : release.phase() != Phase.RUNNING ? "the rollout is " + release.phase() + " already" : null;
        } else if (op instanceof ReleaseOp.Resume resume) {
            return isOther(resume.id()) || release.phase() != Phase.HALTED
                    ? "rollout " + resume.id() + " is not halted" : null;
        } else if (op instanceof ReleaseOp.Back back) {
            return rejectionOfRollback(back);
        } else if (op instanceof ReleaseOp.Ask ask) {
            return rejectionOfStep(ask.id(), ask.started(), () -> refused(ask));
        } else if (op instanceof ReleaseOp.Missed missed) {
            return rejectionOfStep(missed.id(), missed.started(), () -> {
                Place place = release.place(missed.place());
                return place == null || !hasReturned(place) ? missed.place() + " is not back" : null;
            });
        } else if (op instanceof ReleaseOp.Moved moved) {
            return rejectionOfStep(moved.id(), moved.started(), () -> {
                Place place = release.place(moved.place());
                return place == null || place.stage() == Stage.MOVED
                        ? moved.place() + " is updated already, or not part of the rollout" : null;
            });
        } else if (op instanceof ReleaseOp.Next next) {
            return rejectionOfStep(next.id(), next.started(), () -> next.wave() != release.wave() + 1
                    ? "the rollout is in wave " + release.wave() + ", which wave " + next.wave() + " does not follow"
                    : !release.isWaveUpdated(leaseHolder(next.by())) ? "wave " + release.wave() + " is not done"
                            : null);
        } else if (op instanceof ReleaseOp.AddPlace add) {
            return rejectionOfStep(add.id(), add.started(), () -> release.place(add.place()) != null
                    ? add.place() + " is part of the rollout already" : null);
        } else if (op instanceof ReleaseOp.Done done) {
            return rejectionOfStep(done.id(), done.started(), () -> release.places().stream()
                    .allMatch(place -> place.stage() == Stage.MOVED) ? null : "some instances are not updated");
        }
        return null;
    }

    private String rejectionOfStart(ReleaseOp.Start start) {
        if (release != null && !release.over()) {
            return "a rollout is under way: " + release.plan().name() + ", " + release.phase();
        }
        return start.places().isEmpty() ? "the rollout covers no instance" : null;
    }

    private String rejectionOfRollback(ReleaseOp.Back back) {
        if (isOther(back.id())) {
            return "rollout " + back.id() + " is not the last one";
        } else if (release.back()) {
            return "the rollout is rolled back already";
        }
        return release.plan().oneWay() ? "the plan says that there is no way back (one_way: true)" : null;
    }

    /** Rejects a step of another rollout or of an earlier direction, then any while the rollout does not run. */
    private String rejectionOfStep(long id, int started, Supplier<String> furtherChecks) {
        return isOther(id) || started != release.started() ? "the step is of another rollout, or of another direction"
                : release.phase() != Phase.RUNNING ? "the rollout is " + release.phase() : furtherChecks.get();
    }

    /** Why no grant is requested: the step was taken before, its wave has not started, or another voter is away. */
    protected String refused(ReleaseOp.Ask a) {
        Place place = release.place(a.place());
        if (place == null || place.stage() != Stage.LEFT || a.attempt() != place.attempt() + 1) {
            return "attempt " + a.attempt() + " to update " + a.place() + " is not its next";
        } else if (place.wave() > release.wave()) {
            return "wave " + place.wave() + " of " + a.place() + " has not started";
        }
        Disruption disruption = outs.get(disruptionTarget(place));
        if (disruption != null && disruption.usesBudget()
                && !(release.back() && disruption.phase() == Disruption.Phase.RETURNING)) {
            return a.place() + " is unavailable already";
        }
        return place.votes() && release.places().stream()
                .anyMatch(other -> other.votes() && other.stage() == Stage.ASKED)
                        ? "another voter is being updated" : null;
    }

    private String leaseHolder(ReleaseOp.By by) {
        LeaseState lease = duties.get(by.duty());
        return lease == null || !lease.isHeld() ? "" : lease.holder().name();
    }

    private boolean isOther(long id) {
        return id != release.id();
    }

    // ---- changes; the texts of the events are part of the replicated state and stay

    private void execute(ReleaseOp op) {
        long at = op.by().atMillis();
        if (op instanceof ReleaseOp.Start start) {
            release = new Release(release == null ? 1 : release.id() + 1, start.plan(), false, Phase.RUNNING, "", 0, 1,
                    start.places(), List.of())
                            .withEvent(at, "starts: " + start.plan().from() + " to " + start.plan().to());
        } else if (op instanceof ReleaseOp.Ask ask) {
            Place place = release.place(ask.place()).at(Stage.ASKED, ask.attempt());
            outs.apply(new DisruptionCommand.Request(disruptionTarget(place), Disruption.Reason.RELEASE,
                    release.request(place), "release " + release.plan().name()));
            release = release.withChanged(place).withEvent(at, place.name() + " is asked for");
        } else if (op instanceof ReleaseOp.Missed missed) {
            Place place = release.place(missed.place());
            release = release.withChanged(place.at(Stage.LEFT, place.attempt()))
                    .withEvent(at, place.name() + " came back as it was");
        } else if (op instanceof ReleaseOp.Moved moved) {
            Place place = release.place(moved.place());
            release = release.withChanged(place.at(Stage.MOVED, place.attempt()))
                    .withEvent(at, place.name() + " runs " + release.target());
        } else if (op instanceof ReleaseOp.Next next) {
            release = release.inWave(next.wave()).withEvent(at, "wave " + next.wave());
        } else if (op instanceof ReleaseOp.AddPlace add) {
            release = release
                    .withAdded(new Place(add.place(), add.zone(), add.votes(), release.lastWave(), Stage.LEFT, 0))
                    .withEvent(at, add.place() + " was not known before, and is added");
        } else if (op instanceof ReleaseOp.Done) {
            release = release.inPhase(Phase.DONE, "").withEvent(at, "done");
        } else if (op instanceof ReleaseOp.Halt halt) {
            withdraw();
            release = release.inPhase(Phase.HALTED, halt.why()).withEvent(at, "halted: " + halt.why());
        } else if (op instanceof ReleaseOp.Resume) {
            release = release.inPhase(Phase.RUNNING, "").withEvent(at, "goes on");
        } else if (op instanceof ReleaseOp.Back) {
            withdraw();
            release = release.rolledBack().withEvent(at, "goes back to " + release.plan().from());
        }
    }

    /** Withdraws the requests of instances that have not gone; one that has gone comes back by itself. */
    protected void withdraw() {
        for (Place place : release.places()) {
            Disruption disruption = outs.get(disruptionTarget(place));
            if (place.stage() == Stage.ASKED && (disruption == null
                    || disruption.requestId().equals(release.request(place))
                            && disruption.reason() == Disruption.Reason.RELEASE
                            && outs.apply(new DisruptionCommand.Withdraw(disruptionTarget(place),
                                    disruption.requestId())).isApplied())) {
                release = release.withChanged(place.at(Stage.LEFT, place.attempt()));
            }
        }
    }

    /** Whether the disruption that was requested for that instance has ended, so that it may be requested again. */
    private boolean hasReturned(Place place) {
        Disruption disruption = outs.get(disruptionTarget(place));
        return place.stage() == Stage.ASKED
                && (disruption == null || !disruption.requestId().equals(release.request(place)));
    }

    private static DisruptionTarget disruptionTarget(Place place) {
        return new DisruptionTarget(DisruptionTarget.Kind.INSTANCE, place.name(), place.zone());
    }

    // ---- reading

    /**
     * The version in which an instance that goes now has to come back; empty where it does not go for the rollout.
     *
     * @param request id of the request under which it goes
     */
    public String versionFor(String member, String request) {
        Place place = release == null ? null : release.place(member);
        return place != null && release.request(place).equals(request) ? release.target() : "";
    }

    /** The rollout in progress, or the last one; null where there was none. */
    public Release release() {
        return release;
    }

    /** Replaces the state by that of a snapshot. */
    public void replace(Release other) {
        release = other;
    }
}
