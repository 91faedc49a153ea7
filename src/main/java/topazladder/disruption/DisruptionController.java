package topazladder.disruption;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import topazladder.disruption.Disruption.Phase;
import topazladder.disruption.Disruption.Reason;

/**
 * The leader's decisions about disruptions: which instances are lost, which have returned and are steady, and which
 * request is granted next. Its observations are not replicated. It proposes what follows from them as commands, which
 * {@link DisruptionStateMachine} checks once more.
 *
 * <p>Rules:
 *
 * <ul>
 * <li>An instance that is suspected or not steady counts as unavailable, whatever the state machine says: the others
 * carry its load now.
 * <li>While more than half of the instances look lost, none is recorded as lost and nothing is granted: the leader
 * itself is likely partitioned off.
 * <li>Requests are granted in their order. The first that is blocked reserves its part of the budgets: later ones are
 * granted only from what is left beside it.
 * <li>A new leader grants nothing until it has had time to hear of every member.
 * </ul>
 *
 * <p>All calls come on one thread; times are seconds of one monotonic clock.
 */
public class DisruptionController {
    /** Relative change of a capacity from which on the new value is recorded. */
    private static final double CAPACITY_CHANGE = 0.2;
    private static final double MIN_CAPACITY = 1e-9;

    /** How one instance looks to the leader. */
    public enum Health {
        /** It serves as it should. */
        STEADY,
        /** It is heard, and starts, drains or is overloaded. */
        UNSTEADY,
        /** Membership suspects that it has failed. */
        SUSPECTED,
        /** No member hears from it. */
        GONE
    }

    /**
     * What the leader knows of one instance.
     *
     * @param incarnation of the process that was observed
     */
    public record Observation(Health health, long incarnation) {
    }

    private final DisruptionStateMachine stateMachine;
    private final double lostAfterSeconds;
    private final InstanceObservations observations = new InstanceObservations();
    private final LoadReports reports = new LoadReports();
    private final Map<DisruptionTarget, DisruptionCommand> commandsInFlight = new HashMap<>();
    private final Map<DisruptionTarget, String> blockedReasons = new TreeMap<>();
    private boolean leading;
    private double mayDecideFrom;

    /**
     * Creates a controller that does not lead yet.
     *
     * @param stateMachine replicated; read here, and changed only by commands that are applied
     * @param lostAfterSeconds for which an instance must be gone before it is recorded as lost
     */
    public DisruptionController(DisruptionStateMachine stateMachine, double lostAfterSeconds) {
        this.stateMachine = stateMachine;
        this.lostAfterSeconds = lostAfterSeconds;
    }

    // ---- leadership

    /** This voter leads; it decides nothing for {@code quietSeconds}, as it may not have heard of every member yet. */
    public void becomeLeader(double now, double quietSeconds) {
        leading = true;
        observations.resetGoneSince();
        commandsInFlight.clear();
        mayDecideFrom = now + quietSeconds;
    }

    /** Whether this voter has led for long enough to decide. */
    public boolean isSettled(double now) {
        return leading && now >= mayDecideFrom;
    }

    /** Another voter leads, or may lead. */
    public void stepDown() {
        leading = false;
    }

    // ---- observations

    /** Replaces the observations of all instances by those of this member's membership. */
    public void membersObserved(double now, Map<DisruptionTarget, Observation> observed) {
        reports.retainAll(observed.keySet());
        observations.replace(now, observed);
    }

    /** Records what an instance reports about itself. */
    public void loadReported(double now, DisruptionTarget target, long incarnation, int schema, LoadReport report,
            boolean steady) {
        reports.put(now, target, incarnation, schema, report, steady);
    }

    /** The last report of that incarnation, or null. */
    public LoadReport loadReport(DisruptionTarget target, long incarnation) {
        return reports.get(target, incarnation);
    }

    /** The schema that an instance can read; 0 for one that has reported nothing. */
    public int schemaOf(String instanceName) {
        return reports.schemaOf(new DisruptionTarget(DisruptionTarget.Kind.INSTANCE, instanceName, ""));
    }

    /** Trusts an instance's own report that it is steady, which arrives sooner than gossip about it. */
    private Observation withOwnClaim(double now, DisruptionTarget target, Observation observed) {
        return observed.health() == Health.UNSTEADY
                && reports.claimsSteady(now, target, observed.incarnation())
                        ? new Observation(Health.STEADY, observed.incarnation()) : observed;
    }

    // ---- decisions

    /** A command was applied, or its outcome is unknown; the next tick proposes it again where that is needed. */
    public void commandCompleted(DisruptionCommand command) {
        commandsInFlight.values().removeIf(command::equals);
    }

    /** The commands to propose now, by the observations and the time. */
    public List<DisruptionCommand> tick(double now) {
        List<DisruptionCommand> proposals = new ArrayList<>();
        if (!isSettled(now)) {
            return proposals;
        }
        blockedReasons.clear();
        boolean blind = observations.isBlind(stateMachine.targetsUsingBudget());
        observations.forEach((target, observed) -> {
            recordCapacity(target, proposals);
            follow(now, target, withOwnClaim(now, target, observed), blind, proposals);
        });
        grantWaiting(now, blind, proposals);
        return proposals;
    }

    private boolean propose(DisruptionCommand command, DisruptionTarget target, List<DisruptionCommand> proposals) {
        if (commandsInFlight.putIfAbsent(target, command) == null) {
            proposals.add(command);
            return true;
        }
        return false;
    }

