package topazladder.admission;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What the runtime measured of its machine last. Any gauge may be missing, as not every runtime has all and a lost link
 * takes them all; gauges that the controller makes no use of are kept for the log.
 *
 * @param readings the values by name, in the order in which the runtime reports them
 */
public record RuntimeGauges(Map<String, Double> readings) {
    /** Name of the share of the cores that is in use, from 0 to 1. */
    public static final String CORE_USE = "core-use";
    /** Name of the number of runs, reads, health checks and handshakes that want a core. */
    public static final String ON_CORES = "on-cores";
    /** Nothing measured. */
    public static final RuntimeGauges NONE = new RuntimeGauges(Map.of());

    private static final double ALL_CORES = 1;

    /** Takes the map over: whoever hands it in changes it no more. */
    public RuntimeGauges {
        readings = Collections.unmodifiableMap(readings);
    }

    /** The values under their names, as far as there is one of each. */
    public static RuntimeGauges of(List<String> names, double[] values) {
        Map<String, Double> readings = new LinkedHashMap<>();
        for (int i = 0; i < values.length && i < names.size(); i++) {
            readings.put(names.get(i), values[i]);
        }
        return new RuntimeGauges(readings);
    }

    /** The share of the cores in use, from 0 to 1; all of them where that was not measured. */
    public double coreUse() {
        return readings.getOrDefault(CORE_USE, ALL_CORES);
    }

    /** How many want a core now; as many as run where that was not measured. */
    public double onCores(int running) {
        return readings.getOrDefault(ON_CORES, (double) running);
    }

    @Override
    public String toString() {
        return readings.toString();
    }
}
