package topazladder.config;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import topazladder.ticket.Customer;
import topazladder.ticket.Offering;

/**
 * Turns the settings that an instance is handed, on the simulator's wire or in its configuration, into the
 * module's map of terms: its names, in seconds. The one place that knows both.
 */
public final class Terms {
    /** Path in the settings to the module's name; what the module has no name for is ignored. */
    private static final Map<String, String> NAMES = names(
            "Extra.Cores", "cores",
            "Extra.MemoryKb", "memory",
            "Extra.RunFactor", "run-factor",
            "Extra.KeyKb", "fingerprint-footprint",
            "Extra.Below", "below",
            "Extra.CallsOut", "calls-share",
            "Extra.CallsOverNs", "calls-span",
            "Extra.LingersNs", "call-lingers",
            "Extra.Cold", "cold",
            "Extra.Halt", "halt",
            "Extra.HeededNs", "heeded",
            "Extra.Say", "level-unit",
            "Extra.FreshNs", "fresh",
            "Extra.KeepaliveMaxNs", "idle-most",
            "Extra.FullChecks", "full-checks",
            "Extra.Readiness", "listed-by-health",
            "Extra.Upstreams", "callers",
            "PeersTotal", "peers",
            "PolicyLimits.RetryAfter", "stay-away",
            "PolicyLimits.MaxRetryAfterNs", "stay-away-most",
            "OverShareWorth", "over-share-payoff",
            "Safety.AnswerSlackNs", "answer-slack",
            "Safety.ColdFrom", "cold-from",
            "Safety.WarmAfterNs", "warm-after",
            "Safety.DrainGraceNs", "drain-grace",
            "Safety.FallMultiple", "fall-multiple",
            "Safety.OverloadForNs", "crowd-span",
            "TickNs", "tick");

    private static final Map<String, String> GAUGES = names(
            "core_use", "core-use",
            "on_cores", "on-cores",
            "heap_share", "memory-share",
            "links", "connections");

    private final Map<String, String> lines;
    private final List<Offering> offerings = new ArrayList<>();
    private final List<Customer> customers = new ArrayList<>();
    private final List<String> gauges;
    private final Map<String, Object> map = new LinkedHashMap<>();

    /** From lines of path=value, as the simulator sends them. */
    public static Terms ofLines(String text) {
        Map<String, String> lines = new LinkedHashMap<>();
        for (String line : text.split("\n")) {
            int eq = line.indexOf('=');
            if (eq > 0) {
                lines.put(line.substring(0, eq).trim(), line.substring(eq + 1).trim());
            } else if (!line.isBlank()) {
                throw new BadTerms("start-up line without '=': " + line);
            }
        }
        return new Terms(lines);
    }

    /** From values by path: the items of a list under .0, .1 and so on, their number under .count. */
    public Terms(Map<String, String> settings) {
        lines = settings;
        String names = lines.getOrDefault("Extra.OwnStats", "");
        gauges = Arrays.stream(names.split(",")).map(g -> GAUGES.getOrDefault(g, g)).toList();
        required("Extra.Cores");
        required("Extra.MemoryKb");
        readOfferings();
        readCustomers();
        NAMES.forEach((path, name) -> {
            String value = lines.get(path);
            if (value != null && !value.isEmpty()) {
                map.put(name, plain(path, value));
            }
        });
        map.put("offerings", List.copyOf(offerings));
        map.put("customers", List.copyOf(customers));
    }

    /** What the module is handed. */
    public Map<String, Object> map() {
        return map;
    }

    public List<Offering> offerings() {
        return offerings;
    }

    public List<Customer> customers() {
        return customers;
    }

    /** The names of a server's gauges, in the order in which their values come. */
    public List<String> gauges() {
        return gauges;
    }

    private void readOfferings() {
        int count = (int) required("Classes.count");
        String[] calls = lines.getOrDefault("Extra.CallsByClass", "").split(",");
        String[] poorer = lines.getOrDefault("Extra.ClassSkipWorth", "").split(",");
        for (int i = 0; i < count; i++) {
            String at = "Classes." + i + ".";
            double outer = required(at + "DeadlineNs");
            offerings.add(new Offering(lines.getOrDefault(at + "Name", "offering-" + i),
                    repeats(at + "Idempotency"), optional(at + "TargetNs", outer), outer,
                    optional(at + "Importance", 1), optional(at + "LateWorth", 0),
                    optional(at + "WindowNs", 0), i < calls.length && calls[i].equals("true"),
                    i < poorer.length && !poorer[i].isEmpty()
                            ? number("Extra.ClassSkipWorth", poorer[i]) : 0));
        }
    }

    private void readCustomers() {
        int count = (int) optional("Orgs.count", 0);
        for (int i = 0; i < count; i++) {
            String at = "Orgs." + i + ".";
            customers.add(new Customer(lines.getOrDefault(at + "Name", "customer-" + i),
                    optional(at + "Share", 0), optional(at + "QuotaPerS", 0)));
        }
    }

    private Offering.Repeats repeats(String path) {
        String value = lines.get(path);
        if (value == null) {
            throw new BadTerms(path + " is missing");
        }
        return switch (value) {
            case "safe" -> Offering.Repeats.RETRIABLE;
            case "keyed" -> Offering.Repeats.FINGERPRINTED;
            case "unsafe" -> Offering.Repeats.BINDING;
            default -> throw new BadTerms(path + " should be safe, keyed or unsafe: " + value);
        };
    }

    private double required(String path) {
        String value = lines.get(path);
        if (value == null) {
            throw new BadTerms(path + " is missing");
        }
        return number(path, value);
    }

    private double optional(String path, double other) {
        String value = lines.get(path);
        return value == null || value.isEmpty() ? other : number(path, value);
    }

    private static double number(String path, String value) {
        double n;
        try {
            n = Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new BadTerms(path + " should be a number: " + value);
        }
        return path.endsWith("Ns") ? n / 1e9 : n;
    }

    private static Object plain(String path, String value) {
        if (value.equals("true") || value.equals("false")) {
            return Boolean.valueOf(value);
        }
        boolean word = path.equals("Extra.Below") || path.equals("Extra.Halt") || path.equals("Extra.Say");
        return word ? value : (Object) number(path, value);
    }

    private static Map<String, String> names(String... pairs) {
        Map<String, String> names = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            names.put(pairs[i], pairs[i + 1]);
        }
        return names;
    }
}
