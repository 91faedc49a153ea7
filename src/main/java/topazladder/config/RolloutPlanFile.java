package topazladder.config;

import java.util.ArrayList;
import java.util.List;
import topazladder.config.proto.ReleasePlan;
import topazladder.rollout.CanaryAnalysis;
import topazladder.rollout.RolloutPlan;

/**
 * A rollout's plan as operators write it: {@code ReleasePlan} in protobuf text format, checked without any instance.
 * Durations are in seconds. The defaults:
 *
 * <ul>
 * <li>{@code name}: that of the version {@code to}; {@code patience}: 120; {@code tries}: 2; {@code most_out}: 1
 * <li>of each wave, {@code zone}: all zones; {@code most}: no limit; {@code share}: 1; {@code soak}: 60
 * <li>{@code judge}: {@link CanaryAnalysis.Thresholds#DEFAULT}
 * </ul>
 */
public final class RolloutPlanFile {
    private static final int MAX_WAVES = 64;
    private static final int MAX_INSTANCES = 10_000;
    private static final double MAX_SECONDS = 86_400;

    private RolloutPlanFile() {}

    /**
     * Reads the text of a plan.
     *
     * @throws InvalidSettingsException names the first fault
     */
    public static RolloutPlan of(String text) {
        ReleasePlan plan = SettingsChecks.parse("plan", text, ReleasePlan.class);
        String from = plan.getFrom().getName();
        String to = plan.getTo().getName();
        if (from.isBlank() || to.isBlank() || from.equals(to)) {
            throw new InvalidSettingsException(
                    "plan: from.name and to.name should be two versions: '" + from + "', '" + to + "'");
        }
        if (plan.getWavesCount() == 0 || plan.getWavesCount() > MAX_WAVES) {
            throw new InvalidSettingsException(
                    "plan: waves should be 1 to " + MAX_WAVES + ": " + plan.getWavesCount());
        }
        checkSchemas(plan);
        return new RolloutPlan(
                plan.getName().isBlank() ? to : plan.getName(),
                from,
                to,
                waves(plan),
                judge(plan.getJudge()),
                inRange("patience", plan.hasPatience() ? plan.getPatience() : 120, 1, MAX_SECONDS),
                (int) inRange("tries", plan.hasTries() ? plan.getTries() : 2, 1, 10),
                (int) inRange("most_out", plan.hasMostOut() ? plan.getMostOut() : 1, 0, MAX_INSTANCES),
                plan.getOneWay());
    }

    private static List<RolloutPlan.Wave> waves(ReleasePlan plan) {
        List<RolloutPlan.Wave> waves = new ArrayList<>();
        for (ReleasePlan.Wave wave : plan.getWavesList()) {
            String key = "waves[" + waves.size() + "].";
            waves.add(new RolloutPlan.Wave(
                    wave.getZone(),
                    (int) inRange(key + "most", wave.hasMost() ? wave.getMost() : 0, 0, MAX_INSTANCES),
                    inRange(key + "share", wave.hasShare() ? wave.getShare() : 1, 0.001, 1),
                    inRange(key + "soak", wave.hasSoak() ? wave.getSoak() : 60, 0, MAX_SECONDS)));
        }
        return List.copyOf(waves);
    }

    private static CanaryAnalysis.Thresholds judge(ReleasePlan.Judge judge) {
        CanaryAnalysis.Thresholds usual = CanaryAnalysis.Thresholds.DEFAULT;
        return new CanaryAnalysis.Thresholds(
                inRange("judge.payoff", judge.hasPayoff() ? judge.getPayoff() : usual.maxServedShareDrop(), 0.001, 1),
                inRange("judge.broken_off", judge.hasBrokenOff() ? judge.getBrokenOff() : usual.maxFailedShareRise(),
                        0.0001, 1),
                inRange("judge.memory", judge.hasMemory() ? judge.getMemory() : usual.maxMemoryRatio(), 1.01, 100),
                inRange("judge.error", judge.hasError() ? judge.getError() : usual.errorProbability(), 1e-6, 0.2));
    }

    /** Each version has to read what the other leaves behind, or a rollback would fail. */
    private static void checkSchemas(ReleasePlan plan) {
        ReleasePlan.Version from = plan.getFrom();
        ReleasePlan.Version to = plan.getTo();
        if (to.getReads() > 0 && to.getReads() < from.getWrites()) {
            throw new InvalidSettingsException("plan: " + unreadable(to, from));
        }
        if (!plan.getOneWay() && from.getReads() > 0 && from.getReads() < to.getWrites()) {
            throw new InvalidSettingsException("plan: there is no way back, as " + unreadable(from, to)
                    + "; say one_way: true if that is meant");
        }
    }

    private static String unreadable(ReleasePlan.Version reader, ReleasePlan.Version writer) {
        return reader.getName() + " reads up to schema " + reader.getReads() + ", and " + writer.getName()
                + " writes " + writer.getWrites();
    }

    private static double inRange(String key, double value, double min, double max) {
        return SettingsChecks.inRange("plan: " + key, value, min, max);
    }
}
