package topazladder.rollout;

import java.util.List;
import topazladder.disruption.Disruption;
import topazladder.disruption.DisruptionCommand;
import topazladder.disruption.DisruptionStateMachine;
import topazladder.disruption.DisruptionTarget;
import topazladder.lease.LeaseState;
import topazladder.lease.LeaseStateMachine;
import topazladder.rollout.Rollout.Phase;
import topazladder.rollout.RolloutTarget.Stage;

/**
 * The replicated state of the rollout in progress, or of the last one: the same commands in the same order give the
 * same state at every voter.
 *
 * <p>Invariants: there is one rollout at a time; only the holder of the rollout lease advances it, under the latest
 * fencing token; an instance that is updated is not requested again in the same direction; while the rollout is halted
 * nothing is requested for it.
 *
 * <p>The lease is checked only for commands whose fencing token is above 0. Those of operators carry 0, and pass
 * without it.
 */
public class RolloutStateMachine {
    private final LeaseStateMachine leases;
    private final DisruptionStateMachine disruptions;
    private Rollout rollout;

    /** Creates a state machine without a rollout, which reads the leases and changes the disruptions. */
    public RolloutStateMachine(LeaseStateMachine leases, DisruptionStateMachine disruptions) {
        this.leases = leases;
        this.disruptions = disruptions;
    }

    /**
     * What became of a command.
     *
     * @param rolloutId of the rollout that it was applied to; 0 where there is none
     * @param rejection why the command changed nothing, or null if it was applied
     */
    public record Outcome(long rolloutId, String rejection) {

        /** Whether the command took effect. */
        public boolean isApplied() {
            return rejection == null;
        }
    }

    /** Applies one command of the log. */
    public Outcome apply(RolloutCommand command) {
        String rejection = command.proposer().isLeaseHolder() ? leaseRejection(command.proposer()) : null;
        rejection = rejection != null ? rejection : rejection(command);
        if (rejection != null) {
            return new Outcome(rollout == null ? 0 : rollout.id(), rejection);
        }
        execute(command);
        return new Outcome(rollout.id(), null);
    }

    // ---- checks

    /** Why the proposer may not advance the rollout, or null where it may. */
    protected String leaseRejection(RolloutCommand.Proposer by) {
        LeaseState lease = leases.get(by.leaseName());
        return lease != null && lease.isHeld() && lease.fencingToken() == by.fencingToken() ? null
                : "the proposer does not hold the lease " + by.leaseName() + " under the fencing token "
                        + by.fencingToken();
    }

    private String rejection(RolloutCommand command) {
        if (command instanceof RolloutCommand.Start start) {
            return rollout != null && !rollout.isDone()
                    ? "a rollout is under way: " + rollout.plan().name() + ", " + rollout.phase()
                    : start.targets().isEmpty() ? "the rollout covers no instance" : null;
        }
        if (rollout == null) {
            return "there is no rollout";
        }
        if (command instanceof RolloutCommand.Halt halt) {
            return isOther(halt.rolloutId()) ? "rollout " + halt.rolloutId() + " is over"
                    : rollout.phase() != Phase.RUNNING ? "the rollout is " + rollout.phase() + " already" : null;
        } else if (command instanceof RolloutCommand.Resume resume) {
            return isOther(resume.rolloutId()) || rollout.phase() != Phase.HALTED
                    ? "rollout " + resume.rolloutId() + " is not halted" : null;
        } else if (command instanceof RolloutCommand.RollBack back) {
            return isOther(back.rolloutId()) ? "rollout " + back.rolloutId() + " is not the last one"
                    : rollout.isRollback() ? "the rollout is rolled back already"
                            : rollout.plan().oneWay() ? "the plan says that there is no way back (one_way: true)"
                                    : null;
        } else if (command instanceof RolloutCommand.RequestGrant ask) {
            return rejectionOfStep(ask.rolloutId(), ask.generation(), () -> rejectionOfRequest(ask));
        } else if (command instanceof RolloutCommand.RecordFailedUpdate missed) {
            return rejectionOfStep(missed.rolloutId(), missed.generation(),
                    () -> rollout.findTarget(missed.instance()) == null
                            || !hasReturned(rollout.findTarget(missed.instance())) ? missed.instance() + " is not back"
                                    : null);
        } else if (command instanceof RolloutCommand.RecordUpdate moved) {
            return rejectionOfStep(moved.rolloutId(), moved.generation(),
                    () -> rollout.findTarget(moved.instance()) == null
                            || rollout.findTarget(moved.instance()).stage() == Stage.MOVED
                                    ? moved.instance() + " is updated already, or not part of the rollout" : null);
        } else if (command instanceof RolloutCommand.StartWave next) {
            return rejectionOfStep(next.rolloutId(), next.generation(), () -> next.wave() != rollout.wave() + 1
                    ? "the rollout is in wave " + rollout.wave() + ", which wave " + next.wave() + " does not follow"
                    : !rollout.isWaveUpdated(leaseHolder(next.proposer())) ? "wave " + rollout.wave() + " is not done"
                            : null);
        } else if (command instanceof RolloutCommand.AddTarget add) {
            return rejectionOfStep(add.rolloutId(), add.generation(), () -> rollout.findTarget(add.instance()) != null
                    ? add.instance() + " is part of the rollout already" : null);
        } else if (command instanceof RolloutCommand.Complete done) {
            return rejectionOfStep(done.rolloutId(), done.generation(), () -> rollout.targets().stream()
                    .allMatch(place -> place.stage() == Stage.MOVED) ? null : "some instances are not updated");
        }
        return null;
    }

