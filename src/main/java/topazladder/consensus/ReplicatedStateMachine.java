package topazladder.consensus;

import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * The part of the replicated state that one domain owns: the commands that change it, and its representation in a
 * snapshot. Invariant: {@code apply} is deterministic, so that the same commands in the same order give the same state
 * and the same outcomes at every voter (state machine safety, Raft dissertation, section 3.2).
 *
 * @param <C> type of the commands; no command may belong to two registered types
 * @param <S> type of the snapshot; a final class that no other registered state machine uses
 * @param commandType class of the commands
 * @param snapshotType class of this domain's part of a snapshot
 * @param apply applies a committed command to the state and returns its outcome
 * @param takeSnapshot copies the state; returns null if no command has been applied yet
 * @param restore replaces the state by that of a snapshot
 * @param initial snapshot of the state before the first command; may be null
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
