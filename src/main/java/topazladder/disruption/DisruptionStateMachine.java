package topazladder.disruption;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import topazladder.disruption.Disruption.Phase;
import topazladder.disruption.Disruption.Reason;

/**
 * The replicated state of the disruptions: the same commands in the same order give the same state at every voter.
 *
 * <p>Invariants:
 *
 * <ul>
 * <li>A grant fits every budget that covers its target when it is applied, whoever proposed it, and nothing is granted
 * that no budget covers.
 * <li>A target stops using its budget when it is steady, when an operator gives it up, or when its request is withdrawn
 * before it has shut down, and in no other way.
 * <li>Tokens only grow.
 * </ul>
 */
public class DisruptionStateMachine {
    private final Map<DisruptionTarget, Disruption> disruptions = new TreeMap<>(); // no more than there are targets
    private final Map<DisruptionTarget, Double> capacities = new TreeMap<>();
    private final Map<String, DisruptionBudget> budgets = new LinkedHashMap<>();
    private long lastToken;
    private long lastRequestOrder;
    private String suspendedReason;

    /**
     * What became of a command.
     *
     * @param token of the disruption that the command is about, or the last one granted
     * @param rejection why the command changed nothing, or null where it was applied
     */
    public record Outcome(long token, String rejection) {

        static Outcome applied(long token) {
            return new Outcome(token, null);
        }

        /** Whether the command took effect. */
        public boolean isApplied() {
            return rejection == null;
        }
    }

    /**
     * All of the state, to restore another replica from.
     *
     * @param suspendedReason why nothing is granted, or null
     */
    public record Snapshot(List<Disruption> disruptions, Map<DisruptionTarget, Double> capacities,
            List<DisruptionBudget> budgets, long lastToken, long lastRequestOrder, String suspendedReason) {
    }

    // ---- commands

    /** Applies one command of the log. */
    public Outcome apply(DisruptionCommand command) {
        if (command instanceof DisruptionCommand.SetBudgets set) {
            return handle(set);
        } else if (command instanceof DisruptionCommand.SetCapacity set) {
            return handle(set);
        } else if (command instanceof DisruptionCommand.Forget forget) {
            return handle(forget);
        } else if (command instanceof DisruptionCommand.Request request) {
            return handle(request);
        } else if (command instanceof DisruptionCommand.Grant grant) {
            return handle(grant);
        } else if (command instanceof DisruptionCommand.Withdraw withdraw) {
            return handle(withdraw);
        } else if (command instanceof DisruptionCommand.Leaving leaving) {
            return handle(leaving);
        } else if (command instanceof DisruptionCommand.Lost lost) {
            return handle(lost);
        } else if (command instanceof DisruptionCommand.Returning returning) {
            return handle(returning);
        } else if (command instanceof DisruptionCommand.Steady steady) {
            return handle(steady);
        } else if (command instanceof DisruptionCommand.Rejoin rejoin) {
            return handle(rejoin);
        } else if (command instanceof DisruptionCommand.KeepOut keepOut) {
            return handle(keepOut);
        } else if (command instanceof DisruptionCommand.GiveUp giveUp) {
            return handle(giveUp);
        } else if (command instanceof DisruptionCommand.SuspendGrants suspend) {
            return handle(suspend);
        }
        throw new IllegalArgumentException("unknown disruption command: " + command);
    }

    private Outcome handle(DisruptionCommand.SetBudgets command) {
        budgets.clear();
        command.budgets().forEach(budget -> budgets.put(budget.name(), budget));
        return Outcome.applied(lastToken);
    }

    private Outcome handle(DisruptionCommand.SetCapacity command) {
        capacities.put(command.target(), command.capacityPerSecond());
        return Outcome.applied(lastToken);
    }

    private Outcome handle(DisruptionCommand.Forget command) {
        if (disruptions.containsKey(command.target())) {
            return new Outcome(0, command.target() + " has a disruption, which an operator has to give up first");
        }
        capacities.remove(command.target());
        return Outcome.applied(lastToken);
    }

