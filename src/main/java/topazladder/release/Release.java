package topazladder.release;

import java.util.ArrayList;
import java.util.List;
import topazladder.release.Place.Stage;

/**
 * The replicated state of one rollout; immutable.
 *
 * @param id grows from rollout to rollout
 * @param back whether it is a rollback, towards A
 * @param phase whether it runs, is halted or done
 * @param why it is halted, or empty
 * @param wave in progress
 * @param started times that it took a direction: 1, and 2 once it is rolled back; part of the ids of its requests, so
 *     that those of the earlier direction no longer count
 * @param places its instances
 * @param history the latest events, in order
 */
public record Release(long id, Plan plan, boolean back, Phase phase, String why, int wave, int started,
        List<Place> places, List<Event> history) {
    /** Events that are kept. */
    static final int MAX_EVENTS = 4096;

    /** Printed by name, sent and stored by ordinal: names and order stay. */
    public enum Phase { RUNNING, HALTED, DONE }

    /**
     * One step, for operators.
     *
     * @param atMillis time of day at the proposer; nothing is decided by it
     * @param what happened
     */
    public record Event(long atMillis, String what) {
    }

    /** Whether all instances are updated and the analysis has passed. */
    public boolean over() {
        return phase == Phase.DONE;
    }

    /** The version to which it takes the instances now. */
    public String target() {
        return plan.target(back);
    }

    /** The part of that instance, or null where it has none. */
    public Place place(String name) {
        return places.stream().filter(place -> place.name().equals(name)).findFirst().orElse(null);
    }

    /** The id of an instance's request for a grant; stored, so its form stays. */
    public String requestId(Place place) {
        return "release " + id + '.' + started + '/' + place.name() + '/' + place.attempt();
    }

    /** Whether the wave and all before it are updated, apart from the rollout lease's holder, which is last. */
    boolean isWaveUpdated(String leaseHolder) {
        return places.stream().allMatch(place -> place.wave() > wave || place.stage() == Stage.MOVED
                || place.name().equals(leaseHolder));
    }

    int lastWave() {
        return places.stream().mapToInt(Place::wave).max().orElse(0);
    }

    Release withChanged(Place changed) {
        return new Release(id, plan, back, phase, why, wave, started, places.stream()
                .map(place -> place.name().equals(changed.name()) ? changed : place).toList(), history);
    }

    Release withAdded(Place place) {
        List<Place> more = new ArrayList<>(places);
        more.add(place);
        return new Release(id, plan, back, phase, why, wave, started, List.copyOf(more), history);
    }

    Release inPhase(Phase next, String reason) {
        return new Release(id, plan, back, next, reason, wave, started, places, history);
    }

    Release inWave(int next) {
        return new Release(id, plan, back, phase, why, next, started, places, history);
    }

    /** Starts over towards A from the first wave; instances that run A already are found to be updated. */
    Release rolledBack() {
        return new Release(id, plan, true, Phase.RUNNING, "", 0, started + 1, places.stream()
                .map(place -> place.inStage(Stage.LEFT, 0)).toList(), history);
    }

    Release withEvent(long atMillis, String what) {
        List<Event> more = new ArrayList<>(history);
        more.add(new Event(atMillis, what));
        while (more.size() > MAX_EVENTS) {
            more.remove(0);
        }
        return new Release(id, plan, back, phase, why, wave, started, places, List.copyOf(more));
    }
}
