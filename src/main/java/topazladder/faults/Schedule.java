package topazladder.faults;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import topazladder.faults.Fault.Kind;

/**
 * What breaks when in one play. The same seed draws the same one.
 *
 * @param clocks how fast each process's clock runs
 * @param quiet seconds after the last fault, in which all must come right again
 */
public record Schedule(long seed, int processes, int voters, List<Double> clocks, List<Fault> faults, double quiet) {
    /** Clocks run up to so far fast or slow. */
    private static final double CLOCKS = 0.05;
    private static final double FIRST_FAULT = 6;
    private static final double SHORTEST = 0.03;
    private static final double LONGEST = 8;
    private static final int STORM = 5;

    /** Seconds in all. */
    public double length() {
        return faults.stream().mapToDouble(Fault::end).max().orElse(FIRST_FAULT) + quiet;
    }

    /** Without one of its faults; to find the shortest that still breaks. */
    public Schedule without(int fault) {
        List<Fault> left = new ArrayList<>(faults);
        left.remove(fault);
        return new Schedule(seed, processes, voters, clocks, List.copyOf(left), quiet);
    }

    public static int votersOf(int processes) {
        return processes >= 9 ? 5 : 3;
    }

    public static Schedule draw(long seed, int processes, double quiet) {
        return draw(seed, processes, quiet, Kind.ordinary(), 3 + new SplittableRandom(seed ^ 77).nextInt(6));
    }

    /** So many faults of these kinds, some of them at the same time. */
    public static Schedule draw(long seed, int processes, double quiet, Set<Kind> kinds, int count) {
        SplittableRandom chance = new SplittableRandom(seed);
        int voters = votersOf(processes);
        List<Double> clocks = new ArrayList<>();
        for (int i = 0; i < processes; i++) {
            // The ends of what is allowed matter most.
            clocks.add(chance.nextInt(3) == 0 ? 1 + CLOCKS : chance.nextInt(2) == 0 ? 1 - CLOCKS
                    : chance.nextDouble(1 - CLOCKS, 1 + CLOCKS));
        }
        List<Kind> from = List.copyOf(kinds);
        List<Fault> faults = new ArrayList<>();
        // Each folder that is lost is a voter less until it is taken in again: with a majority lost nobody may go on.
        int wiped = 0;
        double at = FIRST_FAULT;
        int last = -1;
        for (int i = 0; i < count; i++) {
            Kind kind = from.get(chance.nextInt(from.size()));
            // Two troubles of one process show more than two of two; and the voters are few.
            int who = last >= 0 && chance.nextInt(2) == 0 ? last
                    : chance.nextInt(3) == 0 ? chance.nextInt(voters) : chance.nextInt(processes);
            last = who;
            int other = (who + 1 + chance.nextInt(processes - 1)) % processes;
            double seconds = SHORTEST * StrictMath.pow(LONGEST / SHORTEST, chance.nextDouble());
            double amount = 0;
            switch (kind) {
                case WIPE -> {
                    if (who < voters && ++wiped > (voters - 1) / 2) {
                        kind = Kind.KILL;
                    }
                    other = -1;
                }
                case HALVES -> {
                    other = 1 + chance.nextInt((1 << Math.min(processes, 20)) - 2);
                    who = -1;
                }
                case BRIDGE -> other = 1 + chance.nextInt((1 << Math.min(processes, 20)) - 2);
                case FLAP -> {
                    amount = chance.nextDouble(0.05, 0.8);
                    other = -1;
                }
                case DELAY, TRICKLE -> {
                    amount = chance.nextDouble(0.05, 3);
                    other = -1;
                    who = chance.nextInt(4) == 0 ? Fault.LEADER : who;
                }
                case LOSS -> {
                    who = -1;
                    other = -1;
                    amount = chance.nextDouble(0.05, 0.6);
                }
                case KILL_ALL -> {
                    who = -1;
                    other = -1;
                }
                case DISK_FULL -> {
                    who = chance.nextInt(voters);
                    other = -1;
                    amount = 1 + chance.nextInt(30);
                }
                case MINORITY -> {
                    who = -1;
                    other = -1;
                }
                case CUT, DROP, ONE_WAY -> {
                }
                default -> {
                    other = -1;
                    // What breaks of those on whom all hangs shows the most.
                    int role = chance.nextInt(4);
                    who = kind == Kind.WIPE || role > 1 ? who : role == 0 ? Fault.LEADER : Fault.HOLDER;
                }
            }
            faults.add(new Fault(at, kind, who, other, seconds, amount));
            at += chance.nextInt(2) == 0 ? chance.nextDouble(0.01, 0.5) : chance.nextDouble(0.5, 5);
        }
        faults.sort(Comparator.comparingDouble(Fault::at));
        return new Schedule(seed, processes, voters, List.copyOf(clocks), List.copyOf(faults), quiet);
    }

