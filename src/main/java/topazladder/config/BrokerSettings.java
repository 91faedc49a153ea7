package topazladder.config;

import java.util.List;
import topazladder.config.ExtensionSettings.Secret;
import topazladder.config.ServiceSettings.Address;

/**
 * One broker of AMQP 0-9-1 and what is consumed from it: {@code brokers} in the settings file.
 *
 * @param name unique among the brokers of the file
 * @param address where the broker listens
 * @param virtualHost "/" by default
 * @param user empty where the certificate stands in its place
 * @param password null where the certificate stands in its place
 * @param tls null for a connection in plain text, the default
 * @param heartbeatSeconds from 1 to 3600, 10 by default; half of it without a frame closes the connection
 * @param queues at least one
 * @param declaredTopology null, the default, where exchanges and queues are only checked to be there
 */
public record BrokerSettings(String name, Address address, String virtualHost, String user, Secret password, Tls tls,
        double heartbeatSeconds, List<QueueSettings> queues, Topology declaredTopology) {

    /**
     * How the connection is encrypted.
     *
     * @param trustedCertificates PEM certificates that the broker's must lead to
     * @param certificateChain PEM chain of this instance, or null
     * @param privateKey PEM key, in PKCS 8, of this instance, or null
     * @param serverName that the broker's certificate must bear; empty, the default, for its numeric address
     */
    public record Tls(String trustedCertificates, String certificateChain, Secret privateKey, String serverName) {
    }

    /** What is declared at each connect where it is not there yet. */
    public record Topology(List<Exchange> exchanges, List<Queue> queues, List<Binding> bindings) {
    }

    /**
     * An exchange to declare.
     *
     * @param type direct, topic, fanout or headers
     */
    public record Exchange(String name, String type) {
    }

    /**
     * A queue to declare.
     *
     * @param deadLetterExchange null for none; empty for the default exchange
     * @param deadLetterKey null for the message's own
     * @param timeToLiveSeconds 0, the default, for no limit
     * @param maxMessages 0, the default, for no limit
     */
    public record Queue(String name, String deadLetterExchange, String deadLetterKey, double timeToLiveSeconds,
            int maxMessages) {
    }

    /** A binding to declare, from an exchange to a queue. */
    public record Binding(String queue, String exchange, String routingKey) {
    }
}
