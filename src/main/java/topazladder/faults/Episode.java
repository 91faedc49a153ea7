package topazladder.faults;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import topazladder.faults.Fault.Kind;

/**
 * One trouble of a hall, of faults that come together as they do where things share a zone, a switch, a disk or an
 * operator.
 *
 * @param released whether a release is begun with it
 */
public record Episode(What what, Schedule schedule, boolean released) {
    private static final int ZONES = 4;
    private static final double LONGEST = 8;

    /** What it is, by its cause. */
    public enum What {
        /** One fault as schedules draw them. */
        SINGLE,
        /** Two or three at a time. */
        SOME,
        /** All of a zone end at once. */
        ZONE_LOST,
        /** Two zones and the other two do not hear each other. */
        SWITCH_LOST,
        /** The disks of all voters are full. */
        DISKS_FULL,
        /** Half of the hall stands still. */
        HALF_STALLS,
        /** One after another is told to leave and comes back, in a hurry. */
        RESTARTS,
        /** Leader and holder are cut off together. */
        MINORITY,
        /** All processes end at once. */
        ALL_END,
        /** Nothing but a release. */
        RELEASE,
        /** A release, and a switch that is lost in the middle of it. */
        RELEASE_PARTED
    }

    /** The one of that number: the same for the same seed. */
    public static Episode draw(long seed, int number, int processes, int voters) {
        SplittableRandom chance = new SplittableRandom(seed * 1_000_003 + number);
        What what = What.values()[number % What.values().length];
        return of(what, chance, processes, voters, seed * 1000 + number);
    }

    /** One of that kind. */
    public static Episode of(What what, SplittableRandom chance, int processes, int voters, long seed) {
        List<Fault> faults = new ArrayList<>();
        double of = chance.nextDouble(3, LONGEST);
        switch (what) {
            case SINGLE, SOME -> faults.addAll(Schedule.draw(seed, processes, 0, Kind.ordinary(),
                    what == What.SINGLE ? 1 : 2 + chance.nextInt(2)).faults());
            case ZONE_LOST -> {
                int zone = chance.nextInt(ZONES);
                for (int i = 0; i < processes; i++) {
                    if (zone(i) == zone) {
                        faults.add(new Fault(0, Kind.KILL, i, -1, of, 0));
                    }
                }
            }
            case SWITCH_LOST -> faults.add(new Fault(0, Kind.HALVES, -1, switched(processes), of, 0));
            case DISKS_FULL -> {
                for (int i = 0; i < voters; i++) {
                    faults.add(new Fault(0, Kind.DISK_FULL, i, -1, of, 1));
                }
            }
            case HALF_STALLS -> {
                for (int i = 0; i < processes; i += 2) {
                    faults.add(new Fault(0, Kind.STALL, i, -1, of, 0));
                }
            }
            case RESTARTS -> {
                for (int i = 0; i < processes; i++) {
                    faults.add(new Fault(i * 0.8, Kind.LEAVE, i, -1, 1, 0));
                }
            }
            case MINORITY -> faults.add(new Fault(0, Kind.MINORITY, -1, -1, of, 0));
            case ALL_END -> faults.add(new Fault(0, Kind.KILL_ALL, -1, -1, of, 0));
            case RELEASE_PARTED -> faults.add(new Fault(10, Kind.HALVES, -1, switched(processes), 2 * of, 0));
            default -> {
            }
        }
        return new Episode(what, new Schedule(seed, processes, voters, Collections.nCopies(processes, 1.0),
                List.copyOf(faults), 0), what == What.RELEASE || what == What.RELEASE_PARTED);
    }

    public static int zone(int process) {
        return process % Links.SIDES % ZONES;
    }

    private static int switched(int processes) {
        int side = 0;
        for (int i = 0; i < Math.min(processes, Links.SIDES); i++) {
            side |= zone(i) < ZONES / 2 ? 1 << i : 0;
        }
        return side;
    }
}
