package topazladder.net.codec;

import java.util.ArrayList;
import java.util.List;
import topazladder.hall.proto.DefineOp;
import topazladder.hall.proto.DutyOp;
import topazladder.hall.proto.DutyStateMessage;
import topazladder.hall.proto.DutyTermsMessage;
import topazladder.hall.proto.LeadOp;
import topazladder.hall.proto.LedgerCopy;
import topazladder.hall.proto.LossMessage;
import topazladder.hall.proto.OpMessage;
import topazladder.lease.LeaseCommand;
import topazladder.lease.LeaseSettings;
import topazladder.lease.LeaseState;
import topazladder.lease.LeaseStateMachine;

/** What the voters agree on about leases, as messages and back: commands, and their part of a snapshot. */
final class LeaseMessages {

    private LeaseMessages() {}

    // ---- commands

    static void writeCommand(LeaseCommand command, OpMessage.Builder message) {
        if (command instanceof LeaseCommand.Define define) {
            message.setDefine(DefineOp.newBuilder()
                    .addAllDuties(define.leases().stream().map(LeaseMessages::settings).toList()));
        } else if (command instanceof LeaseCommand.Grant grant) {
            message.setGrant(
                    lease(grant.leaseName(), grant.previousToken()).setTo(IdentityMessages.member(grant.holder())));
        } else if (command instanceof LeaseCommand.Release release) {
            message.setRelease(lease(release.leaseName(), release.fencingToken()));
        } else if (command instanceof LeaseCommand.Expire expire) {
            message.setExpire(lease(expire.leaseName(), expire.fencingToken()));
        } else if (command instanceof LeaseCommand.HolderSettled settled) {
            message.setSettled(lease(settled.leaseName(), settled.fencingToken()));
        } else if (command instanceof LeaseCommand.HolderCrashed crashed) {
            message.setCrashed(lease(crashed.leaseName(), crashed.fencingToken()));
        } else if (command instanceof LeaseCommand.HolderFailed failed) {
            message.setFailed(lease(failed.leaseName(), failed.fencingToken()).setText(failed.reason()));
        } else if (command instanceof LeaseCommand.Suspend suspend) {
            message.setHalt(lease(suspend.leaseName(), 0).setText(suspend.reason()));
        } else if (command instanceof LeaseCommand.Resume resume) {
            message.setResume(lease(resume.leaseName(), 0));
        } else if (command instanceof LeaseCommand.Transfer transfer) {
            message.setHandOver(lease(transfer.leaseName(), 0).setText(transfer.memberName()));
        } else if (command instanceof LeaseCommand.BeginLeadership begin) {
            message.setLead(LeadOp.newBuilder().setLeader(begin.leader()).setNonce(begin.nonce()));
        } else if (command instanceof LeaseCommand.RaiseTokenFloor raise) {
            message.setRaiseTokens(raise.tokenFloor());
        } else {
            throw new IllegalArgumentException("no message for the lease command " + command);
        }
    }

    private static DutyOp.Builder lease(String name, long token) {
        return DutyOp.newBuilder().setDuty(name).setToken(token);
    }

