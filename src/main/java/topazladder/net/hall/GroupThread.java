package topazladder.net.hall;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazladder.service.Scheduler;

/**
 * The one thread that owns the group's state. It is not the event loop: a voter's store waits for its disk, and no
 * request may wait for that. What goes between the two is handed over as a task.
 */
final class GroupThread implements Scheduler {
    private static final Logger LOG = LoggerFactory.getLogger(GroupThread.class);
    private static final double NANOS_PER_SECOND = 1e9;

    private final ScheduledThreadPoolExecutor thread;
    private final double clockRate;

    /**
     * Starts the thread.
     *
     * @param name of the member, for the thread's name
     * @param clockRate seconds that this process's clock counts in one true second; its timers run as fast
     */
    GroupThread(String name, double clockRate) {
        this.clockRate = clockRate;
        thread = new ScheduledThreadPoolExecutor(1, loop -> {
            Thread created = new Thread(loop, "group-" + name);
            created.setDaemon(true);
            return created;
        });
        thread.setRemoveOnCancelPolicy(true);
        thread.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    @Override
    public void schedule(double seconds, Runnable what) {
        try {
            long delayNanos = Math.max(0, Math.round(seconds / clockRate * NANOS_PER_SECOND));
            thread.schedule(() -> runLogged(what), delayNanos, TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            LOG.debug("consensus task rejected reason=thread-ended", e);
        }
    }

    /** A task that fails must not end the thread: the tasks behind it still have to run. */
    private static void runLogged(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("consensus task failed", e);
        }
    }

    void execute(Runnable what) {
        schedule(0, what);
    }

    /** Lets the task that runs come to its end; none that is due later runs any more. */
    void end() {
        thread.shutdown();
    }
}
