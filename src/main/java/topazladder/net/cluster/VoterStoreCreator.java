package topazladder.net.cluster;

import java.io.IOException;
import java.util.List;
import topazladder.config.ClusterSettings;
import topazladder.config.InvalidSettingsException;
import topazladder.consensus.VoterEndpoint;
import topazladder.consensus.VoterStore;

/**
 * Creates a voter's store, once and by an operator's command. A voter never creates it by itself: that is how a store
 * that was lost is told from one that never existed. A voter whose store is empty asks the other voters to be added,
 * under another birth.
 */
public final class VoterStoreCreator {

    private VoterStoreCreator() {}

    /**
     * Creates the store of one voter.
     *
     * @param formed the group generation: 0 for the first time, and higher than ever before to form a group anew whose
     *     majority is lost. Voters of one generation do not talk to those of another, and fencing tokens go on far
     *     above those of the generation before
     * @return what was done, in words
     */
    public static String create(String name, ClusterSettings settings, long formed) {
        if (!settings.voters().contains(name) || settings.dataFolder() == null) {
            throw new InvalidSettingsException("no voter store can be created for " + name
                    + ": hall.voters should name it, and hall.folder should be given; hall.voters="
                    + settings.voters() + " hall.folder=" + settings.dataFolder());
        }
        try (SqliteVoterStore store = new SqliteVoterStore(settings.dataFolder())) {
            VoterStore.VoterIdentity existing = store.identity();
            if (existing != null && existing.groupGeneration() >= formed) {
                throw new InvalidSettingsException("hall.folder: the store in " + settings.dataFolder()
                        + " belongs to voter " + existing.localEndpoint() + " of group generation "
                        + existing.groupGeneration() + "; to form the group anew, end all its voters, then give"
                        + " --formed " + (existing.groupGeneration() + 1) + " or more, the same for each voter");
            }
            List<VoterEndpoint> voters = settings.voters().stream().map(v -> new VoterEndpoint(v, 0)).toList();
            store.initialize(new VoterStore.VoterIdentity(new VoterEndpoint(name, 0), voters, formed));
            return "voter store created: name=" + name + " voters=" + voters + " formed=" + formed;
        } catch (IOException e) {
            throw new InvalidSettingsException("hall.folder: " + e.getMessage());
        }
    }
}
