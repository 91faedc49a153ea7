package topazladder.consensus;

import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * The part of the replicated state that one domain owns: which commands change it, and what stands for it in a
 * snapshot. Invariant: {@code apply} is deterministic, so that the same commands in the same order give the same state
 * and the same outcomes at every voter (state machine safety, Raft dissertation, section 3.2).
 *
 * @param <C> type of the commands; no command is of two registered types
 * @param <S> type of the snapshot, which differs between registered state machines; a final class
 * @param commandType of the commands that are applied here
 * @param snapshotType of this domain's part of a snapshot
 * @param apply changes the state by a committed command, and returns its outcome
 * @param takeSnapshot copies the state; null where nothing was agreed on yet
 * @param restore replaces the state by that of a snapshot
 * @param initial what stands for the state before anything was agreed on; may be null
 */
public record ReplicatedStateMachine<C, S> (Class<C> commandType, Class<S> snapshotType, Function<C, ?> apply,
        Supplier<S> takeSnapshot, Consumer<S> restore, S initial) {

    boolean accepts(Object command) {
        return commandType.isInstance(command);
    }

    Object applyCommand(Object command) {
        return apply.apply(commandType.cast(command));
    }

    void restoreFrom(StateSnapshot snapshot) {
        restore.accept(snapshot.part(snapshotType).orElse(initial));
    }
}
