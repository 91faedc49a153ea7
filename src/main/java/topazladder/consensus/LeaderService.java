package topazladder.consensus;

import java.util.List;

/**
 * The part of a domain that runs only at the group's leader: it observes, decides and proposes commands. Whatever it
 * keeps outside the replicated state is lost when the leader's term ends. All times are seconds by the replica's clock.
 */
public interface LeaderService {

    /** This voter leads from now on, and has applied everything that earlier leaders committed. */
    void becomeLeader(double now);

    /** This voter no longer leads, or can't be sure that it does. May be called on a voter that never led. */
    void stepDown();

    /** Called twice per heartbeat interval while this voter leads. */
    void tick(double now);

    /**
     * Commands that bring the replicated state in line with this voter's settings. They are proposed when this voter
     * becomes leader, and again after its settings were reloaded.
     *
     * @param groupGeneration number of times that an operator formed the group anew
     */
    default List<?> settingsCommands(long groupGeneration) {
        return List.of();
    }

    /**
     * A command of any domain was applied at this voter, leader or not. The callback must not call the log directly;
     * see {@link ReplicatedLog#runLater}.
     */
    default void commandApplied(double now, Object command, Object outcome) {
        // most services read the replicated state at their next tick
    }
}
