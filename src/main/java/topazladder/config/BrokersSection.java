package topazladder.config;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import topazladder.config.ExtensionSettings.Secret;
import topazladder.config.QueueSettings.Fields;
import topazladder.config.ServiceSettings.Address;
import topazladder.config.proto.Broker;
import topazladder.config.proto.DeclaredQueue;
import topazladder.config.proto.Queue;
import topazladder.config.proto.Route;
import topazladder.config.proto.Tls;
import topazladder.config.proto.Topology;

/** Reads and checks the sections {@code brokers} of the settings file. */
final class BrokersSection {
    private static final int MAX_QUEUE_NAME_LENGTH = 255;
    private static final int MAX_BODY_BYTES = 16 << 20;
    private static final Set<String> EXCHANGE_TYPES = Set.of("direct", "topic", "fanout", "headers");

    private BrokersSection() {}

    static List<BrokerSettings> read(List<Broker> sections, SettingsFolder folder) {
        List<BrokerSettings> brokers = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Broker section : sections) {
            String key = "brokers[" + brokers.size() + "].";
            if (section.getName().isBlank() || !names.add(section.getName())) {
                throw new InvalidSettingsException(
                        key + "name should be a word that no other broker has: '" + section.getName() + "'");
            }
            brokers.add(broker(key, section, folder));
        }
        return brokers;
    }

    private static BrokerSettings broker(String key, Broker section, SettingsFolder folder) {
        if (section.getExternal() && section.getTls().getCertificateFile().isEmpty()) {
            throw new InvalidSettingsException(key + "external needs tls with a certificate");
        }
        if (!section.getExternal() && section.getUser().isEmpty()) {
            throw new InvalidSettingsException(key + "user is missing");
        }
        if (section.getQueuesCount() == 0) {
            throw new InvalidSettingsException(key + "queues is missing");
        }
        List<QueueSettings> queues = queues(key, section);
        return new BrokerSettings(
                section.getName(),
                Address.of(key + "address", section.getAddress()),
                section.getVirtualHost().isEmpty() ? "/" : section.getVirtualHost(),
                section.getUser(),
                section.getExternal() ? null : folder.readSecret(key + "password_file", section.getPasswordFile()),
                section.hasTls() ? tls(key + "tls.", section.getTls(), folder) : null,
                SettingsChecks.inRange(key + "heartbeat", section.hasHeartbeat() ? section.getHeartbeat() : 10, 1,
                        3600),
                queues,
                section.hasDeclare() ? topology(key + "declare.", section.getDeclare()) : null);
    }

    private static List<QueueSettings> queues(String brokerKey, Broker section) {
        List<QueueSettings> queues = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Queue queue : section.getQueuesList()) {
            String key = brokerKey + "queues[" + queues.size() + "].";
            String name = queue.getName();
            if (name.isEmpty() || name.length() > MAX_QUEUE_NAME_LENGTH || !names.add(name)) {
                throw new InvalidSettingsException(key + "name should be that of a queue, once: '" + name + "'");
            }
            queues.add(queue(key, queue));
        }
        return queues;
    }

    private static QueueSettings queue(String key, Queue section) {
        if (section.getOffering().isEmpty()) {
            throw new InvalidSettingsException(key + "offering is missing");
        }
        return new QueueSettings(
                section.getName(),
                fields(key, section),
                (int) SettingsChecks.inRange(key + "prefetch", section.hasPrefetch() ? section.getPrefetch() : 32, 1,
                        10_000),
                (int) SettingsChecks.inRange(key + "tries", section.hasTries() ? section.getTries() : 8, 1, 1000),
                (int) SettingsChecks.inRange(key + "body_bytes",
                        section.hasBodyBytes() ? section.getBodyBytes() : 65_536, 0, MAX_BODY_BYTES),
                section.hasDelay() ? route(key + "delay", section.getDelay()) : null,
                section.hasDeadLetter() ? route(key + "dead_letter", section.getDeadLetter()) : null,
                SettingsChecks.inRange(key + "returns_per_second",
                        section.hasReturnsPerSecond() ? section.getReturnsPerSecond() : 10, 0.01, 10_000),
                !section.getHoldUnknownRedelivered());
    }

    private static Fields fields(String key, Queue section) {
        return new Fields(
                FieldSource.of(key + "offering", section.getOffering()),
                FieldSource.of(key + "customer", section.getCustomer()),
                FieldSource.of(key + "fingerprint", section.getFingerprint()),
                FieldSource.of(key + "rank", section.getRank()),
                FieldSource.of(key + "footprint", section.getFootprint()),
                section.getBelieveTimestamp());
    }

    private static QueueSettings.Route route(String key, Route section) {
        if (section.getExchange().isEmpty() && section.getRoutingKey().isEmpty()) {
            throw new InvalidSettingsException(key + " should name an exchange, or a queue as its routing key");
        }
        return new QueueSettings.Route(section.getExchange(), section.getRoutingKey());
    }

    private static BrokerSettings.Tls tls(String key, Tls section, SettingsFolder folder) {
        if (section.getCertificateFile().isEmpty() != section.getKeyFile().isEmpty()) {
            throw new InvalidSettingsException(key + "certificate_file and key_file go together");
        }
        String trusted = folder.readText(key + "trust_file", section.getTrustFile());
        if (section.getCertificateFile().isEmpty()) {
            return new BrokerSettings.Tls(trusted, null, null, section.getServerName());
        }
        String certificates = folder.readText(key + "certificate_file", section.getCertificateFile());
        String privateKey = folder.readText(key + "key_file", section.getKeyFile());
        return new BrokerSettings.Tls(trusted, certificates, new Secret(privateKey.getBytes(StandardCharsets.UTF_8)),
                section.getServerName());
    }

    private static BrokerSettings.Topology topology(String key, Topology section) {
        section.getExchangesList().forEach(exchange -> {
            if (!EXCHANGE_TYPES.contains(exchange.getType())) {
                throw new InvalidSettingsException(
                        key + "exchanges.type should be direct, topic, fanout or headers: " + exchange.getType());
            }
        });
        return new BrokerSettings.Topology(
                section.getExchangesList().stream()
                        .map(exchange -> new BrokerSettings.Exchange(exchange.getName(), exchange.getType())).toList(),
                section.getQueuesList().stream().map(BrokersSection::declaredQueue).toList(),
                section.getBindingsList().stream().map(binding -> new BrokerSettings.Binding(binding.getQueue(),
                        binding.getExchange(), binding.getRoutingKey())).toList());
    }

    private static BrokerSettings.Queue declaredQueue(DeclaredQueue section) {
        String exchange = section.getDeadLetterExchange();
        String routingKey = section.getDeadLetterRoutingKey();
        // A key alone means the default exchange, which takes a message to the queue of that name.
        return new BrokerSettings.Queue(section.getName(),
                exchange.isEmpty() && routingKey.isEmpty() ? null : exchange,
                routingKey.isEmpty() ? null : routingKey,
                section.getTimeToLive(), section.getMostMessages());
    }
}