    private Outcome handle(DisruptionCommand.Request command) {
        Disruption earlier = disruptions.get(command.target());
        if (earlier != null && earlier.requestId().equals(command.requestId())) {
            return Outcome.applied(earlier.token()); // repeated, as the response was lost
        }
        if (earlier != null && earlier.phase() == Phase.RETURNING && command.reason() == Reason.RELEASE
                && suspendedReason == null) {
            return regrant(earlier, command);
        }
        if (earlier != null && earlier.usesBudget()) {
            return new Outcome(earlier.token(), describe(earlier) + " already");
        }
        if (!command.reason().needsGrant()) {
            return new Outcome(0, "no grant can be requested for the reason " + command.reason());
        }
        long requestOrder = earlier == null ? ++lastRequestOrder : earlier.requestOrder();
        disruptions.put(command.target(), new Disruption(command.target(), command.reason(), Phase.ASKED,
                command.requestId(), 0, 0, requestOrder, command.requestedBy()));
        capacities.putIfAbsent(command.target(), 0.0);
        return Outcome.applied(0);
    }

    /**
     * An instance that returns may shut down again for a rollout under the budget that it uses already. Otherwise a
     * version that never serves like its peers would block its own rollback.
     */
    private Outcome regrant(Disruption earlier, DisruptionCommand.Request command) {
        disruptions.put(command.target(), new Disruption(command.target(), command.reason(), Phase.GRANTED,
                command.requestId(), ++lastToken, earlier.incarnation(), earlier.requestOrder(),
                command.requestedBy()));
        return Outcome.applied(lastToken);
    }

    private Outcome handle(DisruptionCommand.Grant command) {
        Disruption disruption = disruptions.get(command.target());
        if (disruption == null || disruption.phase() != Phase.ASKED
                || !disruption.requestId().equals(command.requestId())) {
            return new Outcome(tokenOf(disruption),
                    command.target() + " does not wait for the request " + command.requestId());
        }
        String rejection = rejection(command.target(), List.of());
        if (rejection != null) {
            return new Outcome(0, rejection);
        }
        disruptions.put(command.target(), disruption.granted(++lastToken, command.incarnation()));
        return Outcome.applied(lastToken);
    }

    private Outcome handle(DisruptionCommand.Withdraw command) {
        Disruption disruption = disruptions.get(command.target());
        if (disruption == null || !disruption.requestId().equals(command.requestId())) {
            return new Outcome(0, command.target() + " has no request " + command.requestId());
        }
        if (disruption.phase() != Phase.ASKED && disruption.phase() != Phase.GRANTED) {
            return new Outcome(disruption.token(), describe(disruption) + " already");
        }
        disruptions.remove(command.target());
        return Outcome.applied(disruption.token());
    }

    /** With a token it is applied only while that grant is valid; without one it is recorded whatever the budgets. */
    protected Outcome handle(DisruptionCommand.Leaving command) {
        return command.token() > 0 ? leaveByGrant(command) : leaveUngranted(command);
    }

    private Outcome leaveByGrant(DisruptionCommand.Leaving command) {
        Disruption disruption = disruptions.get(command.target());
        boolean isGranted = disruption != null && disruption.token() == command.token()
                && disruption.incarnation() == command.incarnation()
                && (disruption.phase() == Phase.GRANTED || disruption.phase() == Phase.GONE);
        if (!isGranted) {
            return new Outcome(tokenOf(disruption), "incarnation " + command.incarnation() + " of " + command.target()
                    + " has no grant under the token " + command.token());
        }
        disruptions.put(command.target(), disruption.inPhase(Phase.GONE, command.incarnation()));
        return Outcome.applied(command.token());
    }