    private String leaseHolder(RolloutCommand.Proposer by) {
        LeaseState lease = leases.get(by.leaseName());
        return lease == null || !lease.isHeld() ? "" : lease.holder().name();
    }

    private boolean isOther(long id) {
        return id != rollout.id();
    }

    /** Rejects a step of another rollout or of an earlier direction, then any while the rollout does not run. */
    private String rejectionOfStep(long id, int started, java.util.function.Supplier<String> furtherChecks) {
        return isOther(id) || started != rollout.generation()
                ? "the step is of another rollout, or of another direction"
                : rollout.phase() != Phase.RUNNING ? "the rollout is " + rollout.phase() : furtherChecks.get();
    }

    /** Why no grant is requested: the step was taken before, its wave has not started, or another voter is away. */
    protected String rejectionOfRequest(RolloutCommand.RequestGrant ask) {
        RolloutTarget place = rollout.findTarget(ask.instance());
        if (place == null || place.stage() != Stage.LEFT || ask.attempt() != place.attempt() + 1) {
            return "attempt " + ask.attempt() + " to update " + ask.instance() + " is not its next";
        } else if (place.wave() > rollout.wave()) {
            return "wave " + place.wave() + " of " + ask.instance() + " has not started";
        }
        Disruption disruption = disruptions.get(disruptionTarget(place));
        if (disruption != null && disruption.usesBudget()
                && !(rollout.isRollback() && disruption.phase() == Disruption.Phase.RETURNING)) {
            return ask.instance() + " is unavailable already";
        }
        return place.isVoter() && rollout.targets().stream()
                .anyMatch(other -> other.isVoter() && other.stage() == Stage.ASKED)
                        ? "another voter is being updated" : null;
    }

    // ---- changes; the texts of the events are part of the replicated state and stay

    private void execute(RolloutCommand command) {
        long at = command.proposer().atMillis();
        if (command instanceof RolloutCommand.Start start) {
            rollout = new Rollout(rollout == null ? 1 : rollout.id() + 1, start.plan(), false, Phase.RUNNING, "", 0, 1,
                    start.targets(), List.of())
                            .withEvent(at, "starts: " + start.plan().from() + " to " + start.plan().to());
        } else if (command instanceof RolloutCommand.RequestGrant ask) {
            RolloutTarget place = rollout.findTarget(ask.instance()).inStage(Stage.ASKED, ask.attempt());
            disruptions.apply(new DisruptionCommand.Request(disruptionTarget(place), Disruption.Reason.RELEASE,
                    rollout.requestId(place), "release " + rollout.plan().name()));
            rollout = rollout.withChanged(place).withEvent(at, place.name() + " is asked for");
        } else if (command instanceof RolloutCommand.RecordFailedUpdate missed) {
            RolloutTarget place = rollout.findTarget(missed.instance());
            rollout = rollout.withChanged(place.inStage(Stage.LEFT, place.attempt()))
                    .withEvent(at, place.name() + " came back as it was");
        } else if (command instanceof RolloutCommand.RecordUpdate moved) {
            RolloutTarget place = rollout.findTarget(moved.instance());
            rollout = rollout.withChanged(place.inStage(Stage.MOVED, place.attempt()))
                    .withEvent(at, place.name() + " runs " + rollout.targetVersion());
        } else if (command instanceof RolloutCommand.StartWave next) {
            rollout = rollout.inWave(next.wave()).withEvent(at, "wave " + next.wave());
        } else if (command instanceof RolloutCommand.AddTarget add) {
            rollout = rollout
                    .withAdded(new RolloutTarget(add.instance(), add.zone(), add.isVoter(), rollout.lastWave(),
                            Stage.LEFT, 0))
                    .withEvent(at, add.instance() + " was not known before, and is added");
        } else if (command instanceof RolloutCommand.Complete) {
            rollout = rollout.inPhase(Phase.DONE, "").withEvent(at, "done");
        } else if (command instanceof RolloutCommand.Halt halt) {
            withdrawRequests();
            rollout = rollout.inPhase(Phase.HALTED, halt.reason()).withEvent(at, "halted: " + halt.reason());
        } else if (command instanceof RolloutCommand.Resume) {
            rollout = rollout.inPhase(Phase.RUNNING, "").withEvent(at, "goes on");
        } else if (command instanceof RolloutCommand.RollBack) {
            withdrawRequests();
            rollout = rollout.rolledBack().withEvent(at, "goes back to " + rollout.plan().from());
        }
    }

    /** Withdraws the requests of instances that have not shut down; one that has shut down returns by itself. */
    protected void withdrawRequests() {
        for (RolloutTarget place : rollout.targets()) {
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
    public boolean hasReturned(RolloutTarget place) {
        Disruption disruption = disruptions.get(disruptionTarget(place));
        return place.stage() == Stage.ASKED
                && (disruption == null || !disruption.requestId().equals(rollout.requestId(place)));
    }

    private static DisruptionTarget disruptionTarget(RolloutTarget place) {
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
        RolloutTarget place = rollout == null ? null : rollout.findTarget(instance);
        return place != null && rollout.requestId(place).equals(requestId) ? rollout.targetVersion() : "";
    }

    /** The rollout in progress, or the last one; null where there was none. */
    public Rollout rollout() {
        return rollout;
    }

    /** Replaces the state by that of a snapshot. */
    public void restore(Rollout other) {
        rollout = other;
    }
}
