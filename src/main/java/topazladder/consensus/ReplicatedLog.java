package topazladder.consensus;

import java.util.Collection;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** The replicated log as a {@link LeaderService} uses it. All calls and callbacks happen on one thread. */
public interface ReplicatedLog {

    /** Whether this voter leads and has applied the first command of its term. */
    boolean isLeader();

    /** Seconds by the replica's clock. */
    double now();

    /** The voters of the committed configuration, ordered by identity. */
    Collection<VoterEndpoint> voting();

    /**
     * Appends a command to the log.
     *
     * @return completes with the outcome once the command is committed and applied here; fails if this voter does not
     *     lead, or if it is unknown whether the command will be committed
     */
    <T> CompletableFuture<T> replicate(Object command);

    /**
     * Confirms with a majority that this voter still leads, without appending to the log (read index, Raft
     * dissertation, section 6.4).
     *
     * @return completes once a majority has answered messages that were sent after this call
     */
    CompletableFuture<?> confirmLeadership();

    /** Reports the failure of a command or query. This voter steps down if the failure shows that it may not lead. */
    void replicationFailed(Throwable failure);

    /** Runs a task after the current step, since the library is not reentrant. */
    void runLater(Runnable task);

    /**
     * Appends a command whose outcome the caller reads from the replicated state. The callback runs in any case, also
     * if the command failed or its fate is unknown.
     */
    default <C> void propose(C command, Consumer<C> completed) {
        replicate(command).whenComplete((outcome, failure) -> {
            if (failure != null) {
                replicationFailed(failure);
            }
            completed.accept(command);
        });
    }
}