    private Outcome leaveUngranted(DisruptionCommand.Leaving command) {
        Disruption disruption = disruptions.get(command.target());
        if (disruption != null && disruption.usesBudget()) {
            disruptions.put(command.target(), disruption.inPhase(Phase.GONE, command.incarnation()));
            return Outcome.applied(disruption.token());
        }
        return goUngranted(disruption, command.target(), Reason.LEAVING, command.incarnation(),
                command.requestedBy());
    }

    /** A granted target keeps its grant: it may be partitioned off only, and act on the grant later. */
    private Outcome handle(DisruptionCommand.Lost command) {
        Disruption disruption = disruptions.get(command.target());
        if (disruption != null && disruption.phase() == Phase.RETURNING) {
            disruptions.put(command.target(), disruption.inPhase(Phase.GONE, command.incarnation()));
            return Outcome.applied(disruption.token());
        }
        if (disruption != null && disruption.usesBudget()) {
            return new Outcome(disruption.token(), describe(disruption) + " already");
        }
        return goUngranted(disruption, command.target(), Reason.LOST, command.incarnation(), "");
    }

    /** @param earlier the target's request that waits for a grant, or null */
    private Outcome goUngranted(Disruption earlier, DisruptionTarget target, Reason reason, long incarnation,
            String requestedBy) {
        String requestId = earlier == null ? "" : earlier.requestId();
        long requestOrder = earlier == null ? ++lastRequestOrder : earlier.requestOrder();
        disruptions.put(target, new Disruption(target, reason, Phase.GONE, requestId, ++lastToken, incarnation,
                requestOrder, requestedBy));
        return Outcome.applied(lastToken);
    }

    /** Another incarnation was heard; or the same one, where it had been recorded as lost. */
    private Outcome handle(DisruptionCommand.Returning command) {
        Disruption disruption = disruptions.get(command.target());
        if (disruption == null || disruption.phase() != Phase.GONE && disruption.phase() != Phase.GRANTED) {
            return new Outcome(tokenOf(disruption), command.target() + " has not gone");
        }
        if (disruption.incarnation() == command.incarnation() && disruption.reason() != Reason.LOST) {
            return new Outcome(disruption.token(), "incarnation " + command.incarnation() + " of " + command.target()
                    + " is the one that has gone");
        }
        disruptions.put(command.target(), disruption.inPhase(Phase.RETURNING, command.incarnation()));
        return Outcome.applied(disruption.token());
    }

    private Outcome handle(DisruptionCommand.Steady command) {
        Disruption disruption = disruptions.get(command.target());
        if (disruption == null || disruption.phase() != Phase.RETURNING) {
            return new Outcome(0, command.target() + " is not returning");
        }
        disruptions.remove(command.target());
        return Outcome.applied(disruption.token());
    }

    /** It uses its budget until it is steady; its incarnation counts how often it has tried. */
    private Outcome handle(DisruptionCommand.Rejoin command) {
        Disruption disruption = disruptions.get(command.target());
        if (!isUnavailableDependency(disruption) || disruption.phase() == Phase.RETURNING) {
            return new Outcome(0, command.target() + " is no dependency that is out of use");
        }
        disruptions.put(command.target(), disruption.inPhase(Phase.RETURNING, disruption.incarnation() + 1));
        return Outcome.applied(disruption.token());
    }

    /** It keeps using its budget, and rejoins only by an operator's command. */
    private Outcome handle(DisruptionCommand.KeepOut command) {
        Disruption disruption = disruptions.get(command.target());
        if (!isUnavailableDependency(disruption)) {
            return new Outcome(0, command.target() + " is no dependency that is out of use");
        }
        disruptions.put(command.target(), new Disruption(command.target(), Reason.OPERATOR, Phase.GRANTED,
                command.requestId(), ++lastToken, disruption.incarnation(), disruption.requestOrder(),
                command.requestedBy()));
        return Outcome.applied(lastToken);
    }

