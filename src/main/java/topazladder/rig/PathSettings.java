package topazladder.rig;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * One service instance whose request path is measured.
 *
 * @param classes of requests that its settings name
 * @param tenants that they name
 * @param rate requests a second
 * @param seconds of the measurement
 */
public record PathSettings(int classes, int tenants, double rate, double seconds) {
    private static final double CORES = 6;
    private static final long TARGET_NS = 1_800_000_000L;
    private static final long DEADLINE_NS = 4_600_000_000L;

    static String className(int number) {
        return "route-" + number;
    }

    static String tenantName(int number) {
        return "tenant-" + number;
    }

    /** The configuration that {@code GW_CONFIG} names. */
    JsonObject config(int callersPort, int runtimePort) {
        JsonObject config = Programs.config("n0", callersPort, runtimePort, runtimePort, 9, CORES, 1);
        JsonArray routes = new JsonArray();
        for (int i = 0; i < classes; i++) {
            routes.add(new JsonObject().put("Name", className(i)).put("Idempotency", "safe").put("TargetNs", TARGET_NS)
                    .put("DeadlineNs", DEADLINE_NS).put("Importance", 1 + i % 10));
        }
        JsonArray orgs = new JsonArray();
        for (int i = 0; i < tenants; i++) {
            orgs.add(new JsonObject().put("Name", tenantName(i)).put("Share", 1.0 / tenants).put("QuotaPerS", rate));
        }
        JsonObject settings = config.getJsonObject("settings");
        settings.put("Classes", routes).put("Orgs", orgs);
        settings.getJsonObject("Extra").remove("CallsByClass");
        settings.getJsonObject("Extra").remove("ClassSkipWorth");
        return config;
    }
}
