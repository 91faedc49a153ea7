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
 * @param coreSpeed of this machine beside the installation's yardstick of 1; 0, the default, where nobody knows
 * @param zone where the machine stands ({@code machine.hall}), or empty
 * @param peering null, the default, for off
 * @param brokers to consume from; none by default
 * @param cluster null, the default, for an instance that is no member of a cluster
 */
public record ExtensionSettings(double coreSpeed, String zone, Peering peering, List<BrokerSettings> brokers,
        ClusterSettings cluster) {

    /** All parts are off. */
    public static final ExtensionSettings NONE = new ExtensionSettings(0, "", null, List.of(), null);

    /**
     * An instance that may be asked for what it has learned.
     *
     * @param zone where its machine stands, or empty; peers in the same zone are asked first
     */
    public record Peer(String name, Address address, String zone) {
    }

    /**
     * Learning from running instances: {@code peering} in the settings file.
     *
     * @param listen where other instances ask this one, or null, the default, for nowhere
     * @param peers at most 1000
     * @param key signs what is sent; at least 16 bytes
     * @param secondaryKey is accepted as well while keys are changed, or null
     * @param maxWaitSeconds that serving may wait for the first share: from 0 to 60, 0.5 by default
     * @param hedgeAfterSeconds without a word until a second peer is asked: from 0.001 to 60, 0.15 by default
     * @param attemptTimeoutSeconds for one attempt: from 0.01 to 600, 2 by default
     * @param maxAttempts in all for one start: from 1 to 1000, 6 by default
     * @param sharesPerSecond shares given to others at most: from 0.01 to 10000, 5 by default
     * @param maxEventLoopShare part of the event loop's time that giving may take: from 0.0001 to 1, 0.02 by default
     * @param excludedKinds kinds of estimates that are not taken over; none by default
     */
    public record Peering(Address listen, List<Peer> peers, Secret key, Secret secondaryKey, double maxWaitSeconds,
            double hedgeAfterSeconds, double attemptTimeoutSeconds, int maxAttempts, double sharesPerSecond,
            double maxEventLoopShare, Set<LearnedEstimate.Kind> excludedKinds) {
    }

    /** Bytes of a key or password; never shown by a log, an error or a dump of the settings. */
    public static final class Secret {
        private final byte[] bytes;

        /** A secret of these bytes, which are copied. */
        public Secret(byte[] bytes) {
            this.bytes = bytes.clone();
        }

        /** A copy of the bytes. */
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
