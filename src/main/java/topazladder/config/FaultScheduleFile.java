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

/** Faults over a hall as a file, protobuf text format: written from what was drawn, changed by hand, played again. */
public final class FaultScheduleFile {
    private static final int MOST_PROCESSES = 2000;
    private static final int MOST_FAULTS = 10_000;
    private static final double LONGEST = 86_400;
    private static final Set<Kind> PAIRS = Set.of(Kind.CUT, Kind.DROP, Kind.ONE_WAY);
    private static final Set<Kind> SIDES = Set.of(Kind.HALVES, Kind.BRIDGE);
    private static final Set<Kind> OF_ALL = Set.of(Kind.LOSS, Kind.KILL_ALL, Kind.MINORITY, Kind.HALVES);

    private FaultScheduleFile() {}

    /** @throws InvalidSettingsException what is wrong, and where */
    public static Schedule of(String text) {
        FaultSchedule f;
        try {
            f = TextFormat.parse(text, FaultSchedule.class);
        } catch (TextFormat.ParseException e) {
            throw new InvalidSettingsException("schedule: line " + e.getLine() + ": " + e.getMessage());
        }
        int processes = (int) number("processes", f.getProcesses(), 1, MOST_PROCESSES);
        int voters = f.getVoters();
        if (!Set.of(1, 3, 5, 7).contains(voters) || voters > processes) {
            throw new InvalidSettingsException("schedule: voters should be 1, 3, 5 or 7 of the processes: " + voters);
        }
        if (f.getFaultsCount() > MOST_FAULTS || f.getClocksCount() > processes) {
            throw new InvalidSettingsException(
                    "schedule: there should be " + MOST_FAULTS + " faults at most, and a clock a process");
        }
        List<Double> clocks = new ArrayList<>();
        for (int i = 0; i < processes; i++) {
            clocks.add(i < f.getClocksCount() ? number("clocks[" + i + "]", f.getClocks(i), 0.5, 2) : 1);
        }
        List<Fault> faults = new ArrayList<>();
        for (FaultAt a : f.getFaultsList()) {
            faults.add(fault("faults[" + faults.size() + "].", a, processes));
        }
        return new Schedule(f.getSeed(), processes, voters, List.copyOf(clocks), List.copyOf(faults),
                number("quiet", f.getQuiet(), 0, LONGEST));
    }

    private static Fault fault(String at, FaultAt a, int processes) {
        Kind kind;
        try {
            kind = Kind.valueOf(a.getKind().toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new InvalidSettingsException("schedule: " + at + "kind is none that there is: '" + a.getKind() + "'");
        }
        int who = a.getWho().isEmpty() ? -1 : a.getWho().equals("leader") ? Fault.LEADER
                : a.getWho().equals("holder") ? Fault.HOLDER : process(at + "who", a.getWho(), processes);
        if ((who == -1) != OF_ALL.contains(kind)) {
            throw new InvalidSettingsException(
                    "schedule: " + at + "who " + (who == -1 ? "is missing" : "says nothing here") + " of "
                            + a.getKind());
        }
        int other = -1;
        if (PAIRS.contains(kind)) {
            other = process(at + "other", a.getOther(), processes);
        } else if (SIDES.contains(kind)) {
            if (a.getSideCount() == 0) {
                throw new InvalidSettingsException("schedule: " + at + "side is missing");
            }
            other = 0;
            for (String name : a.getSideList()) {
                other |= 1 << process(at + "side", name, Math.min(processes, Links.SIDES));
            }
        }
        if (!PAIRS.contains(kind) && !a.getOther().isEmpty() || !SIDES.contains(kind) && a.getSideCount() > 0) {
            throw new InvalidSettingsException(
                    "schedule: " + at + "other is for pairs, and side for halves and bridges");
        }
        double least = kind == Kind.FLAP ? 0.001 : 0;
        return new Fault(number(at + "at", a.getAt(), 0, LONGEST), kind, who, other,
                number(at + "seconds", a.getSeconds(), 0, LONGEST),
                number(at + "amount", a.getAmount(), least, LONGEST));
    }

    private static int process(String key, String name, int processes) {
        if (name.matches("n[0-9]{1,4}") && Integer.parseInt(name.substring(1)) < processes) {
            return Integer.parseInt(name.substring(1));
        }
        throw new InvalidSettingsException(
                "schedule: " + key + " should be one of n0 to n" + (processes - 1) + ": '" + name + "'");
    }

    private static double number(String key, double value, double least, double most) {
        if (value >= least && value <= most) {
            return value;
        }
        throw new InvalidSettingsException(
                "schedule: " + key + " should be a number from " + least + " to " + most + ": " + value);
    }

    /** What {@link #of} reads as the same schedule. */
    public static String text(Schedule s) {
        FaultSchedule.Builder all = FaultSchedule.newBuilder().setSeed(s.seed()).setProcesses(s.processes())
                .setVoters(s.voters()).addAllClocks(s.clocks()).setQuiet(s.quiet());
        for (Fault f : s.faults()) {
            FaultAt.Builder a = FaultAt.newBuilder().setAt(f.at()).setKind(f.kind().word()).setSeconds(f.seconds())
                    .setAmount(f.amount());
            if (f.who() != -1) {
                a.setWho(f.who() == Fault.LEADER ? "leader" : f.who() == Fault.HOLDER ? "holder" : "n" + f.who());
            }
            if (PAIRS.contains(f.kind())) {
                a.setOther("n" + f.other());
            } else if (SIDES.contains(f.kind())) {
                for (int i = 0; i < Math.min(s.processes(), Links.SIDES); i++) {
                    if ((f.other() >> i & 1) == 1) {
                        a.addSide("n" + i);
                    }
                }
            }
            all.addFaults(a);
        }
        return TextFormat.printer().printToString(all.build());
    }
}
