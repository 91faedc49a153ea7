package topazladder.lease;

import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Work that a member does while it holds a lease. All calls come on the one thread that owns the holder's state; a task
 * that needs to wait does so elsewhere, and looks at its permission again after each wait.
 */
public interface LeasedTask {

    /**
     * Begins the work under a new token, never before the work under the last one is stopped.
     *
     * @param fencingToken under which the lease was granted
     * @param permission to be asked just before each effect: the token to hand along with the effect while it may be
     * made, empty once it may not
     * @param onFailure to be called with the reason where the work can't go on; nothing is done under the token after
     * that
     */
    void start(long fencingToken, Supplier<OptionalLong> permission, Consumer<String> onFailure);

    /**
     * Ends the work.
     *
     * @param withinSeconds after which no effect is allowed any more, whether the work has ended or not
     * @param onStopped to be called once nothing is done under the token any more
     */
    void stop(double withinSeconds, Runnable onStopped);
}
