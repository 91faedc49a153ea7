package topazladder.config;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import topazladder.request.RequestClass;
import topazladder.request.Tenant;

/**
 * Turns the settings that an instance is handed, on the simulator's wire or in its configuration, into the
 * module's map of terms: its names, in seconds. The one place that knows both.
 */
public final class SettingsReader {
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

    /** Where a number stands in place of one of these, or one of these in place of a number, the module would fail. */
    private static final Map<String, Set<String>> WORDS = Map.of("Extra.Below", Set.of("common", "next_hop", "none"),
            "Extra.Halt", Set.of("none", "drop", "pause"), "Extra.Say", Set.of("min_rank", "tokens", "bias", "none"));
    private static final Set<String> YES_OR_NO = Set.of("Extra.Cold", "Extra.FullChecks", "Extra.Readiness",
            "PolicyLimits.RetryAfter");
    /** Seconds, thirty days: past all that a server is told of; a timer set for longer would never come. */
    private static final double LONGEST = 30 * 86_400;
    /** Past any machine, and any list of classes or tenants. */
    private static final double MOST = 1e12;
    private static final int MOST_ITEMS = 100_000;

    private static final Map<String, String> GAUGES = names(
            "core_use", "core-use",
            "on_cores", "on-cores",
            "heap_share", "memory-share",
            "links", "connections");

    private final Map<String, String> lines;
    private final List<RequestClass> requestClasses = new ArrayList<>();
    private final List<Tenant> tenants = new ArrayList<>();
    private final List<String> gauges;
    private final Map<String, Object> map = new LinkedHashMap<>();

    /** From lines of path=value, as the simulator sends them. */
    public static SettingsReader ofLines(String text) {
        Map<String, String> lines = new LinkedHashMap<>();
        for (String line : text.split("\n")) {
            int eq = line.indexOf('=');
            if (eq > 0) {
                lines.put(line.substring(0, eq).trim(), line.substring(eq + 1).trim());
            } else if (!line.isBlank()) {
                throw new InvalidSettingsException("start-up line without '=': " + line);
            }
        }
        return new SettingsReader(lines);
    }

    /** From values by path: the items of a list under .0, .1 and so on, their number under .count. */
    public SettingsReader(Map<String, String> settings) {
        lines = settings;
        String names = lines.getOrDefault("Extra.OwnStats", "");
        gauges = Arrays.stream(names.split(",")).map(g -> GAUGES.getOrDefault(g, g)).toList();
        above0("Extra.Cores", required("Extra.Cores"));
        above0("Extra.MemoryKb", required("Extra.MemoryKb"));
        readRequestClasses();
        readTenants();
        NAMES.forEach((path, name) -> {
            String value = lines.get(path);
            if (value != null && !value.isEmpty()) {
                map.put(name, plain(path, value));
            }
        });
        map.put("offerings", List.copyOf(requestClasses));
        map.put("customers", List.copyOf(tenants));
    }

    /** What the module is handed. */
    public Map<String, Object> map() {
        return map;
    }

    public List<RequestClass> requestClasses() {
        return requestClasses;
    }

    public List<Tenant> tenants() {
        return tenants;
    }

    /** The names of a server's gauges, in the order in which their values come. */
    public List<String> gauges() {
        return gauges;
    }

    private void readRequestClasses() {
        int count = items("Classes.count", (int) required("Classes.count"));
        if (count == 0) {
            throw new InvalidSettingsException("Classes should hold at least one class");
        }
        Set<String> names = new HashSet<>();
        String[] calls = lines.getOrDefault("Extra.CallsByClass", "").split(",");
        String[] poorer = lines.getOrDefault("Extra.ClassSkipWorth", "").split(",");
        for (int i = 0; i < count; i++) {
            String at = "Classes." + i + ".";
            double outer = above0(at + "DeadlineNs", required(at + "DeadlineNs"));
            String name = lines.getOrDefault(at + "Name", "offering-" + i);
            if (!names.add(name)) {
                throw new InvalidSettingsException(at + "Name is given twice: " + name);
            }
            RequestClass.Repeats repeats = repeats(at + "Idempotency");
            if (repeats == RequestClass.Repeats.IDEMPOTENT_BY_KEY) {
                // Without a window nothing would be remembered, and each repeat would run.
                above0(at + "WindowNs", required(at + "WindowNs"));
            }
            requestClasses.add(new RequestClass(name, repeats, optional(at + "TargetNs", outer), outer,
                    optional(at + "Importance", 1), optional(at + "LateWorth", 0),
                    optional(at + "WindowNs", 0), i < calls.length && calls[i].equals("true"),
                    i < poorer.length && !poorer[i].isEmpty()
                            ? number("Extra.ClassSkipWorth", poorer[i]) : 0));
        }
    }

    private void readTenants() {
        int count = items("Orgs.count", (int) optional("Orgs.count", 0));
        Set<String> names = new HashSet<>();
        for (int i = 0; i < count; i++) {
            String at = "Orgs." + i + ".";
            String name = lines.getOrDefault(at + "Name", "customer-" + i);
            if (!names.add(name)) {
                throw new InvalidSettingsException(at + "Name is given twice: " + name);
            }
            tenants.add(new Tenant(name, optional(at + "Share", 0), optional(at + "QuotaPerS", 0)));
        }
    }

    private RequestClass.Repeats repeats(String path) {
        String value = lines.get(path);
        if (value == null) {
            throw new InvalidSettingsException(path + " is missing");
        }
        return switch (value) {
            case "safe" -> RequestClass.Repeats.RETRY_SAFE;
            case "keyed" -> RequestClass.Repeats.IDEMPOTENT_BY_KEY;
            case "unsafe" -> RequestClass.Repeats.AT_MOST_ONCE;
            default -> throw new InvalidSettingsException(path + " should be safe, keyed or unsafe: " + value);
        };
    }

    private double required(String path) {
        String value = lines.get(path);
        if (value == null) {
            throw new InvalidSettingsException(path + " is missing");
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
            throw new InvalidSettingsException(path + " should be a number: " + value);
        }
        boolean time = path.endsWith("Ns");
        if (!(n >= 0 && n <= (time ? LONGEST * 1e9 : MOST))) {
            throw new InvalidSettingsException(
                    path + " should be from 0 to " + (time ? "30 days" : "10^12") + ": " + value);
        }
        return time ? n / 1e9 : n;
    }

    private static double above0(String path, double n) {
        if (n <= 0) {
            throw new InvalidSettingsException(path + " should be above 0");
        }
        return n;
    }

    private static int items(String path, int count) {
        if (count > MOST_ITEMS) {
            throw new InvalidSettingsException(path + " should be at most " + MOST_ITEMS + ": " + count);
        }
        return count;
    }

    private static Object plain(String path, String value) {
        if (YES_OR_NO.contains(path)) {
            if (!value.equals("true") && !value.equals("false")) {
                throw new InvalidSettingsException(path + " should be true or false: " + value);
            }
            return Boolean.valueOf(value);
        }
        if (!WORDS.containsKey(path)) {
            return number(path, value);
        }
        if (!WORDS.get(path).contains(value)) {
            throw new InvalidSettingsException(
                    path + " should be one of " + String.join(", ", new TreeSet<>(WORDS.get(path)))
                            + ": " + value);
        }
        return value;
    }

    private static Map<String, String> names(String... pairs) {
        Map<String, String> names = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            names.put(pairs[i], pairs[i + 1]);
        }
        return names;
    }
}
