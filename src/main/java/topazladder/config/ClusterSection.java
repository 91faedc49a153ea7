package topazladder.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import topazladder.config.ClusterSettings.DependencyPool;
import topazladder.config.ClusterSettings.Lease;
import topazladder.config.ClusterSettings.Task;
import topazladder.config.ExtensionSettings.Peering;
import topazladder.config.ServiceSettings.Address;
import topazladder.config.proto.Consume;
import topazladder.config.proto.Duty;
import topazladder.config.proto.Hall;
import topazladder.disruption.DisruptionBudget;
import topazladder.disruption.DisruptionTarget;

/** Reads and checks the section {@code hall} of the settings file. */
final class ClusterSection {
    private static final int MAX_LEASES = 1000;
    private static final int MAX_DEPENDENCY_SERVERS = 200;
    private static final int MIN_HEARTBEATS_PER_LEASE = 4;
    private static final Set<Integer> VOTER_COUNTS = Set.of(0, 1, 3, 5, 7);

    private final Peering peering;
    private final List<BrokerSettings> brokers;
    private final SettingsFolder folder;

    /** What the section may refer to; the peering is null where it is off. */
    ClusterSection(Peering peering, List<BrokerSettings> brokers, SettingsFolder folder) {
        this.peering = peering;
        this.brokers = brokers;
        this.folder = folder;
    }

    ClusterSettings read(Hall section) {
        if (peering == null || peering.listen() == null) {
            throw new InvalidSettingsException("hall needs peering with listen");
        }
        List<String> voters = voters(section);
        List<Lease> leases = leases(section);
        Map<String, Address> routes = new HashMap<>();
        section.getRoutesList().forEach(
                route -> routes.put(route.getName(), Address.of("hall.routes.address", route.getAddress())));
        double heartbeatSeconds =
                inRange("heartbeat", section.hasHeartbeat() ? section.getHeartbeat() : 0.5, 0.05, 10);
        checkDurations(leases, heartbeatSeconds);
        return new ClusterSettings(
                section.getAdvertise().isEmpty() ? peering.listen()
                        : Address.of("hall.advertise", section.getAdvertise()),
                section.getSeedsList().stream().map(seed -> Address.of("hall.seeds", seed)).toList(),
                voters,
                folder.resolveOrNull(section.getFolder()),
                heartbeatSeconds,
                leases,
                section.getHoldsNone(),
                inRange("period", section.hasPeriod() ? section.getPeriod() : 1, 0.05, 60),
                routes,
                inRange("clock_rate", section.hasClockRate() ? section.getClockRate() : 1, 0.5, 2),
                budgets(section),
                section.getVersion(),
                folder.resolveOrNull(section.getNextFile()),
                inRange("notice", section.hasNotice() ? section.getNotice() : 1, 0, 60),
                section.hasBelow() ? dependencyPool(section) : null);
    }

    private static double inRange(String name, double value, double min, double max) {
        return SettingsChecks.inRange("hall." + name, value, min, max);
    }

    private static List<String> voters(Hall section) {
        Set<String> voters = new LinkedHashSet<>(section.getVotersList());
        if (voters.size() != section.getVotersCount() || !VOTER_COUNTS.contains(voters.size())) {
            throw new InvalidSettingsException(
                    "hall.voters should be 3, 5 or 7 names that differ: " + section.getVotersList());
        }
        if (section.getDutiesCount() > 0 && voters.isEmpty()) {
            throw new InvalidSettingsException("hall.duties need hall.voters");
        }
        return List.copyOf(voters);
    }

