package topazladder.endpoint;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazladder.disruption.Disruption;
import topazladder.disruption.Disruption.Phase;
import topazladder.disruption.Disruption.Reason;
import topazladder.disruption.DisruptionBudget;
import topazladder.disruption.DisruptionCommand;
import topazladder.disruption.DisruptionStateMachine;
import topazladder.disruption.DisruptionTarget;

/**
 * Outlier detection at the leader of the consensus group. From the reports of all instances it decides which dependency
 * endpoints the cluster ejects, tries again and takes back, and which instances may eject an endpoint for themselves.
 * Its decisions are proposed as commands, and the replicated state machine checks the disruption budgets. The reports
 * are not replicated: a new leader gets them all again with the next request of each instance.
 *
 * <p>An endpoint is unhealthy if most of the instances that call it find it so. An instance that finds most endpoints
 * unhealthy is ignored, as its own network path is the likelier cause. While most endpoints look unhealthy to the
 * remaining instances, none is ejected: the cause likely lies in between.
 *
 * <p>All calls come on one thread; times are seconds by the leader's clock.
 */
public class OutlierDetector {
    /** Seconds after which an instance's reports are dropped. */
    static final double REPORT_VALIDITY_SECONDS = 15;
    /** Observers that must find an endpoint unhealthy, if there are that many. */
    private static final int MIN_OBSERVERS = 2;
    /** Seconds for which observers must agree: one that stalls for a moment finds all endpoints silent. */
    private static final double CONFIRMATION_SECONDS = 0.5;
    /**
     * Seconds without ejections after most endpoints looked unhealthy. The failures of that time decay sooner for some
     * endpoints than for others, by chance, so those that lag behind would look like outliers.
     */
    static final double AFTERMATH_SECONDS = 4;
    private static final String REQUESTER = "symptoms";

    private static final Logger LOG = LoggerFactory.getLogger(OutlierDetector.class);

    /** The latest reports of one instance, by endpoint. */
    private record InstanceReports(double receivedAt, Map<String, EndpointReport> byEndpoint) {

        /** Whether the reports tell something about the endpoints, and not about the instance itself. */
        boolean isCredible() {
            long tried = byEndpoint.values().stream().filter(r -> r.health() != EndpointHealth.UNTRIED).count();
            long unhealthy = byEndpoint.values().stream().filter(r -> r.health() == EndpointHealth.ILL).count();
            // An instance that has tried one of several endpoints, and found it unhealthy, may find all of them so.
            return byEndpoint.size() < 2 || 2 * unhealthy <= tried;
        }
    }

    /** Numbers of credible instances that find an endpoint unhealthy and healthy. */
    private record Votes(int unhealthy, int healthy) {

        int total() {
            return unhealthy + healthy;
        }
    }

    private final DisruptionStateMachine stateMachine;
    private final Map<String, InstanceReports> reportsByInstance = new TreeMap<>(); // dropped when no longer valid
    private final Map<String, Double> unhealthySince = new HashMap<>(); // by endpoint
    private final Map<DisruptionTarget, Double> phaseSince = new HashMap<>(); // by this leader's clock
    private final Map<DisruptionTarget, Phase> phases = new HashMap<>();
    private final Map<DisruptionTarget, DisruptionCommand> commandsInFlight = new HashMap<>();
    private final Map<String, Set<String>> permittedEjections = new HashMap<>(); // by endpoint: names of the instances
    private boolean leading;
    private double aftermathUntil = Double.NEGATIVE_INFINITY;
    private long requestCount;

    public OutlierDetector(DisruptionStateMachine stateMachine) {
        this.stateMachine = stateMachine;
    }

    /** This voter leads from now on. */
    public void becomeLeader(double now) {
        leading = true;
        reportsByInstance.clear();
        unhealthySince.clear();
        phaseSince.clear();
        phases.clear();
        commandsInFlight.clear();
        permittedEjections.clear();
        requestCount = 0;
        // Most endpoints may have looked unhealthy to the previous leader.
        aftermathUntil = now + AFTERMATH_SECONDS / 2;
    }

