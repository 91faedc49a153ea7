package topazladder.config;

import com.google.protobuf.TextFormat;
import java.util.ArrayList;
import java.util.List;
import topazladder.config.proto.ReleasePlan;
import topazladder.release.Judge;
import topazladder.release.Plan;

/** A release's plan as operators write it: protobuf text format, checked without any instance. */
public final class RolloutPlanFile {
    private static final int MOST_WAVES = 64;

    private RolloutPlanFile() {}

    /** @throws InvalidSettingsException what is wrong, and where */
    public static Plan of(String text) {
        ReleasePlan p;
        try {
            p = TextFormat.parse(text, ReleasePlan.class);
        } catch (TextFormat.ParseException e) {
            throw new InvalidSettingsException("plan: line " + e.getLine() + ": " + e.getMessage());
        }
        String from = p.getFrom().getName();
        String to = p.getTo().getName();
        if (from.isBlank() || to.isBlank() || from.equals(to)) {
            throw new InvalidSettingsException(
                    "plan: from.name and to.name should be two versions: '" + from + "', '" + to + "'");
        }
        if (p.getWavesCount() == 0 || p.getWavesCount() > MOST_WAVES) {
            throw new InvalidSettingsException("plan: waves should be 1 to " + MOST_WAVES + ": " + p.getWavesCount());
        }
        readable(p);
        List<Plan.Wave> waves = new ArrayList<>();
        for (ReleasePlan.Wave w : p.getWavesList()) {
            String at = "waves[" + waves.size() + "].";
            waves.add(new Plan.Wave(w.getZone(), (int) number(at + "most", w.hasMost() ? w.getMost() : 0, 0, 10_000),
                    number(at + "share", w.hasShare() ? w.getShare() : 1, 0.001, 1),
                    number(at + "soak", w.hasSoak() ? w.getSoak() : 60, 0, 86_400)));
        }
        ReleasePlan.Judge j = p.getJudge();
        Judge.Terms usual = Judge.Terms.USUAL;
        return new Plan(p.getName().isBlank() ? to : p.getName(), from, to, List.copyOf(waves), new Judge.Terms(
                number("judge.payoff", j.hasPayoff() ? j.getPayoff() : usual.payoff(), 0.001, 1),
                number("judge.broken_off", j.hasBrokenOff() ? j.getBrokenOff() : usual.failed(), 0.0001, 1),
                number("judge.memory", j.hasMemory() ? j.getMemory() : usual.memory(), 1.01, 100),
                number("judge.error", j.hasError() ? j.getError() : usual.error(), 1e-6, 0.2)),
                number("patience", p.hasPatience() ? p.getPatience() : 120, 1, 86_400),
                (int) number("tries", p.hasTries() ? p.getTries() : 2, 1, 10),
                (int) number("most_out", p.hasMostOut() ? p.getMostOut() : 1, 0, 10_000), p.getOneWay());
    }

    /** Each has to read what the other leaves behind, or a way back is only a word. */
    private static void readable(ReleasePlan p) {
        if (p.getTo().getReads() > 0 && p.getTo().getReads() < p.getFrom().getWrites()) {
            throw new InvalidSettingsException(
                    "plan: " + p.getTo().getName() + " reads up to schema " + p.getTo().getReads() + ", and "
                            + p.getFrom().getName() + " writes " + p.getFrom().getWrites());
        }
        if (!p.getOneWay() && p.getFrom().getReads() > 0 && p.getFrom().getReads() < p.getTo().getWrites()) {
            throw new InvalidSettingsException("plan: there is no way back, as " + p.getFrom().getName()
                    + " reads up to schema "
                    + p.getFrom().getReads() + ", and " + p.getTo().getName() + " writes " + p.getTo().getWrites()
                    + "; say one_way: true if that is meant");
        }
    }

    private static double number(String what, double value, double least, double most) {
        if (!(value >= least && value <= most)) {
            throw new InvalidSettingsException("plan: " + what + " should be " + least + " to " + most + ": " + value);
        }
        return value;
    }
}
