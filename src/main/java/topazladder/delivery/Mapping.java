package topazladder.delivery;

import java.util.HashMap;
import java.util.Map;
import topazladder.config.FieldSource;
import topazladder.config.QueueSettings;
import topazladder.config.QueueSettings.Fields;
import topazladder.config.SettingsReader;
import topazladder.request.RequestClass;
import topazladder.request.RequestClass.Idempotency;
import topazladder.service.IncomingRequest;

/** Makes a request of a message, or says why it is none. It never guesses: what is missing or wild has no default. */
final class Mapping {
    /** Set on copies, those that wait and those that are dead-lettered: how often the message was tried. */
    static final String TRIES = "x-topazladder-tries";
    /** Where a copy that waits came from at first: the way back changes both. */
    static final String FIRST_EXCHANGE = "x-topazladder-exchange";
    static final String FIRST_KEY = "x-topazladder-routing-key";
    private static final double LARGEST_FOOTPRINT = 2000;
    private static final double LEAST_FOOTPRINT = 2;
    private static final int LONGEST_WORD = 200;
    private static final int MAX_TRIES = 1_000_000;

    /** A request, or why there is none. */
    record Mapped(IncomingRequest arrival, RequestClass requestClass, int tries, String why) {

        static Mapped none(String why) {
            return new Mapped(null, null, 0, why);
        }
    }

    private final Map<String, RequestClass> requestClasses = new HashMap<>();
    private final boolean tenants;
    private final double highestPayoff;
    private final double longestLimit;

    Mapping(SettingsReader terms) {
        terms.requestClasses().forEach(o -> requestClasses.put(o.name(), o));
        tenants = !terms.tenants().isEmpty();
        highestPayoff = terms.requestClasses().stream().mapToDouble(RequestClass::priorityWeight).max().orElse(1);
        longestLimit = terms.requestClasses().stream().mapToDouble(RequestClass::deadlineSeconds).max().orElse(0);
    }

    Mapped map(Delivery d, QueueSettings terms, String ref, double now) {
        Fields f = terms.fields();
        if (d.body().length > terms.maxBodyBytes()) {
            return Mapped.none("too large: " + d.body().length + " bytes");
        }
        RequestClass requestClass = requestClasses.get(String.valueOf(word(f.requestClass(), d)));
        if (requestClass == null) {
            return Mapped.none("no known offering");
        }
        String tenant = word(f.tenant(), d);
        if (tenants && tenant == null) {
            return Mapped.none("no customer");
        }
        boolean fingerprinted = requestClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY;
        String fingerprint = fingerprinted ? word(f.idempotencyKey(), d) : null;
        if (fingerprinted && fingerprint == null) {
            return Mapped.none("no fingerprint");
        }
        double rank = number(word(f.rank(), d), f.rank() == null ? rankOf(requestClass) : Double.NaN);
        if (f.rank() != null && f.rank().name().equals("priority")) {
            rank = Math.min(9, rank) / 10;
        }
        if (!(rank >= 0 && rank < 1)) {
            return Mapped.none("a rank that is none");
        }
        double footprint = number(word(f.memoryKilobytes(), d),
                f.memoryKilobytes() == null ? LEAST_FOOTPRINT + d.body().length / 1024.0 : Double.NaN);
        if (!(footprint > 0 && footprint < LARGEST_FOOTPRINT)) {
            return Mapped.none("a footprint that is none");
        }
        double tries = number(d.headers().get(TRIES), 0);
        if (!(tries >= 0 && tries <= MAX_TRIES)) {
            return Mapped.none("a number of tries that is none");
        }
        int tried = (int) tries + d.rejections();
        // What waited in the queue is no wait of this machine: its time counts from when it came, unless the
        // publisher's
        // clock is to be believed and could be right. A clock that is wrong by a day must not make all hopeless.
        double stamped = now - d.properties().timestamp();
        boolean believed = f.believeTimestamp() && d.properties().timestamp() > 0 && stamped >= 0
                && stamped < longestLimit;
        double since = believed ? d.properties().timestamp() : now;
        IncomingRequest arrival =
                new IncomingRequest(ref, requestClass.name(), tenant, since, tried > 0 || d.redelivered(), footprint,
                        rank,
                        fingerprint, d.body(), Math.max(0, d.properties().expiration()));
        return new Mapped(arrival, requestClass, tried, null);
    }

    /** By its payoff beside the highest, so that the cut turns the cheapest away first. */
    double rankOf(RequestClass o) {
        return Math.max(0, Math.min(0.999, highestPayoff <= 0 ? 0 : o.priorityWeight() / highestPayoff * 0.999));
    }

    /** Null where the message has none. */
    private static String text(FieldSource pick, Delivery d) {
        return switch (pick.from()) {
            case ALWAYS -> pick.name();
            case HEADER -> d.headers().get(pick.name());
            case ROUTING_KEY -> firstKey(d);
            case EXCHANGE -> d.headers().getOrDefault(FIRST_EXCHANGE, d.exchange());
            case QUEUE -> d.queue();
            case ROUTING_KEY_WORD -> {
                String[] words = firstKey(d).split("\\.", -1);
                yield pick.wordNumber() <= words.length ? words[pick.wordNumber() - 1] : null;
            }
            case PROPERTY -> switch (pick.name()) {
                    case "message-id" -> d.properties().messageId();
                    case "correlation-id" -> d.properties().correlationId();
                    case "type" -> d.properties().type();
                    default -> d.properties().priority() < 0 ? null : String.valueOf(d.properties().priority());
                };
        };
    }

    static String firstKey(Delivery d) {
        return d.headers().getOrDefault(FIRST_KEY, d.routingKey());
    }

    private static String word(FieldSource pick, Delivery d) {
        String word = pick == null ? null : text(pick, d);
        return word == null || word.isEmpty() || word.length() > LONGEST_WORD || word.chars().anyMatch(c -> c <= ' ')
                ? null : word;
    }

    private static double number(String word, double other) {
        if (word == null) {
            return other;
        }
        try {
            return Double.parseDouble(word);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
