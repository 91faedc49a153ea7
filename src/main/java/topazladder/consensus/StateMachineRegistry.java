package topazladder.consensus;

import java.util.List;

/**
 * The state machines that share one replicated log. Each committed command goes to the state machine of its type.
 */
public final class StateMachineRegistry {
    private final List<ReplicatedStateMachine<?, ?>> machines;

    public StateMachineRegistry(List<ReplicatedStateMachine<?, ?>> machines) {
        this.machines = List.copyOf(machines);
    }

    /**
     * Applies a committed command.
     *
     * @return the outcome that its state machine gives
     * @throws IllegalArgumentException if no registered state machine accepts the command
     */
    Object apply(Object command) {
        for (ReplicatedStateMachine<?, ?> machine : machines) {
            if (machine.accepts(command)) {
                return machine.applyCommand(command);
            }
        }
        throw new IllegalArgumentException(
                "no state machine registered for commands of type " + command.getClass().getName());
    }

    /** The whole state after the last applied command. */
    public StateSnapshot takeSnapshot() {
        return StateSnapshot.of(machines.stream().map(machine -> (Object) machine.takeSnapshot().get()).toArray());
    }

    void restore(StateSnapshot snapshot) {
        machines.forEach(machine -> machine.restoreFrom(snapshot));
    }

    /** Resets all state to that before the first command. */
    public void clear() {
        restore(StateSnapshot.of());
    }
}