    private static boolean isUnavailableDependency(Disruption disruption) {
        return disruption != null && disruption.target().kind() == DisruptionTarget.Kind.DEPENDENCY
                && disruption.usesBudget();
    }

    private Outcome handle(DisruptionCommand.GiveUp command) {
        return disruptions.remove(command.target()) == null
                ? new Outcome(0, command.target() + " has no disruption") : Outcome.applied(lastToken);
    }

    private Outcome handle(DisruptionCommand.SuspendGrants command) {
        suspendedReason = command.reason();
        return Outcome.applied(lastToken);
    }

    private static long tokenOf(Disruption disruption) {
        return disruption == null ? 0 : disruption.token();
    }

    private static String describe(Disruption disruption) {
        return disruption.target() + " is " + disruption.phase().name().toLowerCase(Locale.ROOT) + " for reason "
                + disruption.reason().name().toLowerCase(Locale.ROOT);
    }

    // ---- budgets

    /**
     * Why one more target may not become unavailable, or null where it may.
     *
     * @param besides more targets that count as unavailable, beside those that use a budget
     */
    protected String rejection(DisruptionTarget candidate, Collection<DisruptionTarget> besides) {
        if (suspendedReason != null) {
            return "halted: " + suspendedReason;
        }
        List<DisruptionTarget> unavailable = new ArrayList<>(targetsUsingBudget());
        besides.stream().filter(target -> !unavailable.contains(target)).forEach(unavailable::add);
        for (DisruptionBudget budget : budgets.values()) {
            String rejection = budget.rejection(candidate, unavailable, capacities);
            if (rejection != null) {
                return rejection;
            }
        }
        // Until the settings are read there are no budgets, which must not mean that there are no limits.
        return budgets.values().stream().anyMatch(budget -> budget.covers(candidate)) ? null
                : "no budget covers " + candidate;
    }

    /** The targets that count against the budgets that cover them. */
    public Set<DisruptionTarget> targetsUsingBudget() {
        return disruptions.values().stream().filter(Disruption::usesBudget).map(Disruption::target)
                .collect(Collectors.toSet());
    }

    // ---- reading

    /** The disruption of that target, or null. */
    public Disruption get(DisruptionTarget target) {
        return disruptions.get(target);
    }

    /** All disruptions, by target. */
    public Collection<Disruption> disruptions() {
        return Collections.unmodifiableCollection(disruptions.values());
    }

    /** Those that wait for a grant, in the order of their requests. */
    public List<Disruption> waiting() {
        return disruptions.values().stream().filter(disruption -> !disruption.usesBudget())
                .sorted(Comparator.comparingLong(Disruption::requestOrder)).toList();
    }

    /** All known targets, with the payoff a second that they were measured to serve; 0 for unknown. */
    public Map<DisruptionTarget, Double> capacities() {
        return Collections.unmodifiableMap(capacities);
    }

    /** The budgets, in the order of the settings. */
    public Collection<DisruptionBudget> budgets() {
        return Collections.unmodifiableCollection(budgets.values());
    }

    /** Why nothing is granted, or null. */
    public String suspendedReason() {
        return suspendedReason;
    }

    // ---- snapshots

    /** All of the state. */
    public Snapshot snapshot() {
        return new Snapshot(List.copyOf(disruptions.values()), Map.copyOf(capacities), List.copyOf(budgets.values()),
                lastToken, lastRequestOrder, suspendedReason);
    }

    /** Replaces all of the state. */
    public void restore(Snapshot snapshot) {
        disruptions.clear();
        snapshot.disruptions().forEach(disruption -> disruptions.put(disruption.target(), disruption));
        capacities.clear();
        capacities.putAll(snapshot.capacities());
        budgets.clear();
        snapshot.budgets().forEach(budget -> budgets.put(budget.name(), budget));
        lastToken = snapshot.lastToken();
        lastRequestOrder = snapshot.lastRequestOrder();
        suspendedReason = snapshot.suspendedReason();
    }
}
