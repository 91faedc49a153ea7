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
                    .addAllDuties(define.duties().stream().map(LeaseMessages::settings).toList()));
        } else if (command instanceof LeaseCommand.Grant grant) {
            message.setGrant(lease(grant.duty(), grant.seen()).setTo(IdentityMessages.member(grant.to())));
        } else if (command instanceof LeaseCommand.Release release) {
            message.setRelease(lease(release.duty(), release.token()));
        } else if (command instanceof LeaseCommand.Expire expire) {
            message.setExpire(lease(expire.duty(), expire.token()));
        } else if (command instanceof LeaseCommand.Settled settled) {
            message.setSettled(lease(settled.duty(), settled.token()));
        } else if (command instanceof LeaseCommand.Crashed crashed) {
            message.setCrashed(lease(crashed.duty(), crashed.token()));
        } else if (command instanceof LeaseCommand.Failed failed) {
            message.setFailed(lease(failed.duty(), failed.token()).setText(failed.why()));
        } else if (command instanceof LeaseCommand.Halt halt) {
            message.setHalt(lease(halt.duty(), 0).setText(halt.why()));
        } else if (command instanceof LeaseCommand.Resume resume) {
            message.setResume(lease(resume.duty(), 0));
        } else if (command instanceof LeaseCommand.HandOver handOver) {
            message.setHandOver(lease(handOver.duty(), 0).setText(handOver.member()));
        } else if (command instanceof LeaseCommand.Lead lead) {
            message.setLead(LeadOp.newBuilder().setLeader(lead.leader()).setNonce(lead.nonce()));
        } else if (command instanceof LeaseCommand.RaiseTokens raise) {
            message.setRaiseTokens(raise.to());
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
            case SETTLED -> new LeaseCommand.Settled(message.getSettled().getDuty(), message.getSettled().getToken());
            case CRASHED -> new LeaseCommand.Crashed(message.getCrashed().getDuty(), message.getCrashed().getToken());
            case FAILED -> {
                DutyOp failed = message.getFailed();
                yield new LeaseCommand.Failed(failed.getDuty(), failed.getToken(), failed.getText());
            }
            case HALT -> new LeaseCommand.Halt(message.getHalt().getDuty(), message.getHalt().getText());
            case RESUME -> new LeaseCommand.Resume(message.getResume().getDuty());
            case HAND_OVER -> new LeaseCommand.HandOver(message.getHandOver().getDuty(),
                    message.getHandOver().getText());
            case LEAD -> new LeaseCommand.Lead(message.getLead().getLeader(), message.getLead().getNonce());
            case RAISE_TOKENS -> new LeaseCommand.RaiseTokens(message.getRaiseTokens());
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
        return DutyTermsMessage.newBuilder().setName(settings.name()).setLease(settings.lease())
                .setMostLosses(settings.mostLosses()).build();
    }

    private static LeaseSettings settings(DutyTermsMessage message) throws MalformedMessageException {
        if (!(message.getLease() > 0)) {
            throw new MalformedMessageException("a lease of " + message.getLease());
        }
        return new LeaseSettings(IdentityMessages.name(message.getName()), message.getLease(),
                message.getMostLosses());
    }

    // ---- snapshots

    static LedgerCopy snapshot(LeaseStateMachine.Copy snapshot) {
        return LedgerCopy.newBuilder().setFloor(snapshot.floor())
                .addAllDuties(snapshot.duties().stream().map(LeaseMessages::state).toList()).build();
    }

    static LeaseStateMachine.Copy snapshot(LedgerCopy message) throws MalformedMessageException {
        List<LeaseState> leases = new ArrayList<>();
        for (DutyStateMessage state : message.getDutiesList()) {
            leases.add(state(state));
        }
        return new LeaseStateMachine.Copy(message.getFloor(), List.copyOf(leases));
    }

    private static DutyStateMessage state(LeaseState state) {
        DutyStateMessage.Builder message = DutyStateMessage.newBuilder().setTerms(settings(state.terms()))
                .setToken(state.token()).setWanted(state.wanted()).setPlaced(state.placed())
                .setIsHalted(state.halted() != null);
        if (state.halted() != null) {
            message.setHalted(state.halted());
        }
        if (state.holder() != null) {
            message.setHolder(IdentityMessages.member(state.holder()));
        }
        for (LeaseState.Loss loss : state.losses()) {
            message.addLosses(LossMessage.newBuilder().setToken(loss.token())
                    .setHolder(IdentityMessages.member(loss.holder())).setEnded(loss.ended()));
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
