package topazladder.config;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import topazladder.config.ServiceSettings.Address;
import topazladder.request.LearnedEstimate;

/**
 * What an installation sets beyond its configuration, checked and with its defaults; a part that is null is off. It
 * is read by {@link ExtensionSettingsFile}, so that the program runs without the libraries for that where there is no
 * file.
 *
 * @param coreSpeed beside the installation's yardstick of 1; 0 where nobody knows
 * @param hall where the machine stands, or empty
 * @param brokers to consume from
 * @param members of a hall that know of each other, and their duties
 */
public record ExtensionSettings(double coreSpeed, String hall, Peering peering, List<BrokerSettings> brokers,
        ClusterSettings members) {

    public static final ExtensionSettings NONE = new ExtensionSettings(0, "", null, List.of(), null);

    /** Whoever may be asked. */
    public record Peer(String name, Address address, String hall) {
    }

    /**
     * Learning from running instances.
     *
     * @param listen where others ask, or null for nowhere
     * @param key signs what is sent
     * @param otherKey is taken as well, or null
     * @param waitAtMost seconds that serving may wait for a share
     * @param hedgeAfter seconds without a word until a second peer is asked
     * @param tryFor seconds for one try
     * @param loopShare part of the event loop's time that giving may take
     * @param leaveOut kinds that the module is not told
     */
    public record Peering(Address listen, List<Peer> peers, Secret key, Secret otherKey, double waitAtMost,
            double hedgeAfter, double tryFor, int tries, double sharesPerSecond, double loopShare,
            Set<LearnedEstimate.Kind> leaveOut) {
    }

    /** Bytes of a key; never told by a log, an error or a dump of the settings. */
    public static final class Secret {
        private final byte[] bytes;

        public Secret(byte[] bytes) {
            this.bytes = bytes.clone();
        }

        public byte[] bytes() {
            return bytes.clone();
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof Secret s && Arrays.equals(bytes, s.bytes);
        }

        @Override
        public int hashCode() {
            return Objects.hash(bytes.length);
        }

        @Override
        public String toString() {
            return "(secret)";
        }
    }
}
