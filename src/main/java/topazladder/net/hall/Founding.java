package topazladder.net.hall;

import java.io.IOException;
import java.util.List;
import topazladder.config.ClusterSettings;
import topazladder.config.InvalidSettingsException;
import topazladder.consensus.VoterEndpoint;
import topazladder.consensus.VoterStore;

/**
 * Makes a voter's folder, once and by hand: only so is a folder that was lost told from one that never was. A voter
 * that finds its folder empty asks the others to be taken in under another birth.
 */
public final class Founding {

    private Founding() {}

    /**
     * @param formed 0 for the first time; higher than ever before to form a group anew of which a majority is lost.
     * Voters of one     forming do not speak with those of another, and tokens go on far above those of the one before
     * @return what was done, in words
     */
    public static String found(String name, ClusterSettings settings, long formed) {
        if (!settings.voters().contains(name) || settings.dataFolder() == null) {
            throw new InvalidSettingsException(name + " should be one of hall.voters, with a hall.folder");
        }
        try (SqliteVoterStore store = new SqliteVoterStore(settings.dataFolder())) {
            VoterStore.Founding before = store.founding();
            if (before != null && before.groupGeneration() >= formed) {
                throw new InvalidSettingsException(
                        "the folder is that of " + before.here() + " already, formed " + before.groupGeneration()
                                + "; to form the group anew give --formed " + (before.groupGeneration() + 1)
                                + " or more, the same to all its voters, once all of the old group are ended");
            }
            List<VoterEndpoint> first = settings.voters().stream().map(v -> new VoterEndpoint(v, 0)).toList();
            store.found(new VoterStore.Founding(new VoterEndpoint(name, 0), first, formed));
            return "founded: " + name + " votes with " + first + ", formed " + formed;
        } catch (IOException e) {
            throw new InvalidSettingsException("hall.folder: " + e.getMessage());
        }
    }
}