    /**
     * Trouble of the voters alone, close together, of the kinds that a vote which is forgotten, a folder that is
     * believed
     * in or an answer of long ago take to show; five members, of which three or all vote.
     */
    public static Schedule storm(long seed, double quiet) {
        SplittableRandom chance = new SplittableRandom(seed ^ 0x570a);
        int voters = chance.nextBoolean() ? 3 : 5;
        List<Double> clocks = new ArrayList<>();
        for (int i = 0; i < STORM; i++) {
            clocks.add(chance.nextBoolean() ? 1 + CLOCKS : 1 - CLOCKS);
        }
        List<Fault> faults = new ArrayList<>();
        double at = 4;
        boolean wiped = false;
        int rounds = 3 + chance.nextInt(4);
        for (int r = 0; r < rounds; r++) {
            int a = chance.nextInt(voters);
            int b = (a + 1 + chance.nextInt(voters - 1)) % voters;
            int c = third(chance, voters, a, b);
            double of = chance.nextDouble(0.4, 2.5);
            switch (chance.nextInt(4)) {
                // The leader is out of the way, and who votes for the next one dies right behind its vote.
                case 0 -> {
                    faults.add(new Fault(at, chance.nextBoolean() ? Kind.KILL : Kind.ISOLATE, Fault.LEADER, -1, of, 0));
                    faults.add(new Fault(at, Kind.KILL_AT_VOTE, a, -1, 3, 0));
                    faults.add(new Fault(at, Kind.KILL_AT_VOTE, b, -1, 3, 0));
                    at += of * chance.nextDouble(0.6, 1.4);
                }
                // One lags behind; then one that was there loses all, and the third is away when the first is back.
                case 1 -> {
                    faults.add(new Fault(at, Kind.ISOLATE, a, -1, of + 1, 0));
                    faults.add(new Fault(at + 0.3, Kind.KILL, Fault.HOLDER, -1, 0.3, 0));
                    faults.add(new Fault(at + of, wiped ? Kind.KILL : Kind.WIPE, b, -1, 0.05, 0));
                    faults.add(new Fault(at + of, Kind.ISOLATE, c, -1, 2.5, 0));
                    wiped = true;
                    at += of + 1;
                }
                // Answers come long after they were given, to one that leads, does not, and leads again.
                case 2 -> {
                    faults.add(new Fault(at, Kind.DELAY, a, -1, 2 * of, chance.nextDouble(1, 8)));
                    faults.add(new Fault(at + 0.5 * of, Kind.ISOLATE, Fault.LEADER, -1, of, 0));
                    faults.add(new Fault(at + 1.6 * of, Kind.ISOLATE, b, -1, of, 0));
                    faults.add(new Fault(at + 2.2 * of, Kind.ISOLATE, a, -1, 2, 0));
                    at += 2 * of;
                }
                default -> {
                    faults.add(new Fault(at, Kind.MINORITY, -1, -1, of, 0));
                    faults.add(new Fault(at + of * chance.nextDouble(), Kind.KILL, a, -1, 0.05, 0));
                    at += of;
                }
            }
            at += chance.nextDouble(0.01, 1.2);
        }
        faults.sort(Comparator.comparingDouble(Fault::at));
        return new Schedule(seed, STORM, voters, List.copyOf(clocks), List.copyOf(faults), quiet);
    }

    private static int third(SplittableRandom chance, int voters, int a, int b) {
        int c = chance.nextInt(voters);
        while (c == a || c == b) {
            c = (c + 1) % voters;
        }
        return c;
    }
}
