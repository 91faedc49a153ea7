package topazladder.faults;

import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;

/**
 * One thing that breaks, and for how long.
 *
 * @param at seconds from the schedule's start
 * @param who the process it is about, counted from 0; -1 for all, or a role by {@link #LEADER} and {@link #HOLDER}
 * @param other a second process, or a half of the hall as bits, by kind
 * @param seconds for which it lasts
 * @param amount by kind: seconds of delay, share that is lost, writes until the disk is full
 */
public record Fault(double at, Kind kind, int who, int other, double seconds, double amount) {

    /** Whoever leads the group when it begins. */
    public static final int LEADER = -2;
    /** Whoever holds the first duty when it begins. */
    public static final int HOLDER = -3;

    /** What may break. */
    public enum Kind {
        /** Both directions between two are reset and refused. */
        CUT,
        /** Both directions between two lose all, without a word. */
        DROP,
        /** What one says to another is lost; what it hears is not. */
        ONE_WAY,
        /** One hears nobody, and is heard. */
        DEAF,
        /** One hears everybody, and is heard by nobody. */
        MUTE,
        /** One hears nobody and is heard by nobody. */
        ISOLATE,
        /** The hall falls into two halves, given as bits. */
        HALVES,
        /** The same, but one is heard by both halves and hears both. */
        BRIDGE,
        /** Leader and holder of the first duty hear each other, and nobody else does. */
        MINORITY,
        /** One is isolated and back, in turns of {@code amount} seconds: faster than an election ends. */
        FLAP,
        /** All that one says and hears comes later, by up to {@code amount} seconds. */
        DELAY,
        /** A share of all that is said in the hall is lost. */
        LOSS,
        /** All that one says comes twice. */
        TWICE,
        /** What one says comes in small pieces; where pieces are not seen, later and one by one. */
        TRICKLE,
        /** The process stands still, and then goes on as if nothing had been. */
        STALL,
        /** The process ends at once, and is started again after that time. */
        KILL,
        /** The same, and its folder is lost. */
        WIPE,
        /** All processes end at once, and come back one after another. */
        KILL_ALL,
        /** It is told to leave, and is started again. */
        LEAVE,
        /** Its disk takes so many writes more and then none, until there is room again. */
        DISK_FULL,
        /** It is killed as soon as it has voted next, and started again at once; where votes are not seen, at once. */
        KILL_AT_VOTE;

        /** Those that are drawn where nothing else is said; what came later would change all draws of before. */
        public static Set<Kind> ordinary() {
            return EnumSet.range(CUT, DISK_FULL);
        }

        public String word() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    public double end() {
        return at + seconds;
    }

    /** The same of one process in place of a role. */
    public Fault of(int process) {
        return new Fault(at, kind, process, other, seconds, amount);
    }

    /** Two processes in place of roles, cut off from the others. */
    public Fault halves(int one, int two) {
        return new Fault(at, Kind.HALVES, -1, 1 << one | 1 << two, seconds, amount);
    }

    private static String name(int who) {
        return who == LEADER ? "the leader" : who == HOLDER ? "the holder" : who == -1 ? "all" : "n" + who;
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%.2f s: %s of %s%s for %.2f s%s", at, kind.word(), name(who),
                other >= 0 ? " with " + other : "", seconds, amount > 0 ? " by " + amount : "");
    }
}
