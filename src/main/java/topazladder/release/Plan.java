package topazladder.release;

import java.util.List;

/**
 * How a cluster is taken from one version to another.
 *
 * @param name for operators
 * @param from version A, which the instances run before
 * @param to version B, which they are to run
 * @param waves in order; instances that are in none of them form one more wave at the end
 * @param judge by how much B may be worse in the canary analysis
 * @param patience seconds that an updated instance may stay away before the rollout is halted
 * @param tries attempts to update one instance
 * @param mostOut instances that may be unavailable for other reasons before the rollout is halted
 * @param oneWay whether there is no rollback, as A can't read what B writes
 */
public record Plan(String name, String from, String to, List<Wave> waves, Judge.Terms judge, double patience, int tries,
        int mostOut, boolean oneWay) {

    /**
     * A part of the instances.
     *
     * @param zone of the instances, or empty for all zones
     * @param most instances in the wave; 0 for no limit
     * @param share of all instances in that zone, over 0 and at most 1
     * @param soak seconds for which the wave is analysed before the next one starts
     */
    public record Wave(String zone, int most, double share, double soak) {
    }

    /** The version to which the rollout, or its rollback, takes the instances. */
    public String target(boolean back) {
        return back ? from : to;
    }

    /** Soak seconds of that wave; the additional last wave takes those of the wave before. */
    double soakSeconds(int wave) {
        return waves.isEmpty() ? 0 : waves.get(Math.min(wave, waves.size() - 1)).soak();
    }
}