    private void recordCapacity(DisruptionTarget target, List<DisruptionCommand> proposals) {
        Double recorded = stateMachine.capacities().get(target);
        double measured = reports.capacityPerSecond(target);
        if (recorded == null || measured > 0
                && Math.abs(measured - recorded) > CAPACITY_CHANGE * Math.max(recorded, MIN_CAPACITY)) {
            propose(new DisruptionCommand.SetCapacity(target, measured), target, proposals);
        }
    }

    private void follow(double now, DisruptionTarget target, Observation observed, boolean blind,
            List<DisruptionCommand> proposals) {
        if (observed.health() == Health.GONE) {
            followGone(now, target, observed, blind, proposals);
        } else if (observed.health() != Health.SUSPECTED) {
            followHeard(now, target, observed, proposals);
        }
    }

    /**
     * An instance that is gone again while it returns stays in that phase. Recorded as gone under the same incarnation,
     * it would look like one that has announced its shutdown and not been told of its grant yet, and would be told to
     * shut down once more.
     */
    private void followGone(double now, DisruptionTarget target, Observation observed, boolean blind,
            List<DisruptionCommand> proposals) {
        Disruption disruption = stateMachine.get(target);
        boolean isLost = observations.goneSeconds(now, target) >= lostAfterSeconds && !blind;
        if (isLost && (disruption == null || disruption.phase() == Phase.ASKED)) {
            propose(new DisruptionCommand.Lost(target, observed.incarnation()), target, proposals);
        }
    }

    private void followHeard(double now, DisruptionTarget target, Observation observed,
            List<DisruptionCommand> proposals) {
        Disruption disruption = stateMachine.get(target);
        if (disruption == null) {
            return;
        }
        Phase phase = disruption.phase();
        boolean wasRestarted = disruption.incarnation() != observed.incarnation();
        if (phase == Phase.GONE || phase == Phase.GRANTED) {
            if (wasRestarted || disruption.reason() == Reason.LOST) {
                propose(new DisruptionCommand.Returning(target, observed.incarnation()), target, proposals);
            }
        } else if (phase == Phase.RETURNING && wasRestarted) {
            // Recorded as gone first, so that it returns under its new incarnation.
            propose(new DisruptionCommand.Lost(target, disruption.incarnation()), target, proposals);
        } else if (phase == Phase.RETURNING && isSteady(now, target, observed)) {
            propose(new DisruptionCommand.Steady(target), target, proposals);
        }
    }

    /** Whether it reports so itself and serves like its peers: an instance that gets no load has not returned yet. */
    protected boolean isSteady(double now, DisruptionTarget target, Observation observed) {
        return observed.health() == Health.STEADY && PeerComparison.servesAsItsPeers(
                reports.getFresh(now, target, observed.incarnation()), peerReports(now, target));
    }

    private List<LoadReport> peerReports(double now, DisruptionTarget target) {
        List<LoadReport> peers = new ArrayList<>();
        observations.forEach((other, observed) -> {
            LoadReport report = reports.getFresh(now, other, observed.incarnation());
            if (!other.equals(target) && observed.health() == Health.STEADY && stateMachine.get(other) == null
                    && report != null) {
                peers.add(report);
            }
        });
        return peers;
    }

    // ---- grants

    /** Whether an instance that is observed like that counts as unavailable, whatever the state machine says. */
    protected boolean countsAsUnavailable(Observation observed) {
        return observed.health() != Health.STEADY;
    }

    private void grantWaiting(double now, boolean blind, List<DisruptionCommand> proposals) {
        List<DisruptionTarget> unavailable = observedUnavailable(now);
        boolean isFirstBlocked = true;
        for (Disruption waiting : stateMachine.waiting()) {
            DisruptionTarget target = waiting.target();
            String reason = blockedReason(target, blind, unavailable);
            if (reason != null) {
                blockedReasons.put(target, reason);
                if (isFirstBlocked) {
                    unavailable.add(target); // reserves its part of the budgets
                    isFirstBlocked = false;
                }
            } else if (proposeGrant(waiting, proposals)) {
                unavailable.add(target); // until the grant is applied to the state machine
            }
        }
    }

    private List<DisruptionTarget> observedUnavailable(double now) {
        List<DisruptionTarget> unavailable = new ArrayList<>();
        observations.forEach((target, observed) -> {
            if (countsAsUnavailable(withOwnClaim(now, target, observed))) {
                unavailable.add(target);
            }
        });
        return unavailable;
    }

    private String blockedReason(DisruptionTarget target, boolean blind, List<DisruptionTarget> unavailable) {
        if (blind) {
            return "more than half of the cluster looks lost from the leader";
        }
        Observation observed = observations.get(target);
        boolean isGone = observed == null || observed.health() == Health.GONE;
        if (target.kind() == DisruptionTarget.Kind.INSTANCE && isGone) {
            return "the leader hears nothing from " + target;
        }
        return stateMachine.rejection(target, unavailable);
    }

    private boolean proposeGrant(Disruption waiting, List<DisruptionCommand> proposals) {
        Observation observed = observations.get(waiting.target());
        long incarnation = observed == null ? 0 : observed.incarnation();
        return propose(new DisruptionCommand.Grant(waiting.target(), waiting.requestId(), incarnation),
                waiting.target(), proposals);
    }

    /** Why each waiting target is not granted yet, for operators. */
    public Map<DisruptionTarget, String> blockedReasons() {
        return Map.copyOf(blockedReasons);
    }
}
