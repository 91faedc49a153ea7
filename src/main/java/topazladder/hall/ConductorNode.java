package topazladder.hall;

import java.util.List;
import java.util.OptionalLong;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import topazladder.lease.MemberIdentity;
import topazladder.release.Conductor;
import topazladder.release.ReleaseOp;
import topazladder.service.Scheduler;

/**
 * The conducting duty at its holder: asks the leader to be shown how things stand, decides, and says what should be
 * agreed on; a word that is lost is said anew from what is shown then. Without its lease it says nothing.
 */
public final class ConductorNode {
    private static final double BEAT = 0.5;
    private static final double PATIENCE = 1.5;

    private final MemberIdentity here;
    private final String duty;
    private final Scheduler timers;
    private final DoubleSupplier clock;
    private final LongSupplier timeOfDay;
    private final MemberNode member;
    private final Function<ReleaseOp.By, Conductor> maker;
    private Conductor conductor;
    private Supplier<OptionalLong> leave = OptionalLong::empty;
    private long number;
    private long generation;
    private boolean answered;

    /** @param maker of what decides; trials plant one that errs */
    public ConductorNode(MemberIdentity here, String duty, Scheduler timers, DoubleSupplier clock,
            LongSupplier timeOfDay,
            MemberNode member, Function<ReleaseOp.By, Conductor> maker) {
        this.here = here;
        this.duty = duty;
        this.timers = timers;
        this.clock = clock;
        this.timeOfDay = timeOfDay;
        this.member = member;
        this.maker = maker;
    }

    /** @param mayGoOn the token while it may go on */
    public void start(long token, Supplier<OptionalLong> mayGoOn) {
        leave = mayGoOn;
        conductor = maker.apply(new ReleaseOp.By(duty, token, 0));
        generation++;
        say(List.of());
    }

    public void stop() {
        generation++;
        conductor = null;
        leave = OptionalLong::empty;
    }

    private void say(List<ReleaseOp> ops) {
        if (conductor == null || leave.get().isEmpty()) {
            return;
        }
        long mine = ++number;
        answered = false;
        member.toLeader(new Saying.Conduct(here, mine, ops, conductor.doing()));
        again(PATIENCE, mine);
    }

    private void again(double in, long of) {
        long same = generation;
        timers.schedule(in, () -> {
            if (same == generation && of == number) {
                say(List.of());
            }
        });
    }

    /** What the leader shows; of an earlier question it says nothing about what was proposed since. */
    public void shown(Saying.Conducted c) {
        if (conductor == null || c.number() != number || answered || leave.get().isEmpty()) {
            return;
        }
        answered = true;
        List<ReleaseOp> ops = conductor.next(clock.getAsDouble(), timeOfDay.getAsLong(), c.view());
        if (ops.isEmpty()) {
            again(BEAT, c.number());
        } else {
            say(ops);
        }
    }
}
