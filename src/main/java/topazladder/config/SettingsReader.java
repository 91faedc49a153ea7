package topazladder.config;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.DoubleConsumer;
import topazladder.admission.AdmissionSettings;
import topazladder.admission.AdmissionSettings.AdmissionLevelUnit;
import topazladder.admission.AdmissionSettings.DependencyTopology;
import topazladder.admission.AdmissionSettings.RunCancellation;
import topazladder.admission.RuntimeGauges;
import topazladder.request.RequestClass;
import topazladder.request.Tenant;

/**
 * Reads the settings that an instance is handed, on the simulator's wire or in its configuration, into typed settings.
 * The one place that knows both the names in the settings and ours. Names that are unknown here are ignored. Times are
 * given in nanoseconds, under names that end in {@code Ns}.
 */
public final class SettingsReader {
    private static final Map<String, RunCancellation> RUN_CANCELLATIONS = Map.of("none", RunCancellation.UNSUPPORTED,
            "drop", RunCancellation.DROP, "pause", RunCancellation.PAUSE);
    private static final Map<String, AdmissionLevelUnit> LEVEL_UNITS = Map.of("min_rank", AdmissionLevelUnit.MIN_RANK,
            "tokens", AdmissionLevelUnit.TOKENS, "bias", AdmissionLevelUnit.BIAS, "none", AdmissionLevelUnit.NONE);
    private static final Map<String, DependencyTopology> DEPENDENCY_TOPOLOGIES = Map.of(
            "common", DependencyTopology.SHARED, "next_hop", DependencyTopology.NEXT_HOP,
            "none", DependencyTopology.NONE);
    private static final String DEPENDENCY_TOPOLOGY = "Extra.Below";
    /** Thirty days. A timer set for longer would never come. */
    private static final double MAX_TIME_SECONDS = 30 * 86_400;
    private static final double MAX_NUMBER = 1e12;
    private static final int MAX_ITEMS = 100_000;
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** Names of gauges in the settings, and the names under which the admission controller knows them. */
    private static final Map<String, String> GAUGE_NAMES = Map.of("core_use", RuntimeGauges.CORE_USE,
            "on_cores", RuntimeGauges.ON_CORES, "heap_share", "memory-share", "links", "connections");

