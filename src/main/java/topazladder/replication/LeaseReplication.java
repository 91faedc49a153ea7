package topazladder.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import topazladder.consensus.LeaderService;
import topazladder.consensus.ReplicatedLog;
import topazladder.lease.LeaseCommand;
import topazladder.lease.LeaseManager;
import topazladder.lease.LeaseManager.Step;
import topazladder.lease.LeaseRequest;
import topazladder.lease.LeaseResponse;
import topazladder.lease.LeaseSettings;
import topazladder.lease.LeaseStateMachine.Outcome;
import topazladder.lease.MemberIdentity;

/** Leases at the leader: carries out the steps that the {@link LeaseManager} returns. */
public final class LeaseReplication implements LeaderService {
    /** Bits of a fencing token below the group generation; 2^40 tokens are more than one generation ever grants. */
    private static final int GENERATION_TOKEN_BITS = 40;

    /** Sends messages to members; any of them may be lost. */
    public interface Messages {

        void reply(MemberIdentity to, LeaseResponse response);

        /** Tells a member to poll immediately. */
        void wakeUp(MemberIdentity to);
    }

    private final ReplicatedLog log;
    private final LeaseManager manager;
    private final Messages messages;
    private List<LeaseSettings> settings;

    LeaseReplication(ReplicatedLog log, LeaseManager manager, Messages messages, List<LeaseSettings> settings) {
        this.log = log;
        this.manager = manager;
        this.messages = messages;
        this.settings = settings;
    }

    /** Handles a member's request; {@link Messages#reply} answers it once a majority confirms that this voter leads. */
    public void handleRequest(LeaseRequest request) {
        carryOut(manager.handleRequest(log.now(), request));
    }

    /** Proposes an operator's command, and reports its outcome, or that the outcome is unknown. */
    public void propose(LeaseCommand command, Consumer<Outcome> then) {
        if (!log.isLeader()) {
            then.accept(new Outcome(0, ProposalFailures.NOT_LEADER));
            return;
        }
        log.<Outcome>replicate(command).whenComplete((outcome, failure) -> then.accept(
                failure == null ? outcome : new Outcome(0, ProposalFailures.indeterminate(failure))));
    }

    void replaceSettings(List<LeaseSettings> newSettings) {
        settings = newSettings;
    }

    @Override
    public List<?> settingsCommands(long groupGeneration) {
        List<LeaseCommand> commands = new ArrayList<>();
        commands.add(new LeaseCommand.Define(settings));
        if (groupGeneration > 0) {
            // How many tokens earlier generations granted is unknown; this floor is above any they can have reached.
            commands.add(new LeaseCommand.RaiseTokenFloor(groupGeneration << GENERATION_TOKEN_BITS));
        }
        return commands;
    }

    @Override
    public void becomeLeader(double now) {
        manager.becomeLeader(now);
    }

    @Override
    public void stepDown() {
        manager.stepDown();
    }

    @Override
    public void tick(double now) {
        carryOut(manager.tick(now));
    }

    @Override
    public void commandApplied(double now, Object command, Object outcome) {
        if (command instanceof LeaseCommand leaseCommand) {
            List<Step> steps = manager.commandApplied(now, leaseCommand, (Outcome) outcome);
            if (!steps.isEmpty()) {
                log.runLater(() -> carryOut(steps));
            }
        }
    }

    private void carryOut(List<Step> steps) {
        steps.forEach(this::carryOut);
    }

    private void carryOut(Step step) {
        if (step instanceof Step.Propose propose) {
            replicate(propose.command());
        } else if (step instanceof Step.ConfirmLeadership confirm) {
            confirmLeadership(confirm.round());
        } else if (step instanceof Step.Reply reply) {
            messages.reply(reply.member(), reply.response());
        } else if (step instanceof Step.WakeUp wakeUp) {
            messages.wakeUp(wakeUp.member());
        }
    }

    private void replicate(LeaseCommand command) {
        log.replicate(command).whenComplete((outcome, failure) -> {
            if (failure != null) {
                log.replicationFailed(failure);
                manager.commandFailed(command);
            }
        });
    }

    private void confirmLeadership(long round) {
        log.confirmLeadership().whenComplete((confirmed, failure) -> {
            if (failure == null) {
                carryOut(manager.leadershipConfirmed(log.now(), round));
            } else {
                log.replicationFailed(failure);
                carryOut(manager.leadershipUnconfirmed(round));
            }
        });
    }
}
