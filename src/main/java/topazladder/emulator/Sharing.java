package topazladder.emulator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.DoubleUnaryOperator;
import topazladder.service.Scheduler;

/**
 * So many servers shared by all jobs at once: each job gets one whole server, or its part where there are more jobs.
 * Cores and what lies below are both of this kind; the crowd's cost is a part of its capacity that a crowd loses.
 */
final class Sharing {
    /** Speeds change slowly: between two events no job runs by a stale one for longer. */
    private static final double LONGEST_STEP = 0.05;

    private static final class Job {
        double left;
        final Runnable done;

        Job(double left, Runnable done) {
            this.left = left;
            this.done = done;
        }
    }

    private final DoubleSupplier clock;
    private final Scheduler timers;
    private final double servers;
    private final DoubleSupplier speed;
    private final DoubleUnaryOperator keptOf;
    /** Emptied as jobs end or are taken out. */
    private final Map<Object, Job> jobs = new LinkedHashMap<>();
    private double asOf;
    private double rate;
    private double busy;
    private long wake;

    /** @param keptOf the part of its capacity that is left with so many jobs on each server */
    Sharing(DoubleSupplier clock, Scheduler timers, double servers, DoubleSupplier speed, DoubleUnaryOperator keptOf) {
        this.clock = clock;
        this.timers = timers;
        this.servers = servers;
        this.speed = speed;
        this.keptOf = keptOf;
        asOf = clock.getAsDouble();
    }

    int size() {
        return jobs.size();
    }

    /** Server-seconds used since the start. */
    double busy() {
        advance();
        return busy;
    }

    void add(Object name, double work, Runnable done) {
        advance();
        jobs.put(name, new Job(work, done));
        plan();
    }

    boolean remove(Object name) {
        advance();
        boolean had = jobs.remove(name) != null;
        plan();
        return had;
    }

    void clear() {
        advance();
        jobs.clear();
        wake++;
    }

    private void advance() {
        double now = clock.getAsDouble();
        double passed = now - asOf;
        asOf = now;
        if (passed > 0) {
            busy += passed * Math.min(servers, jobs.size());
            jobs.values().forEach(j -> j.left -= passed * rate);
        }
    }

    private void plan() {
        int n = jobs.size();
        long mine = ++wake;
        if (n == 0) {
            return;
        }
        rate = speed.getAsDouble() * Math.min(1, servers / n) * keptOf.applyAsDouble(n / servers);
        double least = jobs.values().stream().mapToDouble(j -> j.left).min().orElse(0);
        timers.schedule(Math.min(LONGEST_STEP, Math.max(0, least / rate)), () -> {
            if (mine == wake) {
                turn();
            }
        });
    }

    private void turn() {
        advance();
        List<Job> over = new ArrayList<>();
        jobs.entrySet().removeIf(e -> e.getValue().left <= 1e-9 && over.add(e.getValue()));
        plan();
        over.forEach(j -> j.done.run());
    }
}
