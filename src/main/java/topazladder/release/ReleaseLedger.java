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
 * The replicated state of the rollout in progress, or of the last one: the same commands in the same order give the
 * same state at every voter.
 *
 * <p>Invariants: there is one rollout at a time; only the holder of the rollout lease advances it, under the latest
 * fencing token; an instance that is updated is not requested again in the same direction; while the rollout is halted
 * nothing is requested for it.
 */
public class ReleaseLedger {
    private final LeaseStateMachine leases;
    private final DisruptionStateMachine disruptions;
    private Release rollout;

    /** Creates a state machine without a rollout, which reads the leases and changes the disruptions. */
    public ReleaseLedger(LeaseStateMachine leases, DisruptionStateMachine disruptions) {
        this.leases = leases;
        this.disruptions = disruptions;
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
    public Outcome apply(ReleaseOp command) {
        String rejection = command.by().conducts() ? notTheConductor(command.by()) : null;
        rejection = rejection != null ? rejection : rejection(command);
        if (rejection != null) {
            return new Outcome(rollout == null ? 0 : rollout.id(), rejection);
        }
        execute(command);
        return new Outcome(rollout.id(), null);
    }

    // ---- checks

    /** Why the proposer may not advance the rollout, or null where it may. */
    protected String notTheConductor(ReleaseOp.By by) {
        LeaseState lease = leases.get(by.duty());
        return lease != null && lease.isHeld() && lease.fencingToken() == by.token() ? null
                : "the proposer does not hold the lease " + by.duty() + " under the fencing token " + by.token();
    }

    private String rejection(ReleaseOp command) {
        if (command instanceof ReleaseOp.Start start) {
            return rollout != null && !rollout.over()
                    ? "a rollout is under way: " + rollout.plan().name() + ", " + rollout.phase()
                    : start.places().isEmpty() ? "the rollout covers no instance" : null;
        }
        if (rollout == null) {
            return "there is no rollout";
        }
        if (command instanceof ReleaseOp.Halt halt) {
            return isOther(halt.id()) ? "rollout " + halt.id() + " is over"
                    : rollout.phase() != Phase.RUNNING ? "the rollout is " + rollout.phase() + " already" : null;
        } else if (command instanceof ReleaseOp.Resume resume) {
            return isOther(resume.id()) || rollout.phase() != Phase.HALTED
                    ? "rollout " + resume.id() + " is not halted" : null;
        } else if (command instanceof ReleaseOp.Back back) {
            return isOther(back.id()) ? "rollout " + back.id() + " is not the last one"
                    : rollout.back() ? "the rollout is rolled back already"
                            : rollout.plan().oneWay() ? "the plan says that there is no way back (one_way: true)"
                                    : null;
        } else if (command instanceof ReleaseOp.Ask ask) {
            return rejectionOfStep(ask.id(), ask.started(), () -> refused(ask));
        } else if (command instanceof ReleaseOp.Missed missed) {
            return rejectionOfStep(missed.id(), missed.started(), () -> rollout.place(missed.place()) == null
                    || !hasReturned(rollout.place(missed.place())) ? missed.place() + " is not back" : null);
        } else if (command instanceof ReleaseOp.Moved moved) {
            return rejectionOfStep(moved.id(), moved.started(), () -> rollout.place(moved.place()) == null
                    || rollout.place(moved.place()).stage() == Stage.MOVED
                            ? moved.place() + " is updated already, or not part of the rollout" : null);
        } else if (command instanceof ReleaseOp.Next next) {
            return rejectionOfStep(next.id(), next.started(), () -> next.wave() != rollout.wave() + 1
                    ? "the rollout is in wave " + rollout.wave() + ", which wave " + next.wave() + " does not follow"
                    : !rollout.isWaveUpdated(leaseHolder(next.by())) ? "wave " + rollout.wave() + " is not done"
                            : null);
        } else if (command instanceof ReleaseOp.AddPlace add) {
            return rejectionOfStep(add.id(), add.started(), () -> rollout.place(add.place()) != null
                    ? add.place() + " is part of the rollout already" : null);
        } else if (command instanceof ReleaseOp.Done done) {
            return rejectionOfStep(done.id(), done.started(), () -> rollout.places().stream()
                    .allMatch(place -> place.stage() == Stage.MOVED) ? null : "some instances are not updated");
        }
        return null;
    }

    private String leaseHolder(ReleaseOp.By by) {
        LeaseState lease = leases.get(by.duty());
        return lease == null || !lease.isHeld() ? "" : lease.holder().name();
    }

    private boolean isOther(long id) {
        return id != rollout.id();
    }

    /** Rejects a step of another rollout or of an earlier direction, then any while the rollout does not run. */
    private String rejectionOfStep(long id, int started, java.util.function.Supplier<String> furtherChecks) {
        return isOther(id) || started != rollout.started() ? "the step is of another rollout, or of another direction"
                : rollout.phase() != Phase.RUNNING ? "the rollout is " + rollout.phase() : furtherChecks.get();
    }

    /** Why no grant is requested: the step was taken before, its wave has not started, or another voter is away. */
    protected String refused(ReleaseOp.Ask ask) {
        Place place = rollout.place(ask.place());
        if (place == null || place.stage() != Stage.LEFT || ask.attempt() != place.attempt() + 1) {
            return "attempt " + ask.attempt() + " to update " + ask.place() + " is not its next";
        } else if (place.wave() > rollout.wave()) {
            return "wave " + place.wave() + " of " + ask.place() + " has not started";
        }
        Disruption disruption = disruptions.get(disruptionTarget(place));
        if (disruption != null && disruption.usesBudget()
                && !(rollout.back() && disruption.phase() == Disruption.Phase.RETURNING)) {
            return ask.place() + " is unavailable already";
        }
        return place.votes() && rollout.places().stream()
                .anyMatch(other -> other.votes() && other.stage() == Stage.ASKED)
                        ? "another voter is being updated" : null;
    }

    // ---- changes; the texts of the events are part of the replicated state and stay

    private void execute(ReleaseOp command) {
        long at = command.by().atMillis();
        if (command instanceof ReleaseOp.Start start) {
            rollout = new Release(rollout == null ? 1 : rollout.id() + 1, start.plan(), false, Phase.RUNNING, "", 0, 1,
                    start.places(), List.of())
                            .withEvent(at, "starts: " + start.plan().from() + " to " + start.plan().to());
        } else if (command instanceof ReleaseOp.Ask ask) {
            Place place = rollout.place(ask.place()).inStage(Stage.ASKED, ask.attempt());
            disruptions.apply(new DisruptionCommand.Request(disruptionTarget(place), Disruption.Reason.RELEASE,
                    rollout.requestId(place), "release " + rollout.plan().name()));
            rollout = rollout.withChanged(place).withEvent(at, place.name() + " is asked for");
        } else if (command instanceof ReleaseOp.Missed missed) {
            Place place = rollout.place(missed.place());
            rollout = rollout.withChanged(place.inStage(Stage.LEFT, place.attempt()))
                    .withEvent(at, place.name() + " came back as it was");
        } else if (command instanceof ReleaseOp.Moved moved) {
            Place place = rollout.place(moved.place());
            rollout = rollout.withChanged(place.inStage(Stage.MOVED, place.attempt()))
                    .withEvent(at, place.name() + " runs " + rollout.target());
        } else if (command instanceof ReleaseOp.Next next) {
            rollout = rollout.inWave(next.wave()).withEvent(at, "wave " + next.wave());
        } else if (command instanceof ReleaseOp.AddPlace add) {
            rollout = rollout
                    .withAdded(new Place(add.place(), add.zone(), add.votes(), rollout.lastWave(), Stage.LEFT, 0))
                    .withEvent(at, add.place() + " was not known before, and is added");
        } else if (command instanceof ReleaseOp.Done) {
            rollout = rollout.inPhase(Phase.DONE, "").withEvent(at, "done");
        } else if (command instanceof ReleaseOp.Halt halt) {
            withdraw();
            rollout = rollout.inPhase(Phase.HALTED, halt.why()).withEvent(at, "halted: " + halt.why());
        } else if (command instanceof ReleaseOp.Resume) {
            rollout = rollout.inPhase(Phase.RUNNING, "").withEvent(at, "goes on");
        } else if (command instanceof ReleaseOp.Back) {
            withdraw();
            rollout = rollout.rolledBack().withEvent(at, "goes back to " + rollout.plan().from());
        }
    }

    /** Withdraws the requests of instances that have not shut down; one that has shut down returns by itself. */
    protected void withdraw() {
        for (Place place : rollout.places()) {
            Disruption disruption = disruptions.get(disruptionTarget(place));
            if (place.stage() == Stage.ASKED && (disruption == null
                    || disruption.requestId().equals(rollout.requestId(place))
                            && disruption.reason() == Disruption.Reason.RELEASE
                            && disruptions.apply(new DisruptionCommand.Withdraw(disruptionTarget(place),
                                    disruption.requestId())).isApplied())) {
                rollout = rollout.withChanged(place.inStage(Stage.LEFT, place.attempt()));
            }
        }
    }

    /** Whether the disruption that was requested for that instance has ended, so that it may be requested again. */
    public boolean hasReturned(Place place) {
        Disruption disruption = disruptions.get(disruptionTarget(place));
        return place.stage() == Stage.ASKED
                && (disruption == null || !disruption.requestId().equals(rollout.requestId(place)));
    }

    private static DisruptionTarget disruptionTarget(Place place) {
        return new DisruptionTarget(DisruptionTarget.Kind.INSTANCE, place.name(), place.zone());
    }

    // ---- reading

    /**
     * The version in which an instance that shuts down has to be started again; empty where it does not shut down for
     * the rollout.
     *
     * @param requestId of the request under which it shuts down
     */
    public String versionFor(String instance, String requestId) {
        Place place = rollout == null ? null : rollout.place(instance);
        return place != null && rollout.requestId(place).equals(requestId) ? rollout.target() : "";
    }

    /** The rollout in progress, or the last one; null where there was none. */
    public Release release() {
        return rollout;
    }

    /** Replaces the state by that of a snapshot. */
    public void replace(Release other) {
        rollout = other;
    }
}
