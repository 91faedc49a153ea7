package topazladder.rig;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Which hollow members one process runs.
 *
 * @param prefix of their names; a number follows
 * @param count how many
 * @param heartbeat of the consensus group, in seconds
 * @param period between two members asked whether they are there, in seconds
 * @param seeds loopback ports of members that are there already
 * @param voters how many vote, by the names n0 and up
 * @param folder where the cluster's key lies
 * @param duties lines more for the cluster's settings, such as the leases that they may hold; without, they hold none
 */
public record HollowPlan(String prefix, int count, double heartbeat, double period, List<Integer> seeds, int voters,
        Path folder, String duties) {

    /** The own settings of the member that listens on that port. */
    String settings(int port) {
        StringBuilder s = new StringBuilder("peering {\n  listen: \"127.0.0.1:" + port
                + "\"\n  key_file: \"key\"\n}\nhall {\n  heartbeat: " + heartbeat + "\n  period: " + period + "\n");
        s.append(duties.isEmpty() ? "  holds_none: true\n" : duties);
        seeds.forEach(seed -> s.append("  seeds: \"127.0.0.1:").append(seed).append("\"\n"));
        for (int voter = 0; voter < voters; voter++) {
            s.append("  voters: \"").append(RigSettings.name(voter)).append("\"\n");
        }
        return s.append("}\n").toString();
    }

    void write(Path file) throws IOException {
        Files.writeString(file, new JsonObject().put("prefix", prefix).put("count", count).put("heartbeat", heartbeat)
                .put("period", period).put("seeds", new JsonArray(seeds)).put("voters", voters)
                .put("folder", folder.toString()).put("duties", duties).encode());
    }

    /** @throws IOException where the file can't be read */
    public static HollowPlan read(Path file) throws IOException {
        JsonObject json = new JsonObject(Files.readString(file));
        return new HollowPlan(json.getString("prefix"), json.getInteger("count"), json.getDouble("heartbeat"),
                json.getDouble("period"), json.getJsonArray("seeds").stream().map(p -> (Integer) p).toList(),
                json.getInteger("voters"), Path.of(json.getString("folder")), json.getString("duties"));
    }
}
