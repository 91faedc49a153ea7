package topazladder.rig;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;
import topazladder.faults.Fault;
import topazladder.faults.Links;
import topazladder.faults.Schedule;

/** Plays a schedule of faults on real processes and on the relays between them, at twice the schedule's speed. */
final class FaultInjector {
    /** How much faster than a schedule says: its leases and quiet are made for virtual time. */
    private static final double SPEED = 2;
    private static final double LEAVE_MORE = 0.2;
    private static final double AT_ONCE = 0.1;
    private static final String FULL_AT_BYTES = "4096";

    /** Who has a role when a fault begins. */
    interface Roles {

        int leader() throws Exception;

        int holder() throws Exception;
    }

    private interface Action {
        void run() throws Exception;
    }

    private record Due(double at, Action what) {
    }

    private final RigPlan plan;
    private final RigProcesses processes;
    private final Roles roles;
    private final Vertx linksLoop;
    private final Links links;
    private final Happenings happenings;
    private final DoubleSupplier clock;
    private final RigProcesses.Listener listener;
    private final List<Due> due = new ArrayList<>(); // of the schedule being played
    private double start;

    /** @param linksLoop the loop that owns {@code links} */
    FaultInjector(RigPlan plan, RigProcesses processes, Roles roles, Vertx linksLoop, Links links,
            Happenings happenings, DoubleSupplier clock, RigProcesses.Listener listener) {
        this.plan = plan;
        this.processes = processes;
        this.roles = roles;
        this.linksLoop = linksLoop;
        this.links = links;
        this.happenings = happenings;
        this.clock = clock;
        this.listener = listener;
    }

    /** Returns when the last fault is over. */
    void play(Schedule schedule) throws Exception {
        double first = schedule.faults().stream().mapToDouble(Fault::at).min().orElse(0);
        start = clock.getAsDouble();
        for (Fault f : schedule.faults()) {
            due.add(new Due((f.at() - first) / SPEED, () -> begin(f)));
        }
        while (!due.isEmpty()) {
            due.sort((a, b) -> Double.compare(a.at(), b.at()));
            Due next = due.get(0);
            double wait = next.at() - (clock.getAsDouble() - start);
            if (wait > 0) {
                Thread.sleep((long) Math.ceil(wait * 1000));
            }
            due.remove(next);
            next.what().run();
        }
    }

    private void begin(Fault drawn) throws Exception {
        Fault f = withRoles(drawn);
        happenings.add("fault: " + f);
        double from = clock.getAsDouble() - start;
        double end = from + f.seconds() / SPEED;
        switch (f.kind()) {
            case STALL -> stall(f.who(), end);
            case KILL, WIPE -> kill(f, end);
            case KILL_ALL -> killAll(from, f.seconds() / SPEED);
            case LEAVE -> leave(f.who(), end);
            // Nobody outside sees a vote: killed at once, which is as good as any other moment.
            case KILL_AT_VOTE -> killAndStart(f.who(), from + AT_ONCE);
            case DISK_FULL -> fillDisk(f.who(), end);
            default -> breakLinks(f, end);
        }
    }

    private Fault withRoles(Fault drawn) throws Exception {
        if (drawn.kind() == Fault.Kind.MINORITY) {
            return drawn.halves(roles.leader(), roles.holder());
        }
        return drawn.who() == Fault.LEADER ? drawn.of(roles.leader())
                : drawn.who() == Fault.HOLDER ? drawn.of(roles.holder()) : drawn;
    }

    private void stall(int who, double end) throws Exception {
        if (processes.alive(who)) {
            Process stalled = processes.process(who);
            processes.stall(who, true);
            due.add(new Due(end, () -> processes.goOn(who, stalled)));
        }
    }

    private void kill(Fault f, double end) throws Exception {
        processes.kill(f.who());
        if (f.kind() == Fault.Kind.WIPE && f.who() < plan.voters()) {
            processes.loseFolder(f.who());
        }
        due.add(new Due(end, () -> processes.start(f.who())));
    }

    private void killAll(double from, double seconds) throws Exception {
        for (int i = 0; i < plan.count(); i++) {
            killAndStart(i, from + seconds * (1 + i) / plan.count());
        }
    }

    private void killAndStart(int who, double startAt) throws Exception {
        processes.kill(who);
        due.add(new Due(startAt, () -> processes.start(who)));
    }

    private void leave(int who, double end) {
        processes.leave(who);
        due.add(new Due(end + LEAVE_MORE, () -> {
            boolean inOrder = processes.awaitLeft(who);
            if (!inOrder) {
                processes.kill(who);
            }
            listener.ended(who, inOrder);
            processes.start(who);
        }));
    }

    private void fillDisk(int who, double end) throws Exception {
        if (processes.alive(who)) {
            Process full = processes.process(who);
            RigProcesses.limitFiles(full, FULL_AT_BYTES);
            due.add(new Due(end, () -> RigProcesses.limitFiles(full, "unlimited")));
        }
    }

    private void breakLinks(Fault f, double end) throws Exception {
        Fault moved = moved(f);
        OnLoop.get(linksLoop, () -> {
            links.begin(moved);
            return null;
        });
        due.add(new Due(end, () -> {
            OnLoop.get(linksLoop, () -> {
                links.end(moved);
                return null;
            });
            happenings.add("over: " + f);
        }));
    }

    /** On the rig's own clock, at its speed. */
    private static Fault moved(Fault f) {
        return new Fault(f.at(), f.kind(), f.who(), f.other(), f.seconds(),
                f.kind() == Fault.Kind.LOSS ? f.amount() : f.amount() / SPEED);
    }
}
