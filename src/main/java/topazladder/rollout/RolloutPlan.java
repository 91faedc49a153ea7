package topazladder.rollout;

import java.util.List;

/**
 * How a cluster is taken from one version to another.
 *
 * @param name for operators
 * @param from version A, which the instances run before
 * @param to version B, which they are to run
 * @param waves in order; instances that are in none of them form one more wave at the end
 * @param thresholds by how much B may be worse in the canary analysis
 * @param returnTimeoutSeconds seconds that an updated instance may stay away before the rollout is halted
 * @param maxAttempts attempts to update one instance
 * @param maxOtherDisruptions instances that may be unavailable for other reasons before the rollout is halted
 * @param oneWay whether there is no rollback, as A can't read what B writes
 */
public record RolloutPlan(String name, String from, String to, List<Wave> waves, CanaryAnalysis.Thresholds thresholds,
        double returnTimeoutSeconds, int maxAttempts,
        int maxOtherDisruptions, boolean oneWay) {

    /**
     * A part of the instances.
     *
     * @param zone of the instances, or empty for all zones
     * @param maxInstances instances in the wave; 0 for no limit
     * @param share of all instances in that zone, over 0 and at most 1
     * @param soakSeconds seconds for which the wave is analysed before the next one starts
     */
    public record Wave(String zone, int maxInstances, double share, double soakSeconds) {
    }

    /** The version to which the rollout, or its rollback, takes the instances. */
    public String targetVersion(boolean back) {
        return back ? from : to;
    }

    /**
     * Soak seconds of that wave by the plan; an additional last wave has those of the wave before. The rollout
     * controller uses 0 instead in a rollback, and once all instances are updated: the last wave has no soak.
     */
    double soakSeconds(int wave) {
        return waves.isEmpty() ? 0 : waves.get(Math.min(wave, waves.size() - 1)).soakSeconds();
    }
}
