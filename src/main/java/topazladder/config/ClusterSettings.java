package topazladder.config;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import topazladder.config.ServiceSettings.Address;
import topazladder.disruption.DisruptionBudget;

/**
 * The cluster that an instance is a member of: {@code hall} in the settings file.
 *
 * @param advertisedAddress where other members reach this one; the listen address of peering by default
 * @param seeds addresses of any members, through which the cluster is found
 * @param voters names of the members that vote: 3, 5 or 7, or 1 for trials; none, the default, for no consensus group
 *     and no leases
 * @param dataFolder where a voter persists its state, or null on a member that does not vote
 * @param heartbeatSeconds between the group leader's heartbeats: from 0.05 to 10, 0.5 by default
 * @param leases tasks that one member at a time runs
 * @param ineligibleForLeases whether this member takes no lease
 * @param probePeriodSeconds between two members probed by membership: from 0.05 to 60, 1 by default
 * @param routes addresses to use for members, by name, in place of those that they advertise
 * @param clockRate how fast this process's clock runs, from 0.5 to 2: 1, the default, but in rehearsals
 * @param disruptionBudgets what may be out of service at once by agreement
 * @param version that runs here, as rollouts name it, or empty
 * @param nextVersionFile where the version is written that this instance is to be restarted with, or null
 * @param shutdownNoticeSeconds for which an instance is reported as not ready before a shutdown that the cluster has
 *     agreed to: from 0 to 60, 1 by default
 * @param dependencyPool servers of the dependency to choose from, or null where GW_CONFIG names the one address
 */
public record ClusterSettings(Address advertisedAddress, List<Address> seeds, List<String> voters, Path dataFolder,
        double heartbeatSeconds, List<Lease> leases, boolean ineligibleForLeases, double probePeriodSeconds,
        Map<String, Address> routes, double clockRate, List<DisruptionBudget> disruptionBudgets, String version,
        Path nextVersionFile, double shutdownNoticeSeconds, DependencyPool dependencyPool) {

    /**
     * Servers of the dependency to choose from: {@code hall.below}.
     *
     * @param servers 1 to 200
     * @param maxLocallyEjectedShare share of the servers that one instance may eject by itself while no leader speaks
     *     to it: from 0 to 0.5, 0.25 by default
     */
    public record DependencyPool(List<Server> servers, double maxLocallyEjectedShare) {

        /**
         * One server of the dependency.
         *
         * @param name the same in the settings of all members
         */
        public record Server(String name, Address address) {
        }
    }

    /**
     * A task that one member at a time runs, under a lease: {@code hall.duties}.
     *
     * @param durationSeconds for which a holder goes on without word from the group: from 0.5 to 600 and at least four
     *     heartbeats, 10 by default
     * @param maxConsecutiveLosses holders that the task may bring down one after another before it is suspended: from
     *     1 to 16, 3 by default
     * @param task what the holder does
     */
    public record Lease(String name, double durationSeconds, int maxConsecutiveLosses, Task task) {
    }

    /** What the holder of a lease does. */
    public sealed interface Task {}

    /**
     * Reports the lease's name, its fencing token and its holder to a service.
     *
     * @param intervalSeconds between two reports: from 0.01 to 3600, 1 by default
     */
    public record Touch(Address address, double intervalSeconds) implements Task {
    }

    /**
     * Checks for all members whether the dependency can be reached.
     *
     * @param intervalSeconds between two checks: from 0.01 to 3600, 1 by default
     */
    public record Probe(double intervalSeconds) implements Task {
    }

    /** Consumes a queue of one of the brokers. */
    public record Consume(String broker, String queue) implements Task {
    }

    /** Conducts rollouts, by the plans that operators give. */
    public record ConductRollouts() implements Task {
    }
}
