package topazladder.service;

/** Runs tasks later, on the one thread that owns all state. */
public interface Scheduler {

    /** Runs a task once, after a delay in seconds. */
    void schedule(double delaySeconds, Runnable task);
}
