package topazladder.net.amqp;

import io.vertx.core.Vertx;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import topazladder.lease.LeasedTask;

/**
 * The one consumer of a queue. It is given up in order once all that it has in hand has its outcome; past its time
 * what is left is given back to the broker, which brings it to the next one. A broker checks no token: a holder that
 * stands still keeps what it had in hand until the broker's heartbeat finds it, and the next one consumes meanwhile.
 */
final class ConsumeWork implements LeasedTask {
    private static final long LOOK_MS = 20;

    /** The queue's link. */
    interface Queue {

        void begin();

        /** No more deliveries. */
        void end();

        /** What is in hand goes back to the broker at once. */
        void giveBack();
    }

    private final Vertx vertx;
    private final Queue queue;
    private final IntSupplier inFlight;
    private long look = -1;

    /** @param inFlight deliveries without an outcome */
    ConsumeWork(Vertx vertx, Queue queue, IntSupplier inFlight) {
        this.vertx = vertx;
        this.queue = queue;
        this.inFlight = inFlight;
    }

    @Override
    public void start(long token, Supplier<OptionalLong> leave, Consumer<String> failed) {
        queue.begin();
        // Past its leave it must not go on, whether anybody has told it to stop or not.
        look = vertx.setPeriodic(LOOK_MS, id -> {
            if (leave.get().isEmpty()) {
                vertx.cancelTimer(look);
                queue.end();
                queue.giveBack();
            }
        });
    }

    @Override
    public void stop(double within, Runnable done) {
        vertx.cancelTimer(look);
        queue.end();
        long until = System.nanoTime() + Math.round(within * 0.8 * 1e9);
        look = vertx.setPeriodic(1, LOOK_MS, id -> {
            boolean late = System.nanoTime() >= until;
            if (late) {
                queue.giveBack();
            }
            if (late || inFlight.getAsInt() == 0) {
                vertx.cancelTimer(id);
                done.run();
            }
        });
    }
}
