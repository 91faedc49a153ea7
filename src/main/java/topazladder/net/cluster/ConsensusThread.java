package topazladder.net.cluster;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazladder.service.Scheduler;

/**
 * The one thread that owns a voter's state. It is separate from the event loop because a voter's store waits for the
 * disk, which no request may do. The two hand work to each other as tasks.
 */
final class ConsensusThread implements Scheduler {
    private static final Logger LOG = LoggerFactory.getLogger(ConsensusThread.class);
    private static final double NANOS_PER_SECOND = 1e9;

    private final ScheduledThreadPoolExecutor executor;
    private final double clockRate;

    /**
     * Starts the thread.
     *
     * @param memberName for the thread's name
     * @param clockRate seconds that this process's clock counts in one true second; its timers run as fast
     */
    ConsensusThread(String memberName, double clockRate) {
        this.clockRate = clockRate;
        executor = new ScheduledThreadPoolExecutor(1, loop -> {
            Thread created = new Thread(loop, "group-" + memberName);
            created.setDaemon(true);
            return created;
        });
        executor.setRemoveOnCancelPolicy(true);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    @Override
    public void schedule(double seconds, Runnable task) {
        try {
            long delayNanos = Math.max(0, Math.round(seconds / clockRate * NANOS_PER_SECOND));
            executor.schedule(() -> runLogged(task), delayNanos, TimeUnit.NANOSECONDS);
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

    void execute(Runnable task) {
        schedule(0, task);
    }

    /** Lets the running task finish; tasks that are due later are dropped. */
    void end() {
        executor.shutdown();
    }
}