    /** This voter does not lead any more. */
    public void stepDown() {
        leading = false;
    }

    /** Takes the reports of one instance; empty if it calls no endpoints. */
    public void handleReports(double now, String instance, List<EndpointReport> reports) {
        if (!leading || reports.isEmpty()) {
            return;
        }
        Map<String, EndpointReport> byEndpoint = new TreeMap<>();
        reports.forEach(r -> byEndpoint.put(r.endpoint(), r));
        reportsByInstance.put(instance, new InstanceReports(now, byEndpoint));
    }

    /** Whether the instance has reported lately, and so needs the leader's directives. */
    public boolean hasReported(String instance) {
        return reportsByInstance.containsKey(instance);
    }

    /** A proposed command was applied, or its fate is unknown. */
    public void commandCompleted(DisruptionCommand command) {
        commandsInFlight.values().removeIf(command::equals);
    }

    /** Evaluates the reports; returns the commands to propose. */
    public List<DisruptionCommand> tick(double now) {
        List<DisruptionCommand> commands = new ArrayList<>();
        if (!leading) {
            return commands;
        }
        reportsByInstance.values().removeIf(reports -> now - reports.receivedAt() > REPORT_VALIDITY_SECONDS);
        Map<String, Votes> votes = countVotes();
        trackPhases(now, votes);
        registerEndpoints(votes.keySet(), commands);
        Set<String> unhealthy = new HashSet<>();
        votes.forEach((endpoint, v) -> {
            if (isUnhealthy(v.unhealthy(), v.total(), reportsByInstance.size())) {
                unhealthy.add(endpoint);
                unhealthySince.putIfAbsent(endpoint, now);
            } else {
                unhealthySince.remove(endpoint);
            }
        });
        Set<String> unhealthyOrEjected = new HashSet<>(unhealthy);
        // An ejected endpoint gets no calls, so it counts as it was when it was ejected.
        stateMachine.disruptions().stream()
                .filter(d -> d.target().kind() == DisruptionTarget.Kind.DEPENDENCY && d.reason() == Reason.ILL
                        && (d.phase() == Phase.GRANTED || d.phase() == Phase.GONE))
                .forEach(d -> unhealthyOrEjected.add(d.target().name()));
        long notCredible = reportsByInstance.values().stream().filter(reports -> !reports.isCredible()).count();
        boolean mostUnhealthy = isMajorityUnhealthy(unhealthyOrEjected.size(), votes.size())
                || isMajorityUnhealthy((int) notCredible, reportsByInstance.size());
        if (mostUnhealthy) {
            aftermathUntil = now + AFTERMATH_SECONDS;
        }
        // Includes endpoints that nobody reports, as after an election: a waiting request may have lost its reason.
        stateMachine.disruptions().stream().filter(d -> d.target().kind() == DisruptionTarget.Kind.DEPENDENCY)
                .forEach(d -> votes.putIfAbsent(d.target().name(), new Votes(0, 0)));
        votes.forEach((endpoint, v) -> decide(now, endpoint, v, unhealthy.contains(endpoint), mostUnhealthy, commands));
        permitEjections(votes, unhealthy, mostUnhealthy);
        return commands;
    }

