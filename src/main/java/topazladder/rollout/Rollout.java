package topazladder.rollout;

import java.util.ArrayList;
import java.util.List;
import topazladder.rollout.RolloutTarget.Stage;

/**
 * The replicated state of one rollout; immutable.
 *
 * @param id grows from rollout to rollout
 * @param isRollback whether it is a rollback, towards A
 * @param phase whether it runs, is halted or done
 * @param haltReason why it is halted, or empty
 * @param wave in progress
 * @param generation times that it took a direction: 1, and 2 once it is rolled back; part of the ids of its
 *     requests, so that those of the earlier direction no longer count
 * @param targets its instances
 * @param history the latest events, in order
 */
public record Rollout(long id, RolloutPlan plan, boolean isRollback, Phase phase, String haltReason, int wave,
        int generation,
        List<RolloutTarget> targets, List<Event> history) {
    /** Events that are kept. */
    static final int MAX_EVENTS = 4096;

    /** Printed by name, sent and stored by ordinal: names and order stay. */
    public enum Phase { RUNNING, HALTED, DONE }

    /**
     * One step, for operators.
     *
     * @param atMillis time of day at the proposer; nothing is decided by it
     * @param description what happened
     */
    public record Event(long atMillis, String description) {
    }

    /** Whether the rollout has ended: all instances are updated. The analysis may have had nothing to compare. */
    public boolean isDone() {
        return phase == Phase.DONE;
    }

    /** The version to which it takes the instances now. */
    public String targetVersion() {
        return plan.targetVersion(isRollback);
    }

    /** The target for the instance of that name, or null if the rollout does not cover it. */
    public RolloutTarget findTarget(String name) {
        return targets.stream().filter(place -> place.name().equals(name)).findFirst().orElse(null);
    }

    /** The id of an instance's request for a grant; stored, so its form stays. */
    public String requestId(RolloutTarget place) {
        return "release " + id + '.' + generation + '/' + place.name() + '/' + place.attempt();
    }

    /** Whether the wave and all before it are updated, apart from the rollout lease's holder, which is last. */
    boolean isWaveUpdated(String leaseHolder) {
        return targets.stream().allMatch(place -> place.wave() > wave || place.stage() == Stage.MOVED
                || place.name().equals(leaseHolder));
    }

    int lastWave() {
        return targets.stream().mapToInt(RolloutTarget::wave).max().orElse(0);
    }

    Rollout withChanged(RolloutTarget changed) {
        return new Rollout(id, plan, isRollback, phase, haltReason, wave, generation, targets.stream()
                .map(place -> place.name().equals(changed.name()) ? changed : place).toList(), history);
    }

    Rollout withAdded(RolloutTarget place) {
        List<RolloutTarget> more = new ArrayList<>(targets);
        more.add(place);
        return new Rollout(id, plan, isRollback, phase, haltReason, wave, generation, List.copyOf(more), history);
    }

    Rollout inPhase(Phase next, String reason) {
        return new Rollout(id, plan, isRollback, next, reason, wave, generation, targets, history);
    }

    Rollout inWave(int next) {
        return new Rollout(id, plan, isRollback, phase, haltReason, next, generation, targets, history);
    }

    /** Starts over towards A from the first wave; instances that run A already are found to be updated. */
    Rollout rolledBack() {
        return new Rollout(id, plan, true, Phase.RUNNING, "", 0, generation + 1, targets.stream()
                .map(place -> place.inStage(Stage.LEFT, 0)).toList(), history);
    }

    Rollout withEvent(long atMillis, String what) {
        List<Event> more = new ArrayList<>(history);
        more.add(new Event(atMillis, what));
        while (more.size() > MAX_EVENTS) {
            more.remove(0);
        }
        return new Rollout(id, plan, isRollback, phase, haltReason, wave, generation, targets, List.copyOf(more));
    }
}
