package topazladder.emulator;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;
import topazladder.request.Outcome;
import topazladder.service.Scheduler;

/**
 * The machine that does an instance's work: cores shared by all that runs, slower while it is cold and in a crowd.
 * A run makes its call halfway and goes on once it has the reply, or is told to do without.
 */
public final class Runtime {

    /** Who hears what becomes of the runs. */
    public interface Listener {

        void ended(String ref, Outcome how, double elapsed, byte[] result);

        void wants(String ref, long notice, byte[] body);
    }

    /**
     * @param coldFrom part of its speed that it starts with
     * @param warmAfter seconds until it is warm
     * @param crowd runs on each core from which on a crowd costs capacity
     */
    public record Shape(double cores, double speed, double coldFrom, double warmAfter, double crowd) {
    }

    private static final class Run {
        final double started;
        final Work work;
        boolean called;
        boolean poorer;

        Run(double started, Work work) {
            this.started = started;
            this.work = work;
        }
    }

    private final DoubleSupplier clock;
    private final Shape shape;
    private final Listener listener;
    private final Sharing cores;
    private final Map<String, Run> runs = new HashMap<>(); // emptied as they end
    private final double bornAt;
    private long notices;
    private double busyBefore;
    private double lookedAt;
    private double use;

    public Runtime(DoubleSupplier clock, Scheduler timers, Shape shape, boolean cold, Listener listener) {
        this.clock = clock;
        this.shape = shape;
        this.listener = listener;
        bornAt = cold ? clock.getAsDouble() : clock.getAsDouble() - shape.warmAfter();
        lookedAt = clock.getAsDouble();
        cores = new Sharing(clock, timers, shape.cores(), this::speed,
                crowd -> 1 / (1 + 0.3 * Math.max(0, crowd - shape.crowd())));
    }

    private double speed() {
        double warm = Math.min(1, (clock.getAsDouble() - bornAt) / shape.warmAfter());
        return shape.speed() * (shape.coldFrom() + (1 - shape.coldFrom()) * warm);
    }

    public void start(String ref, byte[] body) {
        Run run = new Run(clock.getAsDouble(), Work.of(body));
        if (runs.putIfAbsent(ref, run) == null) {
            boolean calls = run.work.call() > 0;
            cores.add(ref, calls ? run.work.run() / 2 : run.work.run(), () -> halfOrWhole(ref, run));
        }
    }

    private void halfOrWhole(String ref, Run run) {
        if (run.work.call() > 0 && !run.called) {
            listener.wants(ref, ++notices, String.valueOf(run.work.call()).getBytes(StandardCharsets.US_ASCII));
        } else if (runs.remove(ref, run)) {
            listener.ended(ref, Outcome.SUCCEEDED, clock.getAsDouble() - run.started,
                    (run.poorer ? "poorer " + ref : "whole " + ref).getBytes(StandardCharsets.US_ASCII));
        }
    }

    /** Takes the cores for the reading of a request, which costs the same whatever is then decided. */
    public void read(double work, Runnable then) {
        cores.add(then, work, then);
    }

    /** Goes on with the reply, or without. */
    public void goOn(String ref, boolean poorer) {
        Run run = runs.get(ref);
        if (run != null && !run.called) {
            run.called = true;
            run.poorer = poorer;
            cores.add(ref, run.work.run() / 2, () -> halfOrWhole(ref, run));
        }
    }

    /** Part of the cores used since the last look, and runs that want one. */
    public double[] gauges() {
        double now = clock.getAsDouble();
        double busy = cores.busy();
        if (now - lookedAt >= 0.1) {
            use = (busy - busyBefore) / (now - lookedAt) / shape.cores();
            busyBefore = busy;
            lookedAt = now;
        }
        return new double[] {Math.min(1, use), cores.size()};
    }

    /** Runs on a core now. */
    int running() {
        return cores.size();
    }
}