    /** The command of a message of which the case is one of leases. */
    static LeaseCommand command(OpMessage message) throws MalformedMessageException {
        return switch (message.getOpCase()) {
            case DEFINE -> define(message.getDefine());
            case GRANT -> {
                DutyOp grant = message.getGrant();
                yield new LeaseCommand.Grant(grant.getDuty(), IdentityMessages.member(grant.getTo()),
                        grant.getToken());
            }
            case RELEASE -> new LeaseCommand.Release(message.getRelease().getDuty(), message.getRelease().getToken());
            case EXPIRE -> new LeaseCommand.Expire(message.getExpire().getDuty(), message.getExpire().getToken());
            case SETTLED -> new LeaseCommand.HolderSettled(message.getSettled().getDuty(),
                    message.getSettled().getToken());
            case CRASHED -> new LeaseCommand.HolderCrashed(message.getCrashed().getDuty(),
                    message.getCrashed().getToken());
            case FAILED -> {
                DutyOp failed = message.getFailed();
                yield new LeaseCommand.HolderFailed(failed.getDuty(), failed.getToken(), failed.getText());
            }
            case HALT -> new LeaseCommand.Suspend(message.getHalt().getDuty(), message.getHalt().getText());
            case RESUME -> new LeaseCommand.Resume(message.getResume().getDuty());
            case HAND_OVER -> new LeaseCommand.Transfer(message.getHandOver().getDuty(),
                    message.getHandOver().getText());
            case LEAD -> new LeaseCommand.BeginLeadership(message.getLead().getLeader(), message.getLead().getNonce());
            case RAISE_TOKENS -> new LeaseCommand.RaiseTokenFloor(message.getRaiseTokens());
            default -> throw new IllegalArgumentException("no lease command: " + message.getOpCase());
        };
    }

    private static LeaseCommand define(DefineOp message) throws MalformedMessageException {
        List<LeaseSettings> all = new ArrayList<>();
        for (DutyTermsMessage settings : message.getDutiesList()) {
            all.add(settings(settings));
        }
        return new LeaseCommand.Define(List.copyOf(all));
    }

    private static DutyTermsMessage settings(LeaseSettings settings) {
        return DutyTermsMessage.newBuilder().setName(settings.name()).setLease(settings.durationSeconds())
                .setMostLosses(settings.maxConsecutiveLosses()).build();
    }

    private static LeaseSettings settings(DutyTermsMessage message) throws MalformedMessageException {
        if (!(message.getLease() > 0)) {
            throw new MalformedMessageException("a lease of " + message.getLease());
        }
        return new LeaseSettings(IdentityMessages.name(message.getName()), message.getLease(),
                message.getMostLosses());
    }

    // ---- snapshots

    static LedgerCopy snapshot(LeaseStateMachine.Snapshot snapshot) {
        return LedgerCopy.newBuilder().setFloor(snapshot.tokenFloor())
                .addAllDuties(snapshot.leases().stream().map(LeaseMessages::state).toList()).build();
    }

    static LeaseStateMachine.Snapshot snapshot(LedgerCopy message) throws MalformedMessageException {
        List<LeaseState> leases = new ArrayList<>();
        for (DutyStateMessage state : message.getDutiesList()) {
            leases.add(state(state));
        }
        return new LeaseStateMachine.Snapshot(message.getFloor(), List.copyOf(leases));
    }

    private static DutyStateMessage state(LeaseState state) {
        DutyStateMessage.Builder message = DutyStateMessage.newBuilder().setTerms(settings(state.settings()))
                .setToken(state.fencingToken()).setWanted(state.preferredMember()).setPlaced(state.placedByOperator())
                .setIsHalted(state.isSuspended());
        if (state.isSuspended()) {
            message.setHalted(state.suspendedReason());
        }
        if (state.holder() != null) {
            message.setHolder(IdentityMessages.member(state.holder()));
        }
        for (LeaseState.Loss loss : state.losses()) {
            message.addLosses(LossMessage.newBuilder().setToken(loss.fencingToken())
                    .setHolder(IdentityMessages.member(loss.holder())).setEnded(loss.processEnded()));
        }
        return message.build();
    }

    private static LeaseState state(DutyStateMessage message) throws MalformedMessageException {
        List<LeaseState.Loss> losses = new ArrayList<>();
        for (LossMessage loss : message.getLossesList()) {
            losses.add(new LeaseState.Loss(loss.getToken(), IdentityMessages.member(loss.getHolder()),
                    loss.getEnded()));
        }
        return new LeaseState(settings(message.getTerms()), message.getToken(),
                message.hasHolder() ? IdentityMessages.member(message.getHolder()) : null,
                message.getIsHalted() ? message.getHalted() : null, message.getWanted(), message.getPlaced(),
                List.copyOf(losses));
    }
}