    private final Map<String, String> lines;
    private final List<RequestClass> requestClasses = new ArrayList<>();
    private final List<Tenant> tenants = new ArrayList<>();
    private final List<String> gaugeNames;
    private final AdmissionSettings admissionSettings;
    /** The values of {@link #admissionSettings} that were given, by path, and those that are only checked. */
    private final Map<String, Object> given = new HashMap<>();

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
        gaugeNames = Arrays.stream(names.split(",")).map(g -> GAUGE_NAMES.getOrDefault(g, g)).toList();
        above0("Extra.Cores", required("Extra.Cores"));
        above0("Extra.MemoryKb", required("Extra.MemoryKb"));
        readRequestClasses();
        readTenants();
        admissionSettings = readAdmissionSettings();
    }

    /** What the admission controller is handed. */
    public AdmissionSettings admissionSettings() {
        return admissionSettings;
    }

    /** Whether the other was given the same values for the same names; a default that is spelled out differs. */
    public boolean hasSameValues(SettingsReader other) {
        return given.equals(other.given) && requestClasses.equals(other.requestClasses)
                && tenants.equals(other.tenants);
    }

    /** The word that the settings give for the topology of the dependency, if any. */
    public Optional<String> dependencyTopologyWord() {
        return Optional.ofNullable(lines.get(DEPENDENCY_TOPOLOGY)).filter(word -> !word.isEmpty());
    }

    public List<RequestClass> requestClasses() {
        return requestClasses;
    }

    public List<Tenant> tenants() {
        return tenants;
    }

    /** The names of a server's gauges, in the order in which their values come. */
    public List<String> gaugeNames() {
        return gaugeNames;
    }

    private AdmissionSettings readAdmissionSettings() {
        AdmissionSettings.Builder settings = AdmissionSettings.builder().requestClasses(requestClasses);
        readMachine(settings);
        readCallers(settings);
        readSafety(settings);
        number("TickNs", settings::tickSeconds);
        return settings.build();
    }

    private void readMachine(AdmissionSettings.Builder settings) {
        number("Extra.Cores", settings::cores);
        number("Extra.MemoryKb", settings::memoryKilobytes);
        number("Extra.RunFactor", settings::runMemoryFactor);
        number("Extra.KeyKb", settings::idempotencyKeyKilobytes);
        word(DEPENDENCY_TOPOLOGY, DEPENDENCY_TOPOLOGIES, settings::dependencyTopology);
        number("Extra.CallsOut", settings::dependencyCallQuota);
        number("Extra.CallsOverNs", settings::dependencyQuotaSpanSeconds);
        number("Extra.LingersNs", settings::abandonedCallLingerSeconds);
        yesOrNo("Extra.Cold", settings::coldStart);
        word("Extra.Halt", RUN_CANCELLATIONS, settings::runCancellation);
    }

    private void readCallers(AdmissionSettings.Builder settings) {
        number("Extra.HeededNs", settings::admissionLevelValiditySeconds);
        word("Extra.Say", LEVEL_UNITS, settings::admissionLevelUnit);
        checkNumber("Extra.FreshNs");
        number("Extra.KeepaliveMaxNs", settings::maxConnectionIdleSeconds);
        checkYesOrNo("Extra.FullChecks");
        checkYesOrNo("Extra.Readiness");
        number("Extra.Upstreams", settings::callers);
        checkNumber("PeersTotal");
        yesOrNo("PolicyLimits.RetryAfter", settings::retryAfterAllowed);
        number("PolicyLimits.MaxRetryAfterNs", settings::maxRetryAfterSeconds);
        checkNumber("OverShareWorth");
    }

    private void readSafety(AdmissionSettings.Builder settings) {
        number("Safety.AnswerSlackNs", settings::answerSlackSeconds);
        number("Safety.ColdFrom", settings::coldSpeed);
        number("Safety.WarmAfterNs", settings::warmUpSeconds);
        number("Safety.DrainGraceNs", settings::drainGraceSeconds);
        number("Safety.FallMultiple", settings::collapseFactor);
        checkNumber("Safety.OverloadForNs");
    }

    /** A number that the controller makes no use of, and that must be sound all the same. */
    private void checkNumber(String path) {
        number(path, unused -> {});
    }

    private void checkYesOrNo(String path) {
        yesOrNo(path, unused -> {});
    }

    private void number(String path, DoubleConsumer setting) {
        String value = lines.get(path);
        if (value != null && !value.isEmpty()) {
            double number = number(path, value);
            given.put(path, number);
            setting.accept(number);
        }
    }

    private void yesOrNo(String path, Consumer<Boolean> setting) {
        String value = lines.get(path);
        if (value != null && !value.isEmpty()) {
            if (!value.equals("true") && !value.equals("false")) {
                throw new InvalidSettingsException(path + " should be true or false: " + value);
            }
            given.put(path, value);
            setting.accept(Boolean.valueOf(value));
        }
    }

    private <T> void word(String path, Map<String, T> words, Consumer<T> setting) {
        String value = lines.get(path);
        if (value != null && !value.isEmpty()) {
            T meaning = words.get(value);
            if (meaning == null) {
                throw new InvalidSettingsException(
                        path + " should be one of " + String.join(", ", new TreeSet<>(words.keySet())) + ": " + value);
            }
            given.put(path, value);
            setting.accept(meaning);
        }
    }

    private void readRequestClasses() {
        int count = items("Classes.count", (int) required("Classes.count"));
        if (count == 0) {
            throw new InvalidSettingsException("Classes should hold at least one class");
        }
        Set<String> names = new HashSet<>();
        String[] calls = lines.getOrDefault("Extra.CallsByClass", "").split(",");
        String[] degradedShares = lines.getOrDefault("Extra.ClassSkipWorth", "").split(",");
        for (int i = 0; i < count; i++) {
            String prefix = "Classes." + i + ".";
            double deadlineSeconds = above0(prefix + "DeadlineNs", required(prefix + "DeadlineNs"));
            String name = lines.getOrDefault(prefix + "Name", "offering-" + i);
            if (!names.add(name)) {
                throw new InvalidSettingsException(prefix + "Name is given twice: " + name);
            }
            RequestClass.Idempotency idempotency = idempotency(prefix + "Idempotency");
            if (idempotency == RequestClass.Idempotency.IDEMPOTENT_BY_KEY) {
                // Without a window nothing would be remembered, and each repeat would run.
                above0(prefix + "WindowNs", required(prefix + "WindowNs"));
            }
            requestClasses.add(
                    new RequestClass(name, idempotency, optional(prefix + "TargetNs", deadlineSeconds), deadlineSeconds,
                            optional(prefix + "Importance", 1), optional(prefix + "LateWorth", 0),
                            optional(prefix + "WindowNs", 0), i < calls.length && calls[i].equals("true"),
                            i < degradedShares.length && !degradedShares[i].isEmpty()
                                    ? number("Extra.ClassSkipWorth", degradedShares[i]) : 0));
        }
    }

    private void readTenants() {
        int count = items("Orgs.count", (int) optional("Orgs.count", 0));
        Set<String> names = new HashSet<>();
        for (int i = 0; i < count; i++) {
            String prefix = "Orgs." + i + ".";
            String name = lines.getOrDefault(prefix + "Name", "customer-" + i);
            if (!names.add(name)) {
                throw new InvalidSettingsException(prefix + "Name is given twice: " + name);
            }
            tenants.add(new Tenant(name, optional(prefix + "Share", 0), optional(prefix + "QuotaPerS", 0)));
        }
    }

    private RequestClass.Idempotency idempotency(String path) {
        String value = lines.get(path);
        if (value == null) {
            throw new InvalidSettingsException(path + " is missing");
        }
        return switch (value) {
            case "safe" -> RequestClass.Idempotency.RETRY_SAFE;
            case "keyed" -> RequestClass.Idempotency.IDEMPOTENT_BY_KEY;
            case "unsafe" -> RequestClass.Idempotency.AT_MOST_ONCE;
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

    private double optional(String path, double defaultValue) {
        String value = lines.get(path);
        return value == null || value.isEmpty() ? defaultValue : number(path, value);
    }

    private static double number(String path, String value) {
        double n;
        try {
            n = Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new InvalidSettingsException(path + " should be a number: " + value);
        }
        boolean time = path.endsWith("Ns");
        if (!(n >= 0 && n <= (time ? MAX_TIME_SECONDS * NANOSECONDS_PER_SECOND : MAX_NUMBER))) {
            throw new InvalidSettingsException(
                    path + " should be from 0 to " + (time ? "30 days" : "10^12") + ": " + value);
        }
        return time ? n / NANOSECONDS_PER_SECOND : n;
    }

    private static double above0(String path, double n) {
        if (n <= 0) {
            throw new InvalidSettingsException(path + " should be above 0");
        }
        return n;
    }

    private static int items(String path, int count) {
        if (count > MAX_ITEMS) {
            throw new InvalidSettingsException(path + " should be at most " + MAX_ITEMS + ": " + count);
        }
        return count;
    }
}
