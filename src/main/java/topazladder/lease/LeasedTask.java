package topazladder.lease;

import java.util.OptionalLong;
import java.util.function.Supplier;

/**
 * What a duty does while its holder holds it. All calls come on the one thread that owns the holder's state; one that
 * needs to wait does so elsewhere, and looks at its leave again behind each wait.
 */
public interface LeasedTask {

    /**
     * Begin under this token, never before the last one is stopped.
     *
     * @param leave to be asked just before each effect: the token while it may be made, which goes along with the
     * effect; empty     once it may not
     * @param failed to be told where it can't go on, with the reason; nothing is done under the token after that
     */
    void start(long token, Supplier<OptionalLong> leave, java.util.function.Consumer<String> failed);

    /**
     * Come to an end: after {@code done} nothing is done under the token.
     *
     * @param within seconds; past them nothing is allowed any more, whether it has come to an end or not
     */
    void stop(double within, Runnable done);
}
