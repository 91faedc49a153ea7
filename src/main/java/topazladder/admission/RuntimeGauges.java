package topazladder.admission;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The gauges that the runtime reported last. Any gauge may be missing, as not every runtime reports all of them and
 * none are available while the connection to the runtime is lost. Gauges that the controller does not use are kept for
 * the log.
 *
 * @param readings values by gauge name, in the order in which the runtime reports them
 */
public record RuntimeGauges(Map<String, Double> readings) {
    /** Name of the gauge of the fraction of the cores in use, from 0 to 1. */
    public static final String CORE_USE = "core-use";
    /** Name of the gauge of the number of runs, reads, health checks and handshakes that need a core. */
    public static final String ON_CORES = "on-cores";
    /** No gauges. */
    public static final RuntimeGauges NONE = new RuntimeGauges(Map.of());

    private static final double ALL_CORES = 1;

    /** Wraps the map without copying it; the caller must not modify it afterwards. */
    public RuntimeGauges {
        readings = Collections.unmodifiableMap(readings);
    }

    /** Pairs names with values; surplus names or values are ignored. */
    public static RuntimeGauges of(List<String> names, double[] values) {
        Map<String, Double> readings = new LinkedHashMap<>();
        for (int i = 0; i < values.length && i < names.size(); i++) {
            readings.put(names.get(i), values[i]);
        }
        return new RuntimeGauges(readings);
    }

    /** The fraction of the cores in use, from 0 to 1; 1 if the gauge is missing. */
    public double coreUse() {
        return readings.getOrDefault(CORE_USE, ALL_CORES);
    }

    /** The number of runs, reads, health checks and handshakes that need a core; {@code running} if missing. */
    public double onCores(int running) {
        return readings.getOrDefault(ON_CORES, (double) running);
    }

    @Override
    public String toString() {
        return readings.toString();
    }
}
