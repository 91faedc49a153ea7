package topazladder.consensus;

import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.util.List;

/** What a voter keeps through restarts. A write that is not flushed may be lost; one that is may not. */
public interface VoterStore extends RaftStore, AutoCloseable {

    /**
     * As whom the voter of this folder votes.
     *
     * @param formed how often the group was formed anew by hand; only voters of one forming talk to each other
     */
    record Founding(VoterEndpoint here, List<VoterEndpoint> first, long formed) {
    }

    /** Null where the folder is empty: then it must not vote before the group has taken it in. */
    Founding founding();

    void found(Founding founding) throws IOException;

    /** What was flushed; what was not is dropped. Null where nothing was written by the group yet. */
    RestoredRaftState restored();

    @Override
    void close();
}
