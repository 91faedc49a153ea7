package topazladder.net;

import io.vertx.core.Vertx;
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

/**
 * One caller's connection, and the tickets that are open on it. Whoever breaks the protocol on it is told so, and
 * loses the connection with all that is open on it: what such a caller asked for earns nothing.
 */
final class CallerConnection {
    /** A caller that does not read gets nothing more read from it past this. */
    private static final int MOST_UNSENT = 64 << 10;
    /** The protocol's bound on what is open on one connection. */
    private static final int MOST_OPEN = 32;
    /** One that can't be decided on may be a mistake; a caller that goes on so is told and left. */
    private static final int MOST_UNUSABLE = 3;
    /** Of tickets taken back since the last answer: twice what can be open at once is no loss of patience. */
    private static final int MOST_TAKEN_BACK = 2 * MOST_OPEN;
    /** What says nothing for so long, or stops within a message, is closed: others wait for its place. */
    private static final long DUMB_NS = 2_000_000_000L;
    /** Closed with bytes unread, a connection would be reset before its caller read why it is closed. */
    private static final long PARTING_MS = 300;
    /** By then a caller that was told of the last call has heard it, and closes by itself if it ever will. */
    private static final double TOLD_NS = 5e8;

    private final Vertx vertx;
    private final NetSocket socket;
    private final Exchange exchange;
    private final Counters counters;
    private final Consumer<CallerConnection> gone;
    private final FrameReader reader = new FrameReader();
    /** Emptied by answers, and as the connection closes. */
    private final Map<Long, Waiting> open = new HashMap<>();
    private long lastStream;
    private long lastUsed = System.nanoTime();
    private long partFrom = lastUsed; // since when a message is awaited that has not come whole; 0 if none is
    private int unusable;
    private int takenBack;
    private boolean proven; // a sound message came
    private int asked;
    private long lastCallAt; // 0 until it was told that no new ticket is wanted
    private boolean parting; // nothing more is read
    private boolean closed;

    CallerConnection(Vertx vertx, NetSocket socket, Exchange exchange, Counters counters,
                     Consumer<CallerConnection> gone) {
        this.vertx = vertx;
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
        if (parting) {
            return; // was under way when it was paused
        }
        lastUsed = System.nanoTime();
        try {
            reader.feed(more.getBytes());
            boolean whole = false;
            for (CallerMessage m = reader.next(); m != null && !closed && !parting; m = reader.next()) {
                whole = true;
                take(m);
            }
            if (reader.isEmpty()) {
                partFrom = 0;
            } else if (whole || partFrom == 0) {
                partFrom = lastUsed;
            }
        } catch (Malformed e) {
            part(Count.CONNECTIONS_ENDED_AS_MALFORMED, e.getMessage());
        }
    }

    private void take(CallerMessage message) throws Malformed {
        if (message instanceof CallerMessage.GivenUp) {
            Waiting waiting = open.remove(message.stream());
            if (waiting != null) {
                waiting.gone();
                if (++takenBack > MOST_TAKEN_BACK) {
                    part(Count.CONNECTIONS_ENDED_AS_TAKING_BACK, "too many requests taken back");
                }
            }
            return;
        }
        if (message.stream() != 0 && message.stream() <= lastStream || open.containsKey(message.stream())) {
            throw new Malformed("stream " + message.stream() + " used twice");
        }
        if (open.size() >= MOST_OPEN) {
            part(Count.CONNECTIONS_ENDED_AS_OVERFULL, "more than " + MOST_OPEN + " requests open");
            return;
        }
        lastStream = message.stream();
        Waiting waiting = new Waiting(message.stream());
        open.put(message.stream(), waiting);
        if (message instanceof CallerMessage.Check check) {
            proven = true;
            exchange.check(waiting, check.deep());
        } else if (message instanceof CallerMessage.Submitted submitted) {
            waiting.inHand = exchange.arrive(submitted.arrival(), waiting);
            proven |= waiting.inHand != null;
            asked++;
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
        if (lastCallAt == 0) {
            lastCallAt = System.nanoTime();
            socket.write(Buffer.buffer(CallerFrames.noNewTicket()));
        }
    }

    /** First it is told, so that no ticket crosses the close; what is open is never cut. */
    void closeIfIdle(double seconds, long now) {
        if (!parting && open.isEmpty() && now - lastUsed > seconds * 1e9) {
            if (lastCallAt == 0) {
                lastCall();
            } else if (now - lastCallAt > Math.min(seconds * 1e9, TOLD_NS)) {
                socket.close();
            }
        }
    }

    /** What was never said, or said by half, ends it; what waits for an answer or between two tickets does not. */
    void closeIfDumb(long now) {
        if (!parting && partFrom != 0 && now - partFrom > DUMB_NS) {
            part(proven ? Count.CONNECTIONS_ENDED_AS_HALF_SAID : Count.CONNECTIONS_ENDED_AS_SILENT,
                    "no whole request in time");
        }
    }

    /** Whether nothing is lost with it. */
    boolean vacant() {
        return open.isEmpty();
    }

    /** What it has been good for: a caller that came again is likelier to come once more than one that did not. */
    int standing() {
        return parting || !proven ? 0 : lastCallAt != 0 ? 1 : asked <= 1 ? 2 : 3;
    }

    long lastUsed() {
        return lastUsed;
    }

    void cut() {
        socket.close();
        closed();
    }

    /** Its caller is told why; it ends once that can have been read, and nothing on it is answered any more. */
    private void part(Count kind, String why) {
        if (parting) {
            return;
        }
        counters.add(kind);
        parting = true;
        for (Waiting waiting : List.copyOf(open.values())) {
            waiting.answer(Answer.UNUSABLE);
            waiting.gone();
        }
        write(CallerFrames.error(why));
        // It may send at full speed, and reading what nobody takes would cost the others their time.
        socket.drainHandler(null);
        socket.pause();
        vertx.setTimer(PARTING_MS, id -> socket.close());
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
                takenBack = 0;
                write(CallerFrames.answer(stream, answer));
            }
        }

        @Override public void unusable(Answer answer) {
            answer(answer);
            if (++unusable >= MOST_UNUSABLE) {
                part(Count.CONNECTIONS_ENDED_AS_UNUSABLE, "too many requests that can't be decided on");
            }
        }

        @Override public void health(boolean good, Double level) {
            if (open.remove(stream) != null) {
                write(CallerFrames.health(stream, good, level));
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
