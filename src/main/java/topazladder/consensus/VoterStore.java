package topazladder.consensus;

import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.util.List;

/** What a voter keeps through restarts. A write that is not flushed may be lost; one that is may not. */
public interface VoterStore extends RaftStore, AutoCloseable {

    /**
     * As whom the voter of this store votes.
     *
     * @param here its identity
     * @param initialVoters that the group was formed with
     * @param groupGeneration how often the group was formed anew by hand; only voters of one generation talk to each
     *     other
     */
    record Founding(VoterEndpoint here, List<VoterEndpoint> initialVoters, long groupGeneration) {
    }

    /** Null where the store is empty: then its owner must not vote before the group has added it. */
    Founding founding();

    /**
     * Begins the store anew, without term, vote and log.
     *
     * @throws IOException where it can't be written
     */
    void found(Founding founding) throws IOException;

    /** What was flushed; what was not is dropped. Null where the group has written nothing yet. */
    RestoredRaftState restored();

    @Override
    void close();
}
