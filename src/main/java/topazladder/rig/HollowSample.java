package topazladder.rig;

import io.vertx.core.json.JsonObject;
import topazladder.net.cluster.LinkTraffic;

/**
 * What the hollow members of one process tell of themselves, in all.
 *
 * @param members that run
 * @param answered of them, by the leader within the last seconds
 * @param known entries of all their tables of members
 * @param notAlive of these, those that are suspected or taken for dead
 * @param traffic over their links since their start
 * @param heapBytes live heap of the process behind a collection
 */
public record HollowSample(int members, int answered, long known, long notAlive, LinkTraffic.Totals traffic,
        long heapBytes) {
    public static final HollowSample NONE = new HollowSample(0, 0, 0, 0, LinkTraffic.Totals.NONE, 0);

    HollowSample plus(HollowSample other) {
        return new HollowSample(members + other.members, answered + other.answered, known + other.known,
                notAlive + other.notAlive, traffic.plus(other.traffic), heapBytes + other.heapBytes);
    }

    JsonObject json() {
        return new JsonObject().put("members", members).put("answered", answered).put("known", known)
                .put("notAlive", notAlive).put("traffic", traffic.toJson()).put("heapBytes", heapBytes);
    }

    static HollowSample of(JsonObject json) {
        return new HollowSample(json.getInteger("members"), json.getInteger("answered"), json.getLong("known"),
                json.getLong("notAlive"), LinkTraffic.Totals.fromJson(json.getJsonObject("traffic")),
                json.getLong("heapBytes"));
    }
}
