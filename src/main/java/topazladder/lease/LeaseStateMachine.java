package topazladder.lease;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import topazladder.lease.LeaseCommand.BeginLeadership;
import topazladder.lease.LeaseCommand.Define;
import topazladder.lease.LeaseCommand.Expire;
import topazladder.lease.LeaseCommand.Grant;
import topazladder.lease.LeaseCommand.HolderCrashed;
import topazladder.lease.LeaseCommand.HolderFailed;
import topazladder.lease.LeaseCommand.HolderSettled;
import topazladder.lease.LeaseCommand.OnGrant;
import topazladder.lease.LeaseCommand.OnLease;
import topazladder.lease.LeaseCommand.RaiseTokenFloor;
import topazladder.lease.LeaseCommand.Release;
import topazladder.lease.LeaseCommand.Resume;
import topazladder.lease.LeaseCommand.Suspend;
import topazladder.lease.LeaseCommand.Transfer;
import topazladder.lease.LeaseState.Loss;

/**
 * The replicated state of the leases: the same commands in the same order produce the same state at every voter.
 *
 * <p>Invariants: the fencing token of a lease never decreases; a token is granted once; a lease that is held is not
 * granted to another member. A command that does not match the state, for example by an outdated token, is rejected and
 * changes nothing.
 */
public class LeaseStateMachine {
    private final Map<String, LeaseState> leases = new TreeMap<>();
    private long tokenFloor;

    /**
     * The result of a command.
     *
     * @param fencingToken the last token granted for the lease, or the token floor for other commands
     * @param rejection why the command was rejected, or null if it was applied
     */
    public record Outcome(long fencingToken, String rejection) {

        static Outcome applied(long fencingToken) {
            return new Outcome(fencingToken, null);
        }

        /** Whether the command took effect. */
        public boolean isApplied() {
            return rejection == null;
        }
    }

    /** The complete state, from which another replica can be restored. */
    public record Snapshot(long tokenFloor, List<LeaseState> leases) {
    }

    /** Applies one committed command. */
    public Outcome apply(LeaseCommand command) {
        if (command instanceof OnLease onLease) {
            return applyToLease(onLease);
        } else if (command instanceof Define define) {
            return define(define.leases());
        } else if (command instanceof RaiseTokenFloor raise) {
            return raiseTokenFloor(raise.tokenFloor());
        } else if (command instanceof BeginLeadership) {
            return Outcome.applied(tokenFloor);
        }
        throw new IllegalArgumentException("unsupported lease command: " + command);
    }

    private Outcome define(Collection<LeaseSettings> defined) {
        Set<String> definedNames = new TreeSet<>();
        for (LeaseSettings settings : defined) {
            definedNames.add(settings.name());
            LeaseState state = leases.get(settings.name());
            leases.put(settings.name(),
                    state == null ? LeaseState.neverGranted(settings, tokenFloor) : state.withSettings(settings));
        }
        for (LeaseState state : List.copyOf(leases.values())) {
            if (!definedNames.contains(state.settings().name()) && !state.isHeld()) {
                remove(state);
            }
        }
        return Outcome.applied(tokenFloor);
    }

    /** Removes a lease, and raises the floor so that its tokens keep increasing if it is defined again. */
    private void remove(LeaseState state) {
        tokenFloor = Math.max(tokenFloor, state.fencingToken());
        leases.remove(state.settings().name());
    }

    private Outcome raiseTokenFloor(long newFloor) {
        if (newFloor <= tokenFloor) {
            return new Outcome(tokenFloor,
                    "token floor must increase: requested=" + newFloor + " current=" + tokenFloor);
        }
        tokenFloor = newFloor;
        leases.replaceAll((name, state) -> LeaseState.neverGranted(state.settings(),
                Math.max(state.fencingToken(), tokenFloor)));
        return Outcome.applied(tokenFloor);
    }