    private void decide(double now, String endpoint, Votes votes, boolean unhealthy, boolean mostUnhealthy,
            List<DisruptionCommand> commands) {
        DisruptionTarget target = target(endpoint);
        Disruption disruption = stateMachine.get(target);
        double inPhase = now - phaseSince.getOrDefault(target, now);
        if (disruption == null) {
            if (unhealthy && !mostUnhealthy && now >= aftermathUntil
                    && now - unhealthySince.get(endpoint) >= CONFIRMATION_SECONDS) {
                propose(new DisruptionCommand.Request(target, Reason.ILL,
                        REQUESTER + ' ' + endpoint + ' ' + ++requestCount, REQUESTER), target, commands);
            }
            return;
        }
        switch (disruption.phase()) {
            case ASKED -> {
                // The reason is gone, or this is one of too many; left waiting, it would be ejected once it is well.
                if (disruption.reason() == Reason.ILL && (!unhealthy || mostUnhealthy)) {
                    propose(new DisruptionCommand.Withdraw(target, disruption.requestId()), target, commands);
                }
            }
            case GRANTED, GONE -> {
                // A dependency's incarnation counts its returns. Here each of them has failed, so it is also how often
                // the endpoint was ejected anew.
                if (disruption.reason() == Reason.ILL
                        && (inPhase >= EjectionBackoff.seconds(disruption.incarnation()) || mostUnhealthy)) {
                    propose(new DisruptionCommand.Rejoin(target), target, commands);
                }
            }
            case RETURNING -> {
                if (unhealthy && !mostUnhealthy && inPhase >= CONFIRMATION_SECONDS) {
                    propose(new DisruptionCommand.Lost(target, disruption.incarnation()), target, commands);
                } else if (inPhase >= SlowStart.durationSeconds() && 2 * votes.healthy() >= votes.total()) {
                    propose(new DisruptionCommand.Steady(target), target, commands);
                }
            }
            default -> throw new IllegalStateException("dependency endpoint '" + endpoint + "' is in phase "
                    + disruption.phase() + "; expected ASKED, GRANTED, GONE or RETURNING");
        }
    }

    /**
     * Whether an endpoint counts as unhealthy: most of the instances that call it find it so, and not a single one
     * where there are more observers.
     *
     * @param unhealthy instances that find it unhealthy
     * @param tried instances that have a judgement of it
     * @param observers instances that report
     */
    protected boolean isUnhealthy(int unhealthy, int tried, int observers) {
        return unhealthy > 0 && 2 * unhealthy > tried && unhealthy >= Math.min(MIN_OBSERVERS, observers);
    }

    /** Whether so many look unhealthy that the cause likely lies between instances and endpoints. */
    protected boolean isMajorityUnhealthy(int unhealthy, int total) {
        return 2 * unhealthy > total;
    }

    /**
     * Whether an instance's votes on endpoints count; overridden to inject a defect. It applies to the votes only: how
     * many instances are not credible, and which may eject by themselves, is found without it.
     */
    protected boolean isCredible(boolean credible) {
        return credible;
    }

    private Map<String, Votes> countVotes() {
        Map<String, Votes> votes = new TreeMap<>();
        for (InstanceReports reports : reportsByInstance.values()) {
            boolean credible = isCredible(reports.isCredible());
            reports.byEndpoint().forEach((endpoint, r) -> {
                int unhealthy = credible && r.health() == EndpointHealth.ILL ? 1 : 0;
                int healthy = credible && r.health() == EndpointHealth.WELL ? 1 : 0;
                votes.merge(endpoint, new Votes(unhealthy, healthy),
                        (a, b) -> new Votes(a.unhealthy() + b.unhealthy(), a.healthy() + b.healthy()));
            });
        }
        return votes;
    }

    /** Records when each phase began by this leader's clock; after an election that is a little late. */
    private void trackPhases(double now, Map<String, Votes> votes) {
        Set<DisruptionTarget> disrupted = new HashSet<>();
        for (Disruption disruption : stateMachine.disruptions()) {
            if (disruption.target().kind() == DisruptionTarget.Kind.DEPENDENCY) {
                disrupted.add(disruption.target());
                if (phases.put(disruption.target(), disruption.phase()) != disruption.phase()) {
                    phaseSince.put(disruption.target(), now);
                    Votes v = votes.getOrDefault(disruption.target().name(), new Votes(0, 0));
                    LOG.info("dependency endpoint changed phase endpoint={} phase={} reason={} unhealthy-votes={}"
                            + " healthy-votes={} observers={}", disruption.target().name(), disruption.phase(),
                            disruption.reason(), v.unhealthy(), v.healthy(), reportsByInstance.size());
                }
            }
        }
        phases.keySet().stream().filter(target -> !disrupted.contains(target))
                .forEach(target -> LOG.info("dependency endpoint back in use endpoint={}", target.name()));
        phases.keySet().retainAll(disrupted);
        phaseSince.keySet().retainAll(disrupted);
    }

