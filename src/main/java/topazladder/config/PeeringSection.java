package topazladder.config;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import topazladder.config.ExtensionSettings.Peer;
import topazladder.config.ExtensionSettings.Peering;
import topazladder.config.ServiceSettings.Address;
import topazladder.request.LearnedEstimate;

/** Reads and checks the section {@code peering} of the settings file. */
final class PeeringSection {
    private static final int MAX_PEERS = 1000;
    private static final int MAX_NAME_LENGTH = 100;

    private PeeringSection() {}

    static Peering read(topazladder.config.proto.Peering section, SettingsFolder folder) {
        List<Peer> peers = peers(section);
        Set<LearnedEstimate.Kind> excludedKinds = excludedKinds(section);
        return new Peering(
                section.getListen().isEmpty() ? null : Address.of("peering.listen", section.getListen()),
                peers,
                folder.readKey("peering.key_file", section.getKeyFile()),
                section.getOtherKeyFile().isEmpty() ? null
                        : folder.readKey("peering.other_key_file", section.getOtherKeyFile()),
                inRange("wait", section.hasWait() ? section.getWait() : 0.5, 0, 60),
                inRange("hedge_after", section.hasHedgeAfter() ? section.getHedgeAfter() : 0.15, 0.001, 60),
                inRange("try_for", section.hasTryFor() ? section.getTryFor() : 2, 0.01, 600),
                (int) inRange("tries", section.hasTries() ? section.getTries() : 6, 1, 1000),
                inRange("shares_per_second", section.hasSharesPerSecond() ? section.getSharesPerSecond() : 5, 0.01,
                        10_000),
                inRange("loop_share", section.hasLoopShare() ? section.getLoopShare() : 0.02, 0.0001, 1),
                excludedKinds);
    }

    private static double inRange(String name, double value, double min, double max) {
        return SettingsChecks.inRange("peering." + name, value, min, max);
    }

    private static List<Peer> peers(topazladder.config.proto.Peering section) {
        List<Peer> peers = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (topazladder.config.proto.Peer peer : section.getPeersList()) {
            String key = "peering.peers[" + peers.size() + "].";
            if (peer.getName().isBlank() || peer.getName().length() > MAX_NAME_LENGTH) {
                throw new InvalidSettingsException(key + "name should be a word: '" + peer.getName() + "'");
            }
            if (!names.add(peer.getName())) {
                throw new InvalidSettingsException(key + "name stands twice: " + peer.getName());
            }
            peers.add(new Peer(peer.getName(), Address.of(key + "address", peer.getAddress()), peer.getHall()));
        }
        if (peers.size() > MAX_PEERS) {
            throw new InvalidSettingsException("peering.peers should be " + MAX_PEERS + " at most: " + peers.size());
        }
        return peers;
    }

    private static Set<LearnedEstimate.Kind> excludedKinds(topazladder.config.proto.Peering section) {
        Set<LearnedEstimate.Kind> excluded = EnumSet.noneOf(LearnedEstimate.Kind.class);
        for (String name : section.getLeaveOutList()) {
            excluded.add(EstimateKindNames.kind(name).orElseThrow(() -> new InvalidSettingsException(
                    "peering.leave_out should be one of " + EstimateKindNames.all() + ": " + name)));
        }
        return excluded;
    }
}