    private List<Lease> leases(Hall section) {
        List<Lease> leases = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Duty lease : section.getDutiesList()) {
            String key = "hall.duties[" + leases.size() + "].";
            SettingsChecks.uniqueName(key + "name", lease.getName(), names);
            double durationSeconds =
                    SettingsChecks.inRange(key + "lease", lease.hasLease() ? lease.getLease() : 10, 0.5, 600);
            double maxConsecutiveLosses = SettingsChecks.inRange(key + "most_losses",
                    lease.hasMostLosses() ? lease.getMostLosses() : 3, 1, 16);
            leases.add(new Lease(lease.getName(), durationSeconds, (int) maxConsecutiveLosses, task(key, lease)));
        }
        if (leases.size() > MAX_LEASES) {
            throw new InvalidSettingsException("hall.duties should be " + MAX_LEASES + " at most: " + leases.size());
        }
        return leases;
    }

    /** A lease that is shorter would end at a change of leaders, which takes some heartbeats. */
    private static void checkDurations(List<Lease> leases, double heartbeatSeconds) {
        for (Lease lease : leases) {
            if (lease.durationSeconds() < MIN_HEARTBEATS_PER_LEASE * heartbeatSeconds) {
                throw new InvalidSettingsException("hall.duties.lease of " + lease.name()
                        + " should be at least four heartbeats: " + lease.durationSeconds());
            }
        }
    }

    private Task task(String key, Duty lease) {
        return switch (lease.getWhatCase()) {
            case TOUCH -> new ClusterSettings.Touch(
                    Address.of(key + "touch.address", lease.getTouch().getAddress()),
                    SettingsChecks.inRange(key + "touch.every",
                            lease.getTouch().hasEvery() ? lease.getTouch().getEvery() : 1, 0.01, 3600));
            case PROBE -> {
                if (!lease.getProbe().getService().equals("index")) {
                    throw new InvalidSettingsException(
                            key + "probe.service should be index: '" + lease.getProbe().getService() + "'");
                }
                yield new ClusterSettings.Probe(SettingsChecks.inRange(key + "probe.every",
                        lease.getProbe().hasEvery() ? lease.getProbe().getEvery() : 1, 0.01, 3600));
            }
            case CONSUME -> consume(key, lease.getConsume());
            case CONDUCT -> new ClusterSettings.ConductRollouts();
            case WHAT_NOT_SET -> throw new InvalidSettingsException(
                    key + "should say what it is: touch, probe, consume or conduct");
        };
    }

    private Task consume(String key, Consume consume) {
        boolean known = brokers.stream().anyMatch(broker -> broker.name().equals(consume.getBroker())
                && broker.queues().stream().anyMatch(queue -> queue.queue().equals(consume.getQueue())));
        if (!known) {
            throw new InvalidSettingsException(key + "consume should name a queue of brokers: " + consume.getBroker()
                    + ", " + consume.getQueue());
        }
        return new ClusterSettings.Consume(consume.getBroker(), consume.getQueue());
    }

    private static DependencyPool dependencyPool(Hall section) {
        List<DependencyPool.Server> servers = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Hall.Below.Server server : section.getBelow().getServersList()) {
            String key = "hall.below.servers[" + servers.size() + "].";
            SettingsChecks.uniqueName(key + "name", server.getName(), names);
            servers.add(new DependencyPool.Server(server.getName(), Address.of(key + "address", server.getAddress())));
        }
        if (servers.isEmpty() || servers.size() > MAX_DEPENDENCY_SERVERS) {
            throw new InvalidSettingsException(
                    "hall.below.servers should be 1 to " + MAX_DEPENDENCY_SERVERS + ": " + servers.size());
        }
        if (section.getVotersCount() == 0) {
            throw new InvalidSettingsException("hall.below needs hall.voters");
        }
        return new DependencyPool(List.copyOf(servers), inRange("below.alone",
                section.getBelow().hasAlone() ? section.getBelow().getAlone() : 0.25, 0, 0.5));
    }

    private static List<DisruptionBudget> budgets(Hall section) {
        List<DisruptionBudget> budgets = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Hall.OutBudget budget : section.getBudgetsList()) {
            String key = "hall.budgets[" + budgets.size() + "].";
            if (budget.getName().isBlank() || !names.add(budget.getName())) {
                throw SettingsChecks.notUnique(key + "name", budget.getName());
            }
            budgets.add(new DisruptionBudget(
                    budget.getName(),
                    budget.getBelow() ? DisruptionTarget.Kind.DEPENDENCY : DisruptionTarget.Kind.INSTANCE,
                    budget.getZone(),
                    (int) SettingsChecks.inRange(key + "most", budget.hasMost() ? budget.getMost() : 1, 0, 1000),
                    SettingsChecks.inRange(key + "share", budget.hasShare() ? budget.getShare() : 1, 0.001, 1)));
        }
        return List.copyOf(budgets);
    }
}
