package topazladder.net;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import topazladder.net.codec.CallerFrames;
import topazladder.net.codec.CallerMessage;
import topazladder.net.codec.FrameReader;
import topazladder.net.codec.Malformed;
import topazladder.service.Answer;
import topazladder.service.Caller;
import topazladder.service.Counters;
import topazladder.service.Counters.Count;
import topazladder.service.Exchange;
import topazladder.service.InHand;

/** One caller's connection, and the tickets that are open on it. */
final class CallerConnection {
    /** A caller that does not read gets nothing more read from it past this. */
    private static final int MOST_UNSENT = 64 << 10;

    private final NetSocket socket;
    private final Exchange exchange;
    private final Counters counters;
    private final Consumer<CallerConnection> gone;
    private final FrameReader reader = new FrameReader();
    /** Emptied by answers, and as the connection closes. */
    private final Map<Long, Waiting> open = new HashMap<>();
    private long lastStream;
    private long lastUsed = System.nanoTime();
    private boolean lastCall;
    private boolean ending; // reads no more, and closes once nothing is open
    private boolean closed;

    CallerConnection(NetSocket socket, Exchange exchange, Counters counters, Consumer<CallerConnection> gone) {
        this.socket = socket;
        this.exchange = exchange;
        this.counters = counters;
        this.gone = gone;
        socket.setWriteQueueMaxSize(MOST_UNSENT);
        socket.handler(this::read);
        socket.exceptionHandler(e -> socket.close());
        socket.closeHandler(v -> closed());
        socket.shutdownHandler(v -> { }); // told by lastCall; without a handler the socket is closed at once
    }

    private void read(Buffer more) {
        if (ending) {
            return;
        }
        lastUsed = System.nanoTime();
        try {
            reader.feed(more.getBytes());
            for (CallerMessage m = reader.next(); m != null && !closed; m = reader.next()) {
                take(m);
            }
        } catch (Malformed e) {
            counters.add(Count.CONNECTIONS_ENDED_AS_MALFORMED);
            write(CallerFrames.error(e.getMessage()));
            ending = true;
            endIfDone();
        }
    }

    private void take(CallerMessage message) throws Malformed {
        if (message instanceof CallerMessage.GivenUp) {
            Waiting waiting = open.remove(message.stream());
            if (waiting != null) {
                waiting.gone();
            }
            return;
        }
        if (message.stream() != 0 && message.stream() <= lastStream || open.containsKey(message.stream())) {
            throw new Malformed("stream " + message.stream() + " used twice");
        }
        lastStream = message.stream();
        Waiting waiting = new Waiting(message.stream());
        open.put(message.stream(), waiting);
        if (message instanceof CallerMessage.Check check) {
            exchange.check(waiting, check.deep());
            return;
        }
        if (message instanceof CallerMessage.Submitted submitted) {
            waiting.inHand = exchange.arrive(submitted.arrival(), waiting);
        } else {
            exchange.unusable(waiting);
        }
    }

    private void write(byte[] frame) {
        if (closed) {
            return;
        }
        lastUsed = System.nanoTime();
        socket.write(Buffer.buffer(frame));
        if (socket.writeQueueFull()) {
            socket.pause();
            socket.drainHandler(v -> socket.resume());
        }
    }

    /** Asks for no new ticket; the caller closes once all is answered, or is closed on when idle. */
    void lastCall() {
        if (!lastCall) {
            lastCall = true;
            write(CallerFrames.noNewTicket());
        }
    }

    /** First it is told, so that no ticket crosses the close; what is open is never cut. */
    void closeIfIdle(double seconds) {
        if (open.isEmpty() && System.nanoTime() - lastUsed > seconds * 1e9) {
            if (lastCall) {
                socket.close();
            } else {
                lastCall();
            }
        }
    }

    private void endIfDone() {
        if (ending && open.isEmpty()) {
            socket.close();
        }
    }

    private void closed() {
        if (!closed) {
            closed = true;
            List<Waiting> left = new ArrayList<>(open.values());
            open.clear();
            left.forEach(Waiting::gone);
            gone.accept(this);
        }
    }

    /** Whoever waits on one stream. */
    private final class Waiting implements Caller {
        private final long stream;
        private InHand inHand;

        Waiting(long stream) {
            this.stream = stream;
        }

        @Override public void answer(Answer answer) {
            if (open.remove(stream) != null) {
                write(CallerFrames.answer(stream, answer));
                endIfDone();
            }
        }

        @Override public void health(boolean good, Double level) {
            if (open.remove(stream) != null) {
                write(CallerFrames.health(stream, good, level));
                endIfDone();
            }
        }

        void gone() {
            if (inHand != null) {
                exchange.callerGone(inHand);
            } else {
                exchange.checkGone(this);
            }
        }
    }
}
