package topazladder.rig;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.parsetools.RecordParser;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import topazladder.faults.EffectLedger;

/** A service that duties touch: writes down what comes, in the order in which it comes. */
final class LedgerServer {
    private final EffectLedger ledger;
    private final double began;
    private final NetServer server;
    private final Map<String, String> last = new HashMap<>(); // by duty
    private final Consumer<String> news;

    /** @param news is told of each change of a duty's holder */
    LedgerServer(Vertx vertx, boolean checks, double began, int port, Consumer<String> news) {
        ledger = new EffectLedger(checks);
        this.began = began;
        this.news = news;
        server = vertx.createNetServer();
        server.connectHandler(s -> s.handler(RecordParser.newDelimited("\n", line -> take(
                line.toString(StandardCharsets.US_ASCII))))).listen(port, "127.0.0.1");
    }

    private void take(String line) {
        String[] w = line.split(" ");
        if (w.length == 4 && w[0].equals("touch")) {
            double at = System.nanoTime() / 1e9 - began;
            boolean taken = ledger.effect(at, w[1], Long.parseLong(w[2]), w[3]);
            if (taken && !w[3].equals(last.put(w[1], w[3]))) {
                news.accept(w[1] + " is touched by " + w[3] + " under " + w[2]);
            } else if (!taken) {
                news.accept(w[1] + " is touched too late by " + w[3] + " under " + w[2]);
            }
        }
    }

    EffectLedger ledger() {
        return ledger;
    }

    /** The member that touched the duty last, or null. */
    String holder(String duty) {
        String holder = last.get(duty);
        return holder == null ? null : holder.substring(0, holder.indexOf('#'));
    }

    void close() {
        server.close();
    }
}