    /** Makes the endpoints known to the state machine: a budget that is a share needs their number. */
    private void registerEndpoints(Set<String> endpoints, List<DisruptionCommand> commands) {
        for (String endpoint : endpoints) {
            DisruptionTarget target = target(endpoint);
            if (!stateMachine.capacities().containsKey(target)) {
                propose(new DisruptionCommand.SetCapacity(target, 0), target, commands);
            }
        }
    }

    /**
     * Permits instances to eject, for themselves, endpoints that the others find healthy. Each permission counts as
     * one instance's share of an endpoint, and together they stay within the remaining budget: an endpoint that many
     * instances eject one by one is as unavailable as one that the cluster ejects.
     */
    private void permitEjections(Map<String, Votes> votes, Set<String> unhealthy, boolean mostUnhealthy) {
        permittedEjections.clear();
        if (mostUnhealthy) {
            return;
        }
        double remaining = remainingBudget();
        double used = 0;
        for (Map.Entry<String, InstanceReports> e : reportsByInstance.entrySet()) {
            if (!e.getValue().isCredible()) {
                continue;
            }
            for (EndpointReport r : e.getValue().byEndpoint().values()) {
                double share = 1.0 / reportsByInstance.size();
                if (r.health() == EndpointHealth.ILL && !unhealthy.contains(r.endpoint())
                        && stateMachine.get(target(r.endpoint())) == null && used + share <= remaining + 1e-9) {
                    used += share;
                    permittedEjections.computeIfAbsent(r.endpoint(), name -> new TreeSet<>()).add(e.getKey());
                }
            }
        }
    }

    /** Number of endpoints that may still become unavailable, by the budgets that cover all zones. */
    private double remainingBudget() {
        double remaining = 0;
        for (DisruptionBudget b : stateMachine.budgets()) {
            if (b.kind() == DisruptionTarget.Kind.DEPENDENCY && b.zone().isEmpty()) {
                long used = stateMachine.targetsUsingBudget().stream().filter(b::covers).count();
                remaining = Math.max(remaining, b.maxUnavailable() - used);
            }
        }
        return remaining;
    }

    /** What the leader tells one instance: all ejections by the cluster, and the instance's own permissions. */
    public List<EjectionDirective> directives(double now, String instance) {
        List<EjectionDirective> directives = new ArrayList<>();
        for (Disruption d : stateMachine.disruptions()) {
            if (d.target().kind() == DisruptionTarget.Kind.DEPENDENCY && d.usesBudget()) {
                // A phase applied since the last tick is new; the age of the one before would skip the slow start.
                double age = phases.get(d.target()) == d.phase() ? now - phaseSince.get(d.target()) : 0;
                directives.add(new EjectionDirective(d.target().name(),
                        d.phase() == Phase.RETURNING ? EjectionDirective.Kind.RETURNING
                                : EjectionDirective.Kind.OUT,
                        d.token(), Math.max(0, age)));
            }
        }
        permittedEjections.forEach((endpoint, instances) -> {
            if (instances.contains(instance)) {
                directives.add(new EjectionDirective(endpoint, EjectionDirective.Kind.MAY_EJECT, 0, 0));
            }
        });
        return directives;
    }

    /** The instances' votes by endpoint, for operators. */
    public Map<String, String> describeVotes() {
        Map<String, String> described = new TreeMap<>();
        countVotes().forEach((endpoint, v) -> described.put(endpoint, v.unhealthy() + " ill, " + v.healthy()
                + " well of " + reportsByInstance.size() + (permittedEjections.containsKey(endpoint)
                        ? ", left out by " + permittedEjections.get(endpoint) : "")));
        return described;
    }

    private static DisruptionTarget target(String endpoint) {
        return new DisruptionTarget(DisruptionTarget.Kind.DEPENDENCY, endpoint, "");
    }

    private void propose(DisruptionCommand command, DisruptionTarget target, List<DisruptionCommand> commands) {
        if (commandsInFlight.putIfAbsent(target, command) == null) {
            commands.add(command);
        }
    }
}
