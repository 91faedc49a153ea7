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

    private final ScheduledThreadPoolExecutor thread;
    private final double rate;

    /** @param rate how fast the clock of this process runs; its timers run as fast */
    GroupThread(String name, double rate) {
        this.rate = rate;
        thread = new ScheduledThreadPoolExecutor(1, r -> {
            Thread t = new Thread(r, "group-" + name);
            t.setDaemon(true);
            return t;
        });
        thread.setRemoveOnCancelPolicy(true);
        thread.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    @Override
    public void schedule(double seconds, Runnable what) {
        try {
            thread.schedule(() -> {
                try {
                    what.run();
                } catch (RuntimeException e) {
                    LOG.error("a fault of the group's thread", e);
                }
            }, Math.max(0, Math.round(seconds / rate * 1e9)), TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            LOG.debug("after the end of the group's thread", e);
        }
    }

    void execute(Runnable what) {
        schedule(0, what);
    }

    /** What is under way comes to its end; nothing new begins. */
    void end() {
        thread.shutdown();
    }
}
