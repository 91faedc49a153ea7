package topazladder.net.cluster;

import io.vertx.core.json.JsonObject;

/**
 * Traffic of one member's links to the others, counted at its sockets since its start: all bytes of frames and
 * handshakes in both directions, without the headers of TCP and IP. Owned by the event loop.
 *
 * <p>Operators' connections are not counted: a measurement that asks for these figures would change them.
 */
public final class LinkTraffic {
    private long bytesSent;
    private long bytesReceived;
    private long framesSent;
    private long framesReceived;
    private long connectionsMade;
    private long connectionsTaken;

    /**
     * One reading of the counters. Their names in JSON are those of the components.
     *
     * @param connectionsMade to other members whose handshake was finished
     * @param connectionsTaken from other members whose handshake was finished
     */
    public record Totals(long bytesSent, long bytesReceived, long framesSent, long framesReceived,
            long connectionsMade, long connectionsTaken) {

        public static final Totals NONE = new Totals(0, 0, 0, 0, 0, 0);

        public Totals plus(Totals other) {
            return new Totals(bytesSent + other.bytesSent, bytesReceived + other.bytesReceived,
                    framesSent + other.framesSent, framesReceived + other.framesReceived,
                    connectionsMade + other.connectionsMade, connectionsTaken + other.connectionsTaken);
        }

        public Totals minus(Totals earlier) {
            return new Totals(bytesSent - earlier.bytesSent, bytesReceived - earlier.bytesReceived,
                    framesSent - earlier.framesSent, framesReceived - earlier.framesReceived,
                    connectionsMade - earlier.connectionsMade, connectionsTaken - earlier.connectionsTaken);
        }

        public JsonObject toJson() {
            return new JsonObject().put("bytesSent", bytesSent).put("bytesReceived", bytesReceived)
                    .put("framesSent", framesSent).put("framesReceived", framesReceived)
                    .put("connectionsMade", connectionsMade).put("connectionsTaken", connectionsTaken);
        }

        public static Totals fromJson(JsonObject json) {
            return new Totals(json.getLong("bytesSent"), json.getLong("bytesReceived"), json.getLong("framesSent"),
                    json.getLong("framesReceived"), json.getLong("connectionsMade"), json.getLong("connectionsTaken"));
        }
    }

    void sent(int bytes) {
        bytesSent += bytes;
        framesSent++;
    }

    void received(int bytes) {
        bytesReceived += bytes;
        framesReceived++;
    }

    void connectionMade() {
        connectionsMade++;
    }

    void connectionTaken() {
        connectionsTaken++;
    }

    public Totals totals() {
        return new Totals(bytesSent, bytesReceived, framesSent, framesReceived, connectionsMade, connectionsTaken);
    }
}
