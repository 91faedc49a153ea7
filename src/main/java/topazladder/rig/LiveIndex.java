package topazladder.rig;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import topazladder.emulator.Below;
import topazladder.net.codec.LineReader;
import topazladder.net.codec.MalformedMessageException;

/** The emulator's dependency behind the index's protocol, one for all instances. */
final class LiveIndex {
    private final Below below;
    private final NetServer server;

    LiveIndex(Vertx vertx, Below below, int port) {
        this.below = below;
        server = vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true));
        server.connectHandler(this::connected).listen(port, "127.0.0.1");
    }

    void close() {
        server.close();
    }

    private void connected(NetSocket socket) {
        Set<Object> mine = new HashSet<>(); // calls of this connection, emptied as they end
        LineReader reader = new LineReader(200, w -> w[0].equals("GET") && w.length == 4 ? LineReader.length(w[3])
                : -1);
        socket.handler(more -> {
            try {
                reader.feed(more.getBytes());
                for (LineReader.Line l = reader.next(); l != null; l = reader.next()) {
                    String ref = l.words()[1];
                    if (l.words()[0].equals("GET")) {
                        Object call = new Object();
                        mine.add(call);
                        double work = Double.parseDouble(new String(l.payload(), StandardCharsets.US_ASCII));
                        below.call(call, work, () -> {
                            mine.remove(call);
                            socket.write(ref + " HIT 1\r\ny\r\n");
                        });
                    }
                }
            } catch (MalformedMessageException e) {
                socket.close();
            }
        });
        // A caller that gives up closes its connection.
        socket.closeHandler(v -> mine.forEach(below::giveUp));
    }
}
