package topazladder.config;

import com.google.protobuf.TextFormat;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import topazladder.config.proto.FaultSchedule;
import topazladder.config.proto.FaultSchedule.FaultAt;
import topazladder.faults.Fault;
import topazladder.faults.Fault.Kind;
import topazladder.faults.Links;
import topazladder.faults.Schedule;

/**
 * A schedule of faults in a cluster as a file, {@code FaultSchedule} in protobuf text format: written from what was
 * drawn, changed by hand, played again. Times are in seconds; {@code clocks} are 1 by default, all else is 0 or absent.
 */
public final class FaultScheduleFile {
    private static final int MAX_PROCESSES = 2000;
    private static final int MAX_FAULTS = 10_000;
    private static final double MAX_SECONDS = 86_400;
    private static final double MIN_FLAP_SECONDS = 0.001;
    private static final Set<Integer> VOTER_COUNTS = Set.of(1, 3, 5, 7);
    /** Who a fault of {@link #OF_ALL} strikes, as {@link Fault#who} has it. */
    private static final int ALL_PROCESSES = -1;
    /** No second process, as {@link Fault#other} has it. */
    private static final int NO_OTHER = -1;
    private static final Set<Kind> PAIRS = Set.of(Kind.CUT, Kind.DROP, Kind.ONE_WAY);
    private static final Set<Kind> SIDES = Set.of(Kind.HALVES, Kind.BRIDGE);
    private static final Set<Kind> OF_ALL = Set.of(Kind.LOSS, Kind.KILL_ALL, Kind.MINORITY, Kind.HALVES);

    private FaultScheduleFile() {}

    /**
     * Reads the text of a schedule.
     *
     * @throws InvalidSettingsException names the first fault of the text, and where it stands
     */
    public static Schedule of(String text) {
        FaultSchedule file = SettingsChecks.parse("schedule", text, FaultSchedule.class);
        int processes = (int) inRange("processes", file.getProcesses(), 1, MAX_PROCESSES);
        int voters = file.getVoters();
        if (!VOTER_COUNTS.contains(voters) || voters > processes) {
            throw new InvalidSettingsException("schedule: voters should be 1, 3, 5 or 7 of the processes: " + voters);
        }
        if (file.getFaultsCount() > MAX_FAULTS || file.getClocksCount() > processes) {
            throw new InvalidSettingsException("schedule: there should be " + MAX_FAULTS
                    + " faults at most, and a clock a process: " + file.getFaultsCount() + ", "
                    + file.getClocksCount());
        }
        return new Schedule(file.getSeed(), processes, voters, clocks(file, processes), faults(file, processes),
                inRange("quiet", file.getQuiet(), 0, MAX_SECONDS));
    }

    private static List<Double> clocks(FaultSchedule file, int processes) {
        List<Double> clocks = new ArrayList<>();
        for (int i = 0; i < processes; i++) {
            clocks.add(i < file.getClocksCount() ? inRange("clocks[" + i + "]", file.getClocks(i), 0.5, 2) : 1);
        }
        return List.copyOf(clocks);
    }

    private static List<Fault> faults(FaultSchedule file, int processes) {
        List<Fault> faults = new ArrayList<>();
        for (FaultAt fault : file.getFaultsList()) {
            faults.add(fault("faults[" + faults.size() + "].", fault, processes));
        }
        return List.copyOf(faults);
    }

    private static Fault fault(String key, FaultAt fault, int processes) {
        Kind kind = kind(key, fault);
        int who = who(key, fault, processes);
        if ((who == ALL_PROCESSES) != OF_ALL.contains(kind)) {
            throw new InvalidSettingsException("schedule: " + key + "who "
                    + (who == ALL_PROCESSES ? "is missing" : "says nothing here") + " of " + fault.getKind());
        }
        int other = other(key, fault, kind, processes);
        double minAmount = kind == Kind.FLAP ? MIN_FLAP_SECONDS : 0;
        return new Fault(inRange(key + "at", fault.getAt(), 0, MAX_SECONDS), kind, who, other,
                inRange(key + "seconds", fault.getSeconds(), 0, MAX_SECONDS),
                inRange(key + "amount", fault.getAmount(), minAmount, MAX_SECONDS));
    }

    private static Kind kind(String key, FaultAt fault) {
        try {
            return Kind.valueOf(fault.getKind().toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new InvalidSettingsException(
                    "schedule: " + key + "kind is none that there is: '" + fault.getKind() + "'");
        }
    }

    private static int who(String key, FaultAt fault, int processes) {
        return switch (fault.getWho()) {
            case "" -> ALL_PROCESSES;
            case "leader" -> Fault.LEADER;
            case "holder" -> Fault.HOLDER;
            default -> process(key + "who", fault.getWho(), processes);
        };
    }

    /** The second process of a pair, or the processes of one side as bits. */
    private static int other(String key, FaultAt fault, Kind kind, int processes) {
        int other = NO_OTHER;
        if (PAIRS.contains(kind)) {
            other = process(key + "other", fault.getOther(), processes);
        } else if (SIDES.contains(kind)) {
            other = side(key, fault, processes);
        }
        if (!PAIRS.contains(kind) && !fault.getOther().isEmpty()
                || !SIDES.contains(kind) && fault.getSideCount() > 0) {
            throw new InvalidSettingsException(
                    "schedule: " + key + "other is for pairs, and side for halves and bridges");
        }
        return other;
    }

    private static int side(String key, FaultAt fault, int processes) {
        if (fault.getSideCount() == 0) {
            throw new InvalidSettingsException("schedule: " + key + "side is missing");
        }
        int bits = 0;
        for (String name : fault.getSideList()) {
            bits |= 1 << process(key + "side", name, Math.min(processes, Links.SIDES));
        }
        return bits;
    }

    private static int process(String key, String name, int processes) {
        if (name.matches("n[0-9]{1,4}") && Integer.parseInt(name.substring(1)) < processes) {
            return Integer.parseInt(name.substring(1));
        }
        throw new InvalidSettingsException(
                "schedule: " + key + " should be one of n0 to n" + (processes - 1) + ": '" + name + "'");
    }

    private static double inRange(String key, double value, double min, double max) {
        return SettingsChecks.inRange("schedule: " + key, value, min, max);
    }

    /** Writes a schedule as a text that {@link #of} reads as the same schedule. */
    public static String text(Schedule schedule) {
        FaultSchedule.Builder file = FaultSchedule.newBuilder().setSeed(schedule.seed())
                .setProcesses(schedule.processes()).setVoters(schedule.voters()).addAllClocks(schedule.clocks())
                .setQuiet(schedule.quiet());
        for (Fault fault : schedule.faults()) {
            file.addFaults(written(fault, schedule.processes()));
        }
        return TextFormat.printer().printToString(file.build());
    }

    private static FaultAt written(Fault fault, int processes) {
        FaultAt.Builder written = FaultAt.newBuilder().setAt(fault.at()).setKind(fault.kind().word())
                .setSeconds(fault.seconds()).setAmount(fault.amount());
        switch (fault.who()) {
            case ALL_PROCESSES -> {
            }
            case Fault.LEADER -> written.setWho("leader");
            case Fault.HOLDER -> written.setWho("holder");
            default -> written.setWho("n" + fault.who());
        }
        if (PAIRS.contains(fault.kind())) {
            written.setOther("n" + fault.other());
        } else if (SIDES.contains(fault.kind())) {
            for (int i = 0; i < Math.min(processes, Links.SIDES); i++) {
                if ((fault.other() >> i & 1) == 1) {
                    written.addSide("n" + i);
                }
            }
        }
        return written.build();
    }
}
