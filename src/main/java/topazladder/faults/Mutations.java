package topazladder.faults;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import topazladder.faults.Fault.Kind;

/** Schedules near another one: a little changed, for a search, or shorter, for whoever has to read one. */
public final class Mutations {
    private static final double FIRST = 6;
    private static final double LAST = 40;
    private static final double SHORTEST = 0.03;
    private static final double LONGEST = 15;
    private static final int MOST_FAULTS = 10;
    private static final List<Kind> OF_ONE = List.of(Kind.DEAF, Kind.MUTE, Kind.ISOLATE, Kind.FLAP, Kind.DELAY,
            Kind.TWICE, Kind.TRICKLE, Kind.STALL, Kind.KILL, Kind.LEAVE);
    private static final Set<Kind> WITH_AMOUNT = Set.of(Kind.FLAP, Kind.DELAY, Kind.TRICKLE);

    private Mutations() {}

    /** With one thing changed: a fault's time, length, kind or process, or a fault more or less. */
    public static Schedule mutated(Schedule s, RandomGenerator chance) {
        List<Fault> faults = new ArrayList<>(s.faults());
        int what = chance.nextInt(8);
        if (faults.isEmpty() || what == 0 && faults.size() < MOST_FAULTS) {
            faults.add(drawn(chance, s.processes()));
        } else if (what == 1 && faults.size() > 1) {
            faults.remove(chance.nextInt(faults.size()));
        } else {
            int at = chance.nextInt(faults.size());
            faults.set(at, changed(faults.get(at), what, chance, s));
        }
        faults.sort(Comparator.comparingDouble(Fault::at));
        return new Schedule(s.seed(), s.processes(), s.voters(), s.clocks(), List.copyOf(faults), s.quiet());
    }

    private static Fault drawn(RandomGenerator chance, int processes) {
        Kind kind = OF_ONE.get(chance.nextInt(OF_ONE.size()));
        return new Fault(chance.nextDouble(FIRST, LAST), kind, who(chance, processes), -1, seconds(chance),
                WITH_AMOUNT.contains(kind) ? chance.nextDouble(0.05, 3) : 0);
    }

    private static int who(RandomGenerator chance, int processes) {
        int role = chance.nextInt(4);
        return role == 0 ? Fault.LEADER : role == 1 ? Fault.HOLDER : chance.nextInt(processes);
    }

    private static double seconds(RandomGenerator chance) {
        return SHORTEST * StrictMath.pow(LONGEST / SHORTEST, chance.nextDouble());
    }

    private static Fault changed(Fault f, int what, RandomGenerator chance, Schedule s) {
        return switch (what) {
            case 2, 3 -> new Fault(Math.max(FIRST, f.at() + chance.nextDouble(-2, 2)), f.kind(), f.who(), f.other(),
                    f.seconds(), f.amount());
            case 4, 5 -> new Fault(f.at(), f.kind(), f.who(), f.other(), Math.min(LONGEST, f.seconds()
                    * chance.nextDouble(0.5, 2)), f.amount());
            case 6 -> OF_ONE.contains(f.kind()) ? f.of(who(chance, s.processes())) : drawn(chance, s.processes());
            default -> {
                Fault other = drawn(chance, s.processes());
                yield new Fault(f.at(), other.kind(), other.who(), -1, f.seconds(), other.amount());
            }
        };
    }

    /** One from which no fault can be left out, and none made half as long, without losing what is looked for. */
    public static Schedule shrunk(Schedule s, Predicate<Schedule> still) {
        Schedule least = s;
        boolean less = true;
        while (less) {
            less = false;
            for (int i = least.faults().size() - 1; i >= 0; i--) {
                Schedule without = least.without(i);
                if (still.test(without)) {
                    least = without;
                    less = true;
                }
            }
            for (int i = 0; i < least.faults().size(); i++) {
                Schedule shorter = shorter(least, i);
                if (shorter != null && still.test(shorter)) {
                    least = shorter;
                    less = true;
                }
            }
        }
        return least;
    }

    private static Schedule shorter(Schedule s, int at) {
        Fault f = s.faults().get(at);
        if (f.seconds() < 2 * SHORTEST) {
            return null;
        }
        List<Fault> faults = new ArrayList<>(s.faults());
        faults.set(at, new Fault(f.at(), f.kind(), f.who(), f.other(), f.seconds() / 2, f.amount()));
        return new Schedule(s.seed(), s.processes(), s.voters(), s.clocks(), List.copyOf(faults), s.quiet());
    }
}
