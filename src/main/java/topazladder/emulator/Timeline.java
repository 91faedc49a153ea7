package topazladder.emulator;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.DoubleSupplier;
import topazladder.service.Scheduler;

/** Virtual time: what is due happens in the order of its time, and of its making where times are equal. */
public final class Timeline implements Scheduler, DoubleSupplier {
    private record Due(double at, long order, Runnable what) {
    }

    private final PriorityQueue<Due> due =
            new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::order));
    private double now;
    private long order;

    public Timeline(double start) {
        now = start;
    }

    @Override
    public double getAsDouble() {
        return now;
    }

    @Override
    public void schedule(double seconds, Runnable what) {
        due.add(new Due(now + Math.max(0, seconds), order++, what));
    }

    /** Lets all happen that is due by then. */
    public void runUntil(double time) {
        while (!due.isEmpty() && due.peek().at() <= time) {
            Due next = due.poll();
            now = Math.max(now, next.at());
            next.what().run();
        }
        now = Math.max(now, time);
    }
}
