package topazladder.config;

import com.google.protobuf.TextFormat;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import topazladder.config.ExtensionSettings.Peer;
import topazladder.config.ExtensionSettings.Peering;
import topazladder.config.ExtensionSettings.Secret;
import topazladder.config.QueueSettings.Fields;
import topazladder.config.ServiceSettings.Address;
import topazladder.config.proto.Broker;
import topazladder.config.proto.Consume;
import topazladder.config.proto.Duty;
import topazladder.config.proto.Hall;
import topazladder.config.proto.Queue;
import topazladder.config.proto.Route;
import topazladder.config.proto.Settings;
import topazladder.config.proto.Tls;
import topazladder.config.proto.Topology;
import topazladder.disruption.DisruptionBudget;
import topazladder.disruption.DisruptionTarget;
import topazladder.request.LearnedEstimate;

/** Reads and checks a file of own settings, protobuf text format by {@code src/main/proto/settings.proto}. */
public final class ExtensionSettingsFile {
    private static final int SHORTEST_KEY = 16;
    private static final int LONGEST_FILE = 1 << 18;
    private static final int MOST_PEERS = 1000;
    private static final int MOST_DUTIES = 1000;
    private static final int MOST_BELOW = 200;

    private ExtensionSettingsFile() {}

    /** Paths inside the file count from the folder that it is in. */
    public static ExtensionSettings read(Path file) {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new InvalidSettingsException("settings: the file can't be read: " + file);
        }
        return of(text, file.toAbsolutePath().getParent());
    }

    public static ExtensionSettings of(String text, Path folder) {
        Settings s;
        try {
            s = TextFormat.parse(text, Settings.class);
        } catch (TextFormat.ParseException e) {
            throw new InvalidSettingsException("settings: line " + e.getLine() + ": " + e.getMessage());
        }
        Peering peering = s.hasPeering() ? peering(s.getPeering(), folder) : null;
        List<BrokerSettings> brokers = brokers(s, folder);
        return new ExtensionSettings(number("machine.core_speed", s.getMachine().getCoreSpeed(), 0, 1000),
                s.getMachine().getHall(), peering, brokers,
                s.hasHall() ? hall(s.getHall(), peering, brokers, folder) : null);
    }

    private static ClusterSettings hall(Hall h, Peering peering, List<BrokerSettings> brokers, Path folder) {
        if (peering == null || peering.listen() == null) {
            throw new InvalidSettingsException("hall needs peering with listen");
        }
        Set<String> voters = new LinkedHashSet<>(h.getVotersList());
        if (voters.size() != h.getVotersCount() || !Set.of(0, 1, 3, 5, 7).contains(voters.size())) {
            throw new InvalidSettingsException(
                    "hall.voters should be 3, 5 or 7 names that differ: " + h.getVotersList());
        }
        if (h.getDutiesCount() > 0 && voters.isEmpty()) {
            throw new InvalidSettingsException("hall.duties need hall.voters");
        }
        List<ClusterSettings.Duty> duties = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Duty d : h.getDutiesList()) {
            String at = "hall.duties[" + duties.size() + "].";
            if (!d.getName().matches("[A-Za-z0-9._-]{1,100}") || !names.add(d.getName())) {
                throw new InvalidSettingsException(at + "name should be a word of its own: '" + d.getName() + "'");
            }
            duties.add(new ClusterSettings.Duty(d.getName(), number(at + "lease", d.hasLease() ? d.getLease() : 10, 0.5,
                    600),
                    (int) number(at + "most_losses", d.hasMostLosses() ? d.getMostLosses() : 3, 1, 16),
                    what(at, d, brokers)));
        }
        if (duties.size() > MOST_DUTIES) {
            throw new InvalidSettingsException("hall.duties should be " + MOST_DUTIES + " at most: " + duties.size());
        }
        Map<String, Address> routes = new HashMap<>();
        h.getRoutesList().forEach(r -> routes.put(r.getName(), Address.of("hall.routes.address", r.getAddress())));
        double heartbeat = number("hall.heartbeat", h.hasHeartbeat() ? h.getHeartbeat() : 0.5, 0.05, 10);
        for (ClusterSettings.Duty d : duties) {
            if (d.lease() < 4 * heartbeat) {
                throw new InvalidSettingsException(
                        "hall.duties.lease of " + d.name() + " should be at least four heartbeats: "
                                + d.lease());
            }
        }
        return new ClusterSettings(h.getAdvertise().isEmpty() ? peering.listen()
                : Address.of("hall.advertise", h.getAdvertise()),
                h.getSeedsList().stream().map(a -> Address.of("hall.seeds", a)).toList(), List.copyOf(voters),
                h.getFolder().isEmpty() ? null : folder == null ? Path.of(h.getFolder())
                        : folder.resolve(h.getFolder()),
                heartbeat, duties, h.getHoldsNone(),
                number("hall.period", h.hasPeriod() ? h.getPeriod() : 1, 0.05, 60), routes,
                number("hall.clock_rate", h.hasClockRate() ? h.getClockRate() : 1, 0.5, 2), budgets(h), h.getVersion(),
                h.getNextFile().isEmpty() ? null : folder == null ? Path.of(h.getNextFile())
                        : folder.resolve(h.getNextFile()),
                number("hall.notice", h.hasNotice() ? h.getNotice() : 1, 0, 60), h.hasBelow() ? below(h) : null);
    }

    private static ClusterSettings.Below below(Hall h) {
        List<ClusterSettings.Below.Server> servers = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Hall.Below.Server s : h.getBelow().getServersList()) {
            String at = "hall.below.servers[" + servers.size() + "].";
            if (!s.getName().matches("[A-Za-z0-9._-]{1,100}") || !names.add(s.getName())) {
                throw new InvalidSettingsException(at + "name should be a word of its own: '" + s.getName() + "'");
            }
            servers.add(new ClusterSettings.Below.Server(s.getName(), Address.of(at + "address", s.getAddress())));
        }
        if (servers.isEmpty() || servers.size() > MOST_BELOW) {
            throw new InvalidSettingsException(
                    "hall.below.servers should be 1 to " + MOST_BELOW + ": " + servers.size());
        }
        if (h.getVotersCount() == 0) {
            throw new InvalidSettingsException("hall.below needs hall.voters");
        }
        return new ClusterSettings.Below(List.copyOf(servers), number("hall.below.alone",
                h.getBelow().hasAlone() ? h.getBelow().getAlone() : 0.25, 0, 0.5));
    }

    private static List<DisruptionBudget> budgets(Hall h) {
        List<DisruptionBudget> all = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Hall.OutBudget b : h.getBudgetsList()) {
            String at = "hall.budgets[" + all.size() + "].";
            if (b.getName().isBlank() || !names.add(b.getName())) {
                throw new InvalidSettingsException(at + "name should be a word of its own: '" + b.getName() + "'");
            }
            all.add(new DisruptionBudget(b.getName(),
                    b.getBelow() ? DisruptionTarget.Kind.DEPENDENCY : DisruptionTarget.Kind.INSTANCE, b.getZone(),
                    (int) number(at + "most", b.hasMost() ? b.getMost() : 1, 0, 1000),
                    number(at + "share", b.hasShare() ? b.getShare() : 1, 0.001, 1)));
        }
        return List.copyOf(all);
    }

    private static ClusterSettings.What what(String at, Duty d, List<BrokerSettings> brokers) {
        return switch (d.getWhatCase()) {
            case TOUCH -> new ClusterSettings.Touch(Address.of(at + "touch.address", d.getTouch().getAddress()),
                    number(at + "touch.every", d.getTouch().hasEvery() ? d.getTouch().getEvery() : 1, 0.01, 3600));
            case PROBE -> {
                if (!d.getProbe().getService().equals("index")) {
                    throw new InvalidSettingsException(
                            at + "probe.service should be index: '" + d.getProbe().getService() + "'");
                }
                yield new ClusterSettings.Probe(number(at + "probe.every",
                        d.getProbe().hasEvery() ? d.getProbe().getEvery() : 1, 0.01, 3600));
            }
            case CONSUME -> {
                Consume c = d.getConsume();
                if (brokers.stream().noneMatch(b -> b.name().equals(c.getBroker())
                        && b.queues().stream().anyMatch(q -> q.queue().equals(c.getQueue())))) {
                    throw new InvalidSettingsException(
                            at + "consume should name a queue of brokers: " + c.getBroker() + ", "
                                    + c.getQueue());
                }
                yield new ClusterSettings.Consume(c.getBroker(), c.getQueue());
            }
            case CONDUCT -> new ClusterSettings.Conduct();
            case WHAT_NOT_SET -> throw new InvalidSettingsException(
                    at + "should say what it is: touch, probe, consume or conduct");
        };
    }

    private static List<BrokerSettings> brokers(Settings s, Path folder) {
        List<BrokerSettings> all = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Broker b : s.getBrokersList()) {
            String at = "brokers[" + all.size() + "].";
            if (b.getName().isBlank() || !names.add(b.getName())) {
                throw new InvalidSettingsException(
                        at + "name should be a word that no other broker has: '" + b.getName() + "'");
            }
            if (b.getExternal() && !(b.hasTls() && !b.getTls().getCertificateFile().isEmpty())) {
                throw new InvalidSettingsException(at + "external needs tls with a certificate");
            }
            if (!b.getExternal() && b.getUser().isEmpty()) {
                throw new InvalidSettingsException(at + "user is missing");
            }
            if (b.getQueuesCount() == 0) {
                throw new InvalidSettingsException(at + "queues is missing");
            }
            List<QueueSettings> queues = new ArrayList<>();
            Set<String> queueNames = new HashSet<>();
            for (Queue q : b.getQueuesList()) {
                String of = at + "queues[" + queues.size() + "].";
                if (q.getName().isEmpty() || q.getName().length() > 255 || !queueNames.add(q.getName())) {
                    throw new InvalidSettingsException(
                            of + "name should be that of a queue, once: '" + q.getName() + "'");
                }
                queues.add(queue(of, q));
            }
            all.add(new BrokerSettings(b.getName(), Address.of(at + "address", b.getAddress()),
                    b.getVirtualHost().isEmpty() ? "/" : b.getVirtualHost(), b.getUser(),
                    b.getExternal() ? null : secret(at + "password_file", b.getPasswordFile(), folder, 1),
                    b.hasTls() ? tls(at + "tls.", b, folder) : null,
                    number(at + "heartbeat", b.hasHeartbeat() ? b.getHeartbeat() : 10, 1, 3600), queues,
                    b.hasDeclare() ? topology(at + "declare.", b.getDeclare()) : null));
        }
        return all;
    }

    private static QueueSettings queue(String at, Queue q) {
        if (q.getOffering().isEmpty()) {
            throw new InvalidSettingsException(at + "offering is missing");
        }
        return new QueueSettings(q.getName(), new Fields(FieldSource.of(at + "offering", q.getOffering()),
                FieldSource.of(at + "customer", q.getCustomer()),
                FieldSource.of(at + "fingerprint", q.getFingerprint()),
                FieldSource.of(at + "rank", q.getRank()), FieldSource.of(at + "footprint", q.getFootprint()),
                q.getBelieveTimestamp()),
                (int) number(at + "prefetch", q.hasPrefetch() ? q.getPrefetch() : 32, 1, 10_000),
                (int) number(at + "tries", q.hasTries() ? q.getTries() : 8, 1, 1000),
                (int) number(at + "body_bytes", q.hasBodyBytes() ? q.getBodyBytes() : 65_536, 0, 16 << 20),
                q.hasDelay() ? route(at + "delay", q.getDelay()) : null,
                q.hasDeadLetter() ? route(at + "dead_letter", q.getDeadLetter()) : null,
                number(at + "returns_per_second", q.hasReturnsPerSecond() ? q.getReturnsPerSecond() : 10, 0.01, 10_000),
                !q.getHoldUnknownRedelivered());
    }

    private static QueueSettings.Route route(String at, Route r) {
        if (r.getExchange().isEmpty() && r.getRoutingKey().isEmpty()) {
            throw new InvalidSettingsException(at + " should name an exchange, or a queue as its routing key");
        }
        return new QueueSettings.Route(r.getExchange(), r.getRoutingKey());
    }

    private static BrokerSettings.Tls tls(String at, Broker b, Path folder) {
        Tls t = b.getTls();
        if (t.getCertificateFile().isEmpty() != t.getKeyFile().isEmpty()) {
            throw new InvalidSettingsException(at + "certificate_file and key_file go together");
        }
        boolean own = !t.getCertificateFile().isEmpty();
        return new BrokerSettings.Tls(text(at + "trust_file", t.getTrustFile(), folder),
                own ? text(at + "certificate_file", t.getCertificateFile(), folder) : null,
                own ? new Secret(text(at + "key_file", t.getKeyFile(), folder).getBytes(StandardCharsets.UTF_8)) : null,
                t.getServerName());
    }

    private static BrokerSettings.Topology topology(String at, Topology t) {
        t.getExchangesList().forEach(e -> {
            if (!List.of("direct", "topic", "fanout", "headers").contains(e.getType())) {
                throw new InvalidSettingsException(
                        at + "exchanges.type should be direct, topic, fanout or headers: " + e.getType());
            }
        });
        return new BrokerSettings.Topology(
                t.getExchangesList().stream().map(e -> new BrokerSettings.Exchange(e.getName(), e.getType())).toList(),
                t.getQueuesList().stream().map(q -> new BrokerSettings.Queue(q.getName(),
                        // A key alone means the default exchange, which takes a message to the queue of that name.
                        q.getDeadLetterRoutingKey().isEmpty() ? empty(q.getDeadLetterExchange())
                                : q.getDeadLetterExchange(),
                        empty(q.getDeadLetterRoutingKey()), q.getTimeToLive(), q.getMostMessages())).toList(),
                t.getBindingsList().stream().map(b -> new BrokerSettings.Binding(b.getQueue(), b.getExchange(),
                        b.getRoutingKey())).toList());
    }

    private static String empty(String text) {
        return text.isEmpty() ? null : text;
    }

    private static String text(String key, String path, Path folder) {
        return new String(secret(key, path, folder, 1).bytes(), StandardCharsets.UTF_8);
    }

    private static Peering peering(topazladder.config.proto.Peering p, Path folder) {
        List<Peer> peers = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (topazladder.config.proto.Peer peer : p.getPeersList()) {
            String at = "peering.peers[" + peers.size() + "].";
            if (peer.getName().isBlank() || peer.getName().length() > 100) {
                throw new InvalidSettingsException(at + "name should be a word: '" + peer.getName() + "'");
            }
            if (!names.add(peer.getName())) {
                throw new InvalidSettingsException(at + "name stands twice: " + peer.getName());
            }
            peers.add(new Peer(peer.getName(), Address.of(at + "address", peer.getAddress()), peer.getHall()));
        }
        if (peers.size() > MOST_PEERS) {
            throw new InvalidSettingsException("peering.peers should be " + MOST_PEERS + " at most: " + peers.size());
        }
        Set<LearnedEstimate.Kind> leaveOut = EnumSet.noneOf(LearnedEstimate.Kind.class);
        for (String kind : p.getLeaveOutList()) {
            try {
                leaveOut.add(LearnedEstimate.Kind.valueOf(kind));
            } catch (IllegalArgumentException e) {
                throw new InvalidSettingsException(
                        "peering.leave_out should be one of " + Arrays.toString(LearnedEstimate.Kind.values())
                                + ": " + kind);
            }
        }
        return new Peering(p.getListen().isEmpty() ? null : Address.of("peering.listen", p.getListen()), peers,
                secret("peering.key_file", p.getKeyFile(), folder),
                p.getOtherKeyFile().isEmpty() ? null : secret("peering.other_key_file", p.getOtherKeyFile(), folder),
                number("peering.wait", p.hasWait() ? p.getWait() : 0.5, 0, 60),
                number("peering.hedge_after", p.hasHedgeAfter() ? p.getHedgeAfter() : 0.15, 0.001, 60),
                number("peering.try_for", p.hasTryFor() ? p.getTryFor() : 2, 0.01, 600),
                (int) number("peering.tries", p.hasTries() ? p.getTries() : 6, 1, 1000),
                number("peering.shares_per_second", p.hasSharesPerSecond() ? p.getSharesPerSecond() : 5, 0.01, 10000),
                number("peering.loop_share", p.hasLoopShare() ? p.getLoopShare() : 0.02, 0.0001, 1), leaveOut);
    }

    private static double number(String key, double value, double least, double most) {
        if (value >= least && value <= most) {
            return value;
        }
        throw new InvalidSettingsException(key + " should be a number from " + least + " to " + most + ": " + value);
    }

    private static Secret secret(String key, String path, Path folder) {
        return secret(key, path, folder, SHORTEST_KEY);
    }

    private static Secret secret(String key, String path, Path folder, int shortest) {
        if (path.isEmpty()) {
            throw new InvalidSettingsException(key + " is missing");
        }
        Path file = folder == null ? Path.of(path) : folder.resolve(path);
        try {
            long size = Files.size(file);
            if (size > LONGEST_FILE) {
                throw new InvalidSettingsException(
                        key + " should name a file of at most " + LONGEST_FILE + " bytes: " + path);
            }
            // Editors end a file with a line break, which no operator means as a part of the key.
            byte[] bytes = Files.readAllBytes(file);
            int length = bytes.length;
            while (length > 0 && (bytes[length - 1] == '\n' || bytes[length - 1] == '\r')) {
                length--;
            }
            if (length < shortest) {
                throw new InvalidSettingsException(
                        key + " should name a file of at least " + shortest + " bytes: " + path);
            }
            return new Secret(Arrays.copyOf(bytes, length));
        } catch (IOException e) {
            throw new InvalidSettingsException(key + ": the file can't be read: " + path);
        }
    }
}
