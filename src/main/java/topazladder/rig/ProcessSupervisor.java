package topazladder.rig;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import topazladder.emulator.hall.Supervisor;
import topazladder.faults.OutCount;

/**
 * Starts again what went as agreed, as supervisors of processes do or fail to do, and counts from outside who is out.
 */
final class ProcessSupervisor extends Thread {
    /** Seconds for which one may be down and not be known to be. */
    private static final double UNSEEN = 12;
    private static final double LATE = 6;
    /** Seconds after which an operator starts what the supervisor did not. */
    private static final double NEVER = 45;
    private static final double AT_ONCE = 0.1;
    /** Starts after each of which a looping process ends, and seconds until it does. */
    private static final int LOOPS = 2;
    private static final double LOOP_FOR = 2.5;
    private static final long LOOK_MS = 20;
    private static final int CONNECT_MS = 200;

    private final RigProcesses processes;
    private final RigPorts ports;
    private final Supervisor habits;
    private final SplittableRandom chance;
    private final Happenings happenings;
    private final RigProcesses.Listener listener;
    private final java.util.function.DoubleSupplier clock;
    private final int count;
    private final OutCount outs;
    private final boolean[] up;
    private final double[] startAt;
    private final double[] endAt;
    private final int[] loops;
    private final Process[] seen;
    private volatile boolean over;

    ProcessSupervisor(RigPlan plan, RigProcesses processes, RigPorts ports, SplittableRandom chance,
            Happenings happenings, RigProcesses.Listener listener,
            java.util.function.DoubleSupplier clock) {
        super("supervisor");
        this.processes = processes;
        this.ports = ports;
        this.habits = plan.supervisor();
        this.chance = chance;
        this.happenings = happenings;
        this.listener = listener;
        this.clock = clock;
        count = plan.count();
        outs = new OutCount(count, plan.budget(), UNSEEN);
        up = new boolean[count];
        startAt = new double[count];
        endAt = new double[count];
        loops = new int[count];
        seen = new Process[count];
        Arrays.fill(startAt, Double.NaN);
        Arrays.fill(endAt, Double.NaN);
        setDaemon(true);
    }

    List<String> breaks() {
        synchronized (outs) {
            return outs.breaks();
        }
    }

    int outNow() {
        synchronized (outs) {
            return outs.now();
        }
    }

    /** Who went as agreed so far, and how many at once at the most. */
    int[] wentAndMost() {
        synchronized (outs) {
            return new int[] {outs.went(), outs.most()};
        }
    }

    void end() throws InterruptedException {
        over = true;
        join();
    }

    @Override
    public void run() {
        try {
            while (!over) {
                for (int i = 0; i < count; i++) {
                    look(i);
                }
                Thread.sleep(LOOK_MS);
            }
        } catch (IOException | InterruptedException e) {
            happenings.add("the supervisor ended: " + e);
        }
    }

    private void look(int i) throws IOException {
        Process p = processes.process(i);
        double now = clock.getAsDouble();
        if (p.isAlive()) {
            lookAtLive(i, p, now);
            return;
        }
        if (seen[i] != p) {
            seen[i] = p;
            ended(i, p, now);
        }
        if (now >= startAt[i]) {
            startAt[i] = Double.NaN;
            processes.start(i);
            if (loops[i] > 0) {
                loops[i]--;
                endAt[i] = now + LOOP_FOR;
            }
        }
    }

    private void lookAtLive(int i, Process p, double now) {
        boolean listens = !up[i] && listens(i);
        synchronized (outs) {
            if (listens) {
                up[i] = true;
                outs.up(now, i);
            }
        }
        if (now >= endAt[i]) {
            endAt[i] = Double.NaN;
            happenings.add(RigSettings.name(i) + " ends soon after its start");
            p.destroyForcibly();
        }
    }

    private void ended(int i, Process p, double now) throws IOException {
        boolean inOrder = p.exitValue() == RigProcesses.WENT_AS_AGREED;
        synchronized (outs) {
            if (inOrder) {
                outs.agreed(now, i);
            }
            outs.down(now, i);
            up[i] = false;
        }
        listener.ended(i, inOrder);
        listener.forgot(i);
        if (inOrder) {
            startAt[i] = now + again(i);
        }
    }

    /** Seconds until it is started again. */
    private double again(int i) throws IOException {
        String next = processes.nextVersion(i);
        Supervisor.Does does = habits.next(chance);
        happenings.add(RigSettings.name(i) + " went as agreed, to be " + next + "; the supervisor does " + does);
        if (does != Supervisor.Does.WRONG) {
            processes.version(i, next);
        }
        loops[i] = does == Supervisor.Does.LOOPS ? LOOPS : 0;
        return does == Supervisor.Does.LATE ? LATE : does == Supervisor.Does.NEVER ? NEVER : AT_ONCE;
    }

    private boolean listens(int i) {
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress("127.0.0.1", ports.callers(i)), CONNECT_MS);
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
