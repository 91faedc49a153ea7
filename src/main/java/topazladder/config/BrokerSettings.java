package topazladder.config;

import java.util.List;
import topazladder.config.ExtensionSettings.Secret;
import topazladder.config.ServiceSettings.Address;

/**
 * One broker of AMQP 0-9-1, as the settings have it.
 *
 * @param password null with a certificate in its place
 * @param tls null for none
 * @param heartbeat seconds
 * @param declare null where the topology is only looked for
 */
public record BrokerSettings(String name, Address address, String virtualHost, String user, Secret password, Tls tls,
        double heartbeat, List<QueueSettings> queues, Topology declare) {

    /**
     * @param trust PEM certificates
     * @param certificate PEM chain, or null
     * @param key PEM key, or null
     * @param serverName that the broker's certificate must bear
     */
    public record Tls(String trust, String certificate, Secret key, String serverName) {
    }

    /** What is made where it is not there. */
    public record Topology(List<Exchange> exchanges, List<Queue> queues, List<Binding> bindings) {
    }

    public record Exchange(String name, String type) {
    }

    /**
     * @param deadLetterExchange null for none
     * @param deadLetterKey null for the message's own
     * @param timeToLive seconds, or 0
     * @param mostMessages or 0
     */
    public record Queue(String name, String deadLetterExchange, String deadLetterKey, double timeToLive,
            int mostMessages) {
    }

    public record Binding(String queue, String exchange, String routingKey) {
    }
}
