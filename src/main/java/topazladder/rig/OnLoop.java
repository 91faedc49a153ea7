package topazladder.rig;

import io.vertx.core.Vertx;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Does a piece of work on an event loop from another thread and waits for its result, so that objects owned by the loop
 * are made and read only there. For rigs and tests, which drive a loop from outside; the program itself never waits.
 */
public final class OnLoop {
    private static final long WAIT_SECONDS = 20;

    private OnLoop() {}

    /** @throws RuntimeException what the work threw; {@code TimeoutException} after 20 s */
    public static <T> T get(Vertx vertx, Supplier<T> what) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        vertx.runOnContext(v -> {
            try {
                done.complete(what.get());
            } catch (RuntimeException e) {
                done.completeExceptionally(e);
            }
        });
        return done.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }
}