    private Outcome applyToLease(OnLease command) {
        LeaseState state = leases.get(command.leaseName());
        if (state == null) {
            return new Outcome(0, "there is no duty " + command.leaseName());
        }
        String rejection = rejection(state, command);
        if (rejection != null) {
            return new Outcome(state.fencingToken(), rejection);
        }
        LeaseState next = nextState(state, command);
        leases.put(command.leaseName(), next);
        return Outcome.applied(next.fencingToken());
    }

    /** Why a command does not match the state, or null if it does. */
    protected String rejection(LeaseState state, OnLease command) {
        if (command instanceof Grant grant) {
            return rejection(state, grant);
        } else if (command instanceof HolderCrashed crashed) {
            Loss loss = state.findLoss(crashed.fencingToken());
            return loss != null && !loss.processEnded() ? null
                    : "no unconfirmed loss: lease=" + crashed.leaseName() + " token=" + crashed.fencingToken();
        } else if (command instanceof OnGrant onGrant) {
            return state.isHeld() && state.fencingToken() == onGrant.fencingToken() ? null
                    : "token is not the current holder's: lease=" + onGrant.leaseName() + " token="
                            + onGrant.fencingToken() + " current=" + state.fencingToken() + " held=" + state.isHeld();
        }
        return null;
    }

    private static String rejection(LeaseState state, Grant grant) {
        if (state.isHeld()) {
            return "lease is held: lease=" + grant.leaseName() + " holder=" + state.holder();
        } else if (state.isSuspended()) {
            return "lease is suspended: lease=" + grant.leaseName() + " reason=" + state.suspendedReason();
        }
        return state.fencingToken() == grant.previousToken() ? null
                : "lease was granted since: lease=" + grant.leaseName() + " expected-token=" + grant.previousToken()
                        + " current=" + state.fencingToken();
    }

    private LeaseState nextState(LeaseState state, OnLease command) {
        if (command instanceof OnGrant onGrant) {
            return nextState(state, onGrant);
        } else if (command instanceof Grant grant) {
            return state.grantedTo(grant.holder(), nextToken(state));
        } else if (command instanceof Suspend suspend) {
            return state.suspended(suspend.reason());
        } else if (command instanceof Resume) {
            return state.resumed();
        } else if (command instanceof Transfer transfer) {
            return state.withPreferredMember(transfer.memberName());
        }
        throw new IllegalArgumentException("unsupported command about one lease: " + command);
    }

    private static LeaseState nextState(LeaseState state, OnGrant command) {
        if (command instanceof Release) {
            return state.released();
        } else if (command instanceof Expire expire) {
            return state.released().withLoss(new Loss(expire.fencingToken(), state.holder(), false));
        } else if (command instanceof HolderFailed failed) {
            return state.released().withLoss(new Loss(failed.fencingToken(), state.holder(), true));
        } else if (command instanceof HolderCrashed crashed) {
            MemberIdentity holder = state.findLoss(crashed.fencingToken()).holder();
            return state.withLoss(new Loss(crashed.fencingToken(), holder, true));
        } else if (command instanceof HolderSettled) {
            return state.settled();
        }
        throw new IllegalArgumentException("unsupported command about a granted lease: " + command);
    }

    /** The token of the next grant: above every token granted for the lease, and above the floor. */
    protected long nextToken(LeaseState state) {
        return Math.max(state.fencingToken(), tokenFloor) + 1;
    }

    /** The lease of that name, or null if it is not defined. */
    public LeaseState get(String leaseName) {
        return leases.get(leaseName);
    }

    /** All leases, ordered by name. */
    public Collection<LeaseState> leases() {
        return Collections.unmodifiableCollection(leases.values());
    }

    /** Returns the complete state. */
    public Snapshot snapshot() {
        return new Snapshot(tokenFloor, List.copyOf(leases.values()));
    }

    /** Replaces the complete state. */
    public void restore(Snapshot snapshot) {
        tokenFloor = snapshot.tokenFloor();
        leases.clear();
        leases.putAll(snapshot.leases().stream()
                .collect(Collectors.toMap(state -> state.settings().name(), state -> state)));
    }
}
