package topazladder.consensus;

import java.util.List;

/**
 * The state machines that are replicated together, in one log: each committed command goes to the one it belongs to.
 */
public final class StateMachineRegistry {
    private final List<ReplicatedStateMachine<?, ?>> machines;

    public StateMachineRegistry(List<ReplicatedStateMachine<?, ?>> machines) {
        this.machines = List.copyOf(machines);
    }

    /**
     * Applies a committed command.
     *
     * @return its outcome, of the type that its state machine gives
     * @throws IllegalArgumentException where no state machine is registered for it
     */
    Object apply(Object command) {
        for (ReplicatedStateMachine<?, ?> machine : machines) {
            if (machine.accepts(command)) {
                return machine.applyCommand(command);
            }
        }
        throw new IllegalArgumentException("no state machine is registered for commands of " + command.getClass());
    }

    /** All of the state, as of the command applied last. */
    public StateSnapshot takeSnapshot() {
        return StateSnapshot.of(machines.stream().map(machine -> (Object) machine.takeSnapshot().get()).toArray());
    }

    void restore(StateSnapshot snapshot) {
        machines.forEach(machine -> machine.restoreFrom(snapshot));
    }

    /** Forgets all state, as before anything was agreed on. */
    public void clear() {
        restore(StateSnapshot.of());
    }
}
