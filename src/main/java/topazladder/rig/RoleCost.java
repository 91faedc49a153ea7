package topazladder.rig;

import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import topazladder.net.cluster.LinkTraffic;

/**
 * What the cluster costs one member of a role, in the mean over those measured and over a window of time. Bytes and
 * frames are counted at the sockets, all framing and handshakes included, headers of TCP and IP not.
 *
 * @param measured how many were
 * @param bytesOut a second
 * @param bytesIn a second
 * @param framesOut a second
 * @param framesIn a second
 * @param connections made and taken a second
 * @param cpuMillis of a core a second, all threads
 * @param workMillis the same of event loops and consensus alone
 * @param residentMegabytes of memory; of hollow members a part of their process's
 * @param heapKilobytes live heap; only of hollow members
 * @param descriptors open
 * @param known entries of its table of members
 */
public record RoleCost(int measured, double bytesOut, double bytesIn, double framesOut, double framesIn,
        double connections, double cpuMillis, double workMillis, double residentMegabytes,
        double heapKilobytes, double descriptors, double known) {

    /** One figure of a cost, with its name and unit. */
    public record Figure(String name, ToDoubleFunction<RoleCost> value) {
    }

    /** In the order of the components. */
    public static final List<Figure> FIGURES = List.of(
            new Figure("bytes out/s", RoleCost::bytesOut), new Figure("bytes in/s", RoleCost::bytesIn),
            new Figure("frames out/s", RoleCost::framesOut), new Figure("frames in/s", RoleCost::framesIn),
            new Figure("connections/s", RoleCost::connections), new Figure("cpu ms/s", RoleCost::cpuMillis),
            new Figure("loop and consensus ms/s", RoleCost::workMillis),
            new Figure("resident MB", RoleCost::residentMegabytes), new Figure("heap KB", RoleCost::heapKilobytes),
            new Figure("descriptors", RoleCost::descriptors), new Figure("known members", RoleCost::known));

    static RoleCost of(int members, double seconds, LinkTraffic.Totals traffic, double cpuSeconds, double workSeconds,
            double megabytes, double heapBytes, double descriptors, double known) {
        double each = Math.max(1, members);
        double rate = each * seconds;
        return new RoleCost(members, traffic.bytesSent() / rate, traffic.bytesReceived() / rate,
                traffic.framesSent() / rate, traffic.framesReceived() / rate,
                (traffic.connectionsMade() + traffic.connectionsTaken()) / rate, cpuSeconds * 1e3 / rate,
                workSeconds * 1e3 / rate, megabytes / each, heapBytes / 1024 / each, descriptors / each, known / each);
    }

    JsonObject json() {
        JsonObject json = new JsonObject().put("measured", measured);
        FIGURES.forEach(f -> json.put(f.name(), f.value().applyAsDouble(this)));
        return json;
    }

    static RoleCost of(JsonObject json) {
        List<Double> v = new ArrayList<>();
        FIGURES.forEach(f -> v.add(json.getDouble(f.name())));
        return new RoleCost(json.getInteger("measured"), v.get(0), v.get(1), v.get(2), v.get(3), v.get(4), v.get(5),
                v.get(6), v.get(7), v.get(8), v.get(9), v.get(10));
    }
}
