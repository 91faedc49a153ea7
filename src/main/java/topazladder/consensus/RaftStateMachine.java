package topazladder.consensus;

import io.microraft.statemachine.StateMachine;
import java.util.List;
import java.util.function.Consumer;

/** The registered state machines as the library sees them: one state machine, with snapshots of one chunk. */
final class RaftStateMachine implements StateMachine {

    /** A linearizable query that reads nothing: a majority's answer to it confirms the leadership. */
    record LeadershipQuery() {
    }

    /** Callbacks of the replica that owns the state machines. */
    interface Listener {

        /** A committed command was applied and gave this outcome. */
        void commandApplied(Object command, Object outcome);

        /** The first command that this voter appends in each term it leads. */
        Object newTermCommand();
    }

    private final StateMachineRegistry machines;
    private final Listener listener;

    RaftStateMachine(StateMachineRegistry machines, Listener listener) {
        this.machines = machines;
        this.listener = listener;
    }

    @Override
    public Object runOperation(long index, Object operation) {
        if (operation instanceof LeadershipQuery) {
            return Boolean.TRUE;
        }
        Object outcome = machines.apply(operation);
        listener.commandApplied(operation, outcome);
        return outcome;
    }

    @Override
    public void takeSnapshot(long index, Consumer<Object> chunks) {
        chunks.accept(machines.takeSnapshot());
    }

    @Override
    public void installSnapshot(long index, List<Object> chunks) {
        machines.restore((StateSnapshot) chunks.get(0));
    }

    @Override
    public Object getNewTermOperation() {
        return listener.newTermCommand();
    }
}
