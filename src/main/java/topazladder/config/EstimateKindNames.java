package topazladder.config;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import topazladder.request.LearnedEstimate;

/** The names that settings files and reports of experiments have for the kinds of estimates. */
public final class EstimateKindNames {
    /** In the order in which errors list them. */
    private static final Map<String, LearnedEstimate.Kind> KINDS = kinds();

    private EstimateKindNames() {}

    /** All names. */
    static Set<String> all() {
        return KINDS.keySet();
    }

    /** The kind of that name, if there is one. */
    static Optional<LearnedEstimate.Kind> kind(String name) {
        return Optional.ofNullable(KINDS.get(name));
    }

    /** The name of the kind. */
    public static String name(LearnedEstimate.Kind kind) {
        return switch (kind) {
            case RUN_TIME -> "RUN_TIME";
            case CALLS_IN_FLIGHT -> "CALLS_IN_HAND";
            case COMPLETION_RATE -> "OUTGOING";
        };
    }

    private static Map<String, LearnedEstimate.Kind> kinds() {
        Map<String, LearnedEstimate.Kind> kinds = new LinkedHashMap<>();
        for (LearnedEstimate.Kind kind : LearnedEstimate.Kind.values()) {
            kinds.put(name(kind), kind);
        }
        return Collections.unmodifiableMap(kinds);
    }
}
