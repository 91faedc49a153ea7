package topazladder.lease;

import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * A task that a member runs while it holds a lease. All calls come on the one thread that owns the holder's state; a
 * task that has to wait does so on another thread, and checks its permission again after each wait.
 */
public interface LeasedTask {

    /**
     * Starts the task under a new token. It is never called before the task has stopped under the previous one.
     *
     * @param fencingToken the token under which the lease was granted
     * @param permission to be called just before each effect; returns the token to send along with the effect, or empty
     * once effects are no longer allowed
     * @param onFailure to be called with the reason if the task can't continue; it must have no effect under the token
     * after that
     */
    void start(long fencingToken, Supplier<OptionalLong> permission, Consumer<String> onFailure);

    /**
     * Stops the task.
     *
     * @param withinSeconds time after which no effect is allowed any more, whether or not the task has stopped
     * @param onStopped to be called once the task has no further effect under the token
     */
    void stop(double withinSeconds, Runnable onStopped);
}
