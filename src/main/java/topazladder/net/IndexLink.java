package topazladder.net;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazladder.config.ServiceTerms.Address;
import topazladder.net.codec.IndexLines;
import topazladder.net.codec.LineReader;
import topazladder.net.codec.Malformed;
import topazladder.service.Counters;
import topazladder.service.Counters.Count;
import topazladder.service.Exchange;
import topazladder.service.IndexPort;
import topazladder.ticket.Ending;

/** The connection to the index, opened when a call needs it. */
final class IndexLink implements IndexPort {
    private static final Logger LOG = LoggerFactory.getLogger(IndexLink.class);
    /** Sooner than the index does it, so that no call crosses the close: of one that did nothing is known. */
    private static final long IDLE_MS = 5000;

    private final Vertx vertx;
    private final Address address;
    private final Counters counters;
    private final NetClient client;
    /** Written and not replied to; emptied by replies, by calls given up and by the end of the connection. */
    private final Set<String> written = new LinkedHashSet<>();
    /** Wait for the connection; emptied as it opens or is refused. */
    private final Map<String, byte[]> waiting = new LinkedHashMap<>();
    private Exchange exchange;
    private NetSocket socket;
    private LineReader reader;
    private long lastUsed;
    private boolean reached = true;

    /** @param address null where nothing lies below, so that no call can be made */
    IndexLink(Vertx vertx, Address address, Counters counters) {
        this.vertx = vertx;
        this.address = address;
        this.counters = counters;
        client = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true).setConnectTimeout(1000));
    }

    void open(Exchange exchange) {
        this.exchange = exchange;
        vertx.setPeriodic(IDLE_MS / 5, id -> {
            if (socket != null && written.isEmpty() && System.nanoTime() - lastUsed > IDLE_MS * 1_000_000) {
                NetSocket idle = socket;
                socket = null;
                idle.close();
            }
        });
    }

    @Override public void call(String ref, double patience, byte[] body) {
        byte[] get = IndexLines.get(ref, patience, body);
        if (socket != null) {
            written.add(ref);
            write(get);
            return;
        }
        boolean connecting = !waiting.isEmpty();
        waiting.put(ref, get);
        if (address == null) {
            vertx.runOnContext(v -> refused());
        } else if (!connecting) {
            client.connect(address.port(), address.host()).onComplete(this::connected, e -> refused());
        }
    }

    @Override public void giveUp(String ref) {
        waiting.replace(ref, new byte[0]);
        if (written.remove(ref)) {
            write(IndexLines.stop(ref));
        }
    }

    private void connected(NetSocket s) {
        if (!reached) {
            LOG.info("the index is reached again");
        }
        reached = true;
        socket = s;
        reader = IndexLines.reader();
        s.handler(more -> read(s, more));
        s.exceptionHandler(e -> s.close());
        s.closeHandler(v -> broke(s));
        waiting.forEach((ref, get) -> {
            if (get.length > 0) {
                written.add(ref);
                write(get);
            }
        });
        waiting.clear();
    }

    /** Nothing was written, so that none of the calls ran. */
    private void refused() {
        if (reached) {
            LOG.warn("the index can't be reached");
        }
        reached = false;
        Set<String> refused = new LinkedHashSet<>(waiting.keySet());
        waiting.clear();
        refused.forEach(ref -> exchange.callEnded(ref, Ending.UNREACHED, null));
    }

    /** Of the calls on the way nothing is known. */
    private void broke(NetSocket s) {
        if (socket != s) {
            return;
        }
        socket = null;
        if (!written.isEmpty()) {
            counters.add(Count.LINKS_LOST);
            LOG.warn("the connection to the index broke with {} calls on it", written.size());
        }
        Set<String> broken = new LinkedHashSet<>(written);
        written.clear();
        broken.forEach(ref -> exchange.callEnded(ref, Ending.BROKEN_OFF, null));
    }

    private void read(NetSocket from, Buffer more) {
        lastUsed = System.nanoTime();
        try {
            reader.feed(more.getBytes());
            for (LineReader.Line l = reader.next(); l != null && socket == from; l = reader.next()) {
                IndexLines.Reply r = IndexLines.reply(l);
                // A reply may cross its STOP: the call is over all the same.
                if (written.remove(r.ref())) {
                    exchange.callEnded(r.ref(), r.how(), r.reply());
                }
            }
        } catch (Malformed e) {
            counters.add(Count.LINES_UNREADABLE);
            LOG.warn("the index sent what can't be read: {}", e.getMessage());
            from.close();
        }
    }

    private void write(byte[] bytes) {
        lastUsed = System.nanoTime();
        socket.write(Buffer.buffer(bytes));
    }
}
