package topazladder.emulator;

import java.util.function.DoubleSupplier;
import topazladder.service.Scheduler;

/** What all instances call: slots shared by all calls, and slower on command. */
public final class Below {
    private final Sharing slots;
    private double speed = 1;

    public Below(DoubleSupplier clock, Scheduler timers, double slots) {
        this.slots = new Sharing(clock, timers, slots, () -> speed, crowd -> 1 / (1 + 0.1 * Math.max(0, crowd - 1)));
    }

    /** @param times how many times as long each call takes from now on */
    public void slowDown(double times) {
        speed = 1 / times;
    }

    public void call(Object name, double work, Runnable done) {
        slots.add(name, work, done);
    }

    public void giveUp(Object name) {
        slots.remove(name);
    }

    int inFlight() {
        return slots.size();
    }
}
