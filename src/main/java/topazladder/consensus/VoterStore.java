package topazladder.consensus;

import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.util.List;

/** A voter's durable state. A crash may lose writes that were not flushed, but no flushed ones. */
public interface VoterStore extends RaftStore, AutoCloseable {

    /**
     * The identity and group of the voter that owns a store.
     *
     * @param localEndpoint identity under which it votes
     * @param initialVoters voters with which the group was formed
     * @param groupGeneration number of times that an operator formed the group anew; voters of different generations
     *     ignore each other
     */
    record VoterIdentity(VoterEndpoint localEndpoint, List<VoterEndpoint> initialVoters, long groupGeneration) {
    }

    /** The identity and group of this voter. Null if the store is empty: it must not vote until the group adds it. */
    VoterIdentity identity();

    /**
     * Initializes the store without term, vote and log, dropping what it held.
     *
     * @throws IOException if the store can't be written
     */
    void initialize(VoterIdentity founding) throws IOException;

    /** Drops what was not flushed and returns the rest; null if no raft node has written its state yet. */
    RestoredRaftState restored();

    @Override
    void close();
}
