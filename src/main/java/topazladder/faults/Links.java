package topazladder.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * What becomes of one message between two processes while faults are on; the same for emulated links and for relays.
 */
public final class Links {

    /**
     * @param lost nothing comes
     * @param reset both ends are told that the connection is gone
     * @param delay seconds on top of the usual
     * @param copies how often it comes; 1 is usual
     * @param pieces whether it comes in small ones
     */
    public record Fate(boolean lost, boolean reset, double delay, int copies, boolean pieces) {
        private static final Fate PLAIN = new Fate(false, false, 0, 1, false);
        private static final Fate LOST = new Fate(true, false, 0, 0, false);
        private static final Fate RESET = new Fate(true, true, 0, 0, false);
    }

    /** Processes of which a half can tell, by a bit each; those beyond go with the first ones. */
    public static final int SIDES = 30;

    private final RandomGenerator chance;
    private final List<Fault> on = new ArrayList<>();

    public Links(RandomGenerator chance) {
        this.chance = chance;
    }

    public void begin(Fault f) {
        on.add(f);
    }

    public void end(Fault f) {
        on.remove(f);
    }

    /** Whether nothing is broken now. */
    public boolean quiet() {
        return on.isEmpty();
    }

    /** Of one message that is said now. */
    public Fate fate(double now, int from, int to) {
        double delay = 0;
        int copies = 1;
        boolean pieces = false;
        for (Fault f : on) {
            boolean about = f.who() == from || f.who() == to;
            switch (f.kind()) {
                case CUT -> {
                    if (pair(f, from, to)) {
                        return Fate.RESET;
                    }
                }
                case DROP -> {
                    if (pair(f, from, to)) {
                        return Fate.LOST;
                    }
                }
                case ONE_WAY -> {
                    if (f.who() == from && f.other() == to) {
                        return Fate.LOST;
                    }
                }
                case DEAF -> {
                    if (f.who() == to) {
                        return Fate.LOST;
                    }
                }
                case MUTE -> {
                    if (f.who() == from) {
                        return Fate.LOST;
                    }
                }
                case ISOLATE -> {
                    if (about) {
                        return Fate.LOST;
                    }
                }
                case FLAP -> {
                    if (about && (long) ((now - f.at()) / f.amount()) % 2 == 0) {
                        return Fate.RESET;
                    }
                }
                case HALVES -> {
                    if (side(f, from) != side(f, to)) {
                        return Fate.LOST;
                    }
                }
                case BRIDGE -> {
                    if (side(f, from) != side(f, to) && !about) {
                        return Fate.LOST;
                    }
                }
                case LOSS -> {
                    if (chance.nextDouble() < f.amount()) {
                        return Fate.LOST;
                    }
                }
                case DELAY -> delay += about ? chance.nextDouble() * f.amount() : 0;
                case TRICKLE -> {
                    delay += f.who() == from ? f.amount() : 0;
                    pieces |= f.who() == from;
                }
                case TWICE -> copies = f.who() == from ? 2 : copies;
                default -> {
                }
            }
        }
        return delay == 0 && copies == 1 && !pieces ? Fate.PLAIN : new Fate(false, false, delay, copies, pieces);
    }

    private static boolean pair(Fault f, int from, int to) {
        return f.who() == from && f.other() == to || f.who() == to && f.other() == from;
    }

    private static boolean side(Fault f, int process) {
        return (f.other() >> process % SIDES & 1) == 1;
    }
}
