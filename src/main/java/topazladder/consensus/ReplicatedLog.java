package topazladder.consensus;

import java.util.Collection;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** What a {@link LeaderService} needs of the replica that it is registered with. One thread calls, and is called. */
public interface ReplicatedLog {

    /** Whether this voter leads, and the first command of its term is applied. */
    boolean isLeader();

    /** Seconds by the replica's clock. */
    double now();

    /** The committed configuration: who votes, ordered by identity. */
    Collection<VoterEndpoint> voting();

    /**
     * Appends a command to the log.
     *
     * @return completes with the outcome once it is committed and applied here; fails where this voter does not lead,
     *     or where nobody knows whether the command will be committed
     */
    <T> CompletableFuture<T> replicate(Object command);

    /**
     * Asks a majority whether this voter still leads, without an entry in the log (read-only queries by the read index,
     * Raft dissertation, section 6.4).
     *
     * @return completes once a majority has answered to a question that was asked after this call
     */
    CompletableFuture<?> confirmLeadership();

    /** A command or a query failed with that: where it shows that another voter may lead, this one steps down. */
    void replicationFailed(Throwable failure);

    /** Runs a task behind the current step, as the library must not be entered again from within its own. */
    void runLater(Runnable task);

    /**
     * Appends a command of which the outcome shows in the replicated state; the callback runs whatever became of it.
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
