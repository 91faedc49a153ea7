package topazladder.consensus;

import java.util.List;

/**
 * What one domain does at the group's leader alone: it watches, decides and proposes commands. What it knows besides
 * the replicated state is lost with the leader's term. All times are seconds by the replica's clock.
 */
public interface LeaderService {

    /** This voter leads from now on, and knows all that leaders before it have committed. */
    void becomeLeader(double now);

    /** This voter does not lead any more, or can't know whether it does. May be called without having led. */
    void stepDown();

    /** Called twice in a heartbeat while this voter leads. */
    void tick(double now);

    /**
     * What the settings of this voter have to say to the group; proposed when this voter becomes leader, and again when
     * its settings were changed.
     *
     * @param groupGeneration how often the group was formed anew by hand
     */
    default List<?> settingsCommands(long groupGeneration) {
        return List.of();
    }

    /**
     * A command of any domain was applied at this voter, whether it leads or not. It must not replicate from within.
     */
    default void commandApplied(double now, Object command, Object outcome) {
        // most services look at the replicated state at their next tick
    }
}
