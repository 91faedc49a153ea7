package topazladder.rig;

import io.vertx.core.json.JsonObject;
import java.util.EnumMap;
import java.util.Map;

/**
 * What a cluster of one size cost, by role; one line of an experiment's results.
 *
 * @param settings that it was measured with
 * @param seconds of the window
 * @param costs by role; roles that nobody had are missing
 * @param answered share of the hollow members that the leader had answered within half a minute, at the end
 * @param notAlive entries that said suspected or dead, of all hollow members' tables, at the end
 * @param logEntries committed a minute
 * @param logBytes of the leader's store at the end
 * @param leaderChanged whether another led at the end: then the figures of leader and voters are mixed
 */
public record ScaleMeasurement(ScaleSettings settings, double seconds, Map<Role, RoleCost> costs, double answered,
        long notAlive, double logEntries, long logBytes, boolean leaderChanged) {

    /** What a process does in the cluster. */
    public enum Role {
        /** Leads the consensus group. */
        LEADER,
        /** Votes, and does not lead. */
        VOTER,
        /** A whole service instance under load, in a process of its own. */
        MEMBER,
        /** A member without a request path, many in one process. */
        HOLLOW_MEMBER
    }

    /** Members in all. */
    public int members() {
        return settings.members();
    }

    /** @param commit of the program that was measured */
    public JsonObject json(String commit) {
        JsonObject byRole = new JsonObject();
        costs.forEach((role, cost) -> byRole.put(role.name(), cost.json()));
        return new JsonObject().put("commit", commit).put("settings", settings.json()).put("seconds", seconds)
                .put("costs", byRole).put("answered", answered).put("notAlive", notAlive)
                .put("logEntriesAMinute", logEntries).put("logBytes", logBytes).put("leaderChanged", leaderChanged);
    }

    public static ScaleMeasurement of(JsonObject json) {
        Map<Role, RoleCost> costs = new EnumMap<>(Role.class);
        JsonObject byRole = json.getJsonObject("costs");
        for (Role role : Role.values()) {
            if (byRole.containsKey(role.name())) {
                costs.put(role, RoleCost.of(byRole.getJsonObject(role.name())));
            }
        }
        return new ScaleMeasurement(ScaleSettings.of(json.getJsonObject("settings")), json.getDouble("seconds"), costs,
                json.getDouble("answered"), json.getLong("notAlive"), json.getDouble("logEntriesAMinute"),
                json.getLong("logBytes"), json.getBoolean("leaderChanged"));
    }
}
