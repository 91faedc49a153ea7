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
import topazladder.net.codec.MalformedMessageException;
import topazladder.service.AdmissionLevel;
import topazladder.service.Counters;
import topazladder.service.Counters.Count;
import topazladder.service.InFlightRequest;
import topazladder.service.RequestDispatcher;
import topazladder.service.Response;
import topazladder.service.ResponseListener;

/**
 * One caller's connection, and the requests that are open on it. Whoever breaks the protocol on it is told so, and
 * loses the connection with all that is open on it: what such a caller asked for earns nothing.
 */
final class CallerConnection {
    /** A caller that does not read gets nothing more read from it past this. */
    private static final int MOST_UNSENT = 64 << 10;
    /** The protocol's bound on what is open on one connection. */
    private static final int MOST_OPEN = 32;
    /** One that can't be decided on may be a mistake; a caller that goes on so is told and left. */
    private static final int MOST_UNUSABLE = 3;
    /** Of requests taken back since the last answer: twice what can be open at once is no loss of patience. */
    private static final int MOST_TAKEN_BACK = 2 * MOST_OPEN;
    /**
     * What says nothing for so many looks, two seconds, or stops within a message, is closed: others wait for its
     * place. Counted in looks: in a pause of the machine nobody could say anything, and none is taken.
     */
    private static final int DUMB_LOOKS = (int) (2000 / CallerServer.LEAST_SWEEP_MS);
    /** Closed with bytes unread, a connection would be reset before its caller read why it is closed. */
    private static final long PARTING_MS = 300;
    /** What a caller sends before it has seen that nothing is taken any more is read away for so long. */
    private static final long HANGING_UP_MS = 100;
    /** A caller that sends no more is asked twice whether it still reads: the first is answered by a reset if not. */
    private static final long PROBE_MS = 50;

    private final Vertx vertx;
    private final NetSocket socket;
    private final RequestDispatcher dispatcher;
    private final Counters counters;
    private final Consumer<CallerConnection> gone;
    private final FrameReader reader = new FrameReader();
    /** Emptied by answers, and as the connection closes. */
    private final Map<Long, Waiting> open = new HashMap<>();
    private long lastStream;
    private long lastUsed = System.nanoTime();
    private boolean awaiting = true; // a message has not come whole
    private int looks; // since it is awaited
    private int unusable;
    private int takenBack;
    private boolean proven; // a sound message came
    private int asked;
    private long lastCallAt; // 0 until it was told that no new request is wanted
    private boolean heardAll; // its caller sends no more
    private boolean stuck; // nothing more is read until what was written has gone out
    private boolean parting; // what still comes is of no use
    private boolean closed;

    CallerConnection(Vertx vertx, NetSocket socket, RequestDispatcher dispatcher, Counters counters,
            Consumer<CallerConnection> gone) {
        this.vertx = vertx;
        this.socket = socket;
        this.dispatcher = dispatcher;
        this.counters = counters;
        this.gone = gone;
        socket.setWriteQueueMaxSize(MOST_UNSENT);
        socket.handler(this::read);
        socket.exceptionHandler(e -> socket.close());
        socket.closeHandler(v -> closed());
        HalfClose.watch(socket, this::heardAll);
        socket.shutdownHandler(v -> {}); // told by lastCall; without a handler the socket is closed at once
    }

    private void read(Buffer more) {
        if (parting) {
            return; // never passed on: its answer could not be given any more
        }
        lastUsed = System.nanoTime();
        try {
            reader.feed(more.getBytes());
            boolean whole = false;
            for (CallerMessage m = reader.next(); m != null && !closed && !parting; m = reader.next()) {
                whole = true;
                take(m);
            }
            if (whole || !awaiting) {
                looks = 0;
            }
            awaiting = !reader.isEmpty();
        } catch (MalformedMessageException e) {
            part(Count.CONNECTIONS_CLOSED_MALFORMED, e.getMessage());
        }
    }

    private void take(CallerMessage message) throws MalformedMessageException {
        if (message instanceof CallerMessage.GivenUp) {
            Waiting waiting = open.remove(message.stream());
            if (waiting != null) {
                waiting.gone();
                if (++takenBack > MOST_TAKEN_BACK) {
                    part(Count.CONNECTIONS_CLOSED_TOO_MANY_CANCELLED, "too many requests taken back");
                }
            }
            return;
        }
        if (message.stream() != 0 && message.stream() <= lastStream || open.containsKey(message.stream())) {
            throw new MalformedMessageException("stream " + message.stream() + " used twice");
        }
        if (open.size() >= MOST_OPEN) {
            part(Count.CONNECTIONS_CLOSED_TOO_MANY_OPEN, "more than " + MOST_OPEN + " requests open");
            return;
        }
        lastStream = message.stream();
        Waiting waiting = new Waiting(message.stream());
        open.put(message.stream(), waiting);
        if (message instanceof CallerMessage.Check check) {
            proven = true;
            dispatcher.healthCheck(waiting, check.deep());
        } else if (message instanceof CallerMessage.Submitted submitted) {
            waiting.inFlight = dispatcher.dispatch(submitted.arrival(), waiting);
            proven |= waiting.inFlight != null;
            asked++;
        } else {
            dispatcher.respondInvalid(waiting);
        }
    }

    private void write(byte[] frame) {
        if (closed) {
            return;
        }
        lastUsed = System.nanoTime();
        socket.write(Buffer.buffer(frame));
        if (socket.writeQueueFull() && !stuck) {
            stuck = true;
            socket.pause();
            socket.drainHandler(v -> unstuck());
        }
    }

    /** What had come before the end of its caller's side is read first. */
    private void unstuck() {
        stuck = false;
        socket.resume();
        vertx.runOnContext(v -> closeIfAllIsSaid());
    }

    /** Asks for no new request; the caller closes once all is answered, or is closed on when idle. */
    void lastCall() {
        if (lastCallAt == 0) {
            lastCallAt = System.nanoTime();
            socket.write(Buffer.buffer(CallerFrames.noNewRequest()));
        }
    }

    /**
     * Its caller sends no more: gone, or waiting for what is open. What is owed is answered, and the end comes with the
     * last answer; the word that no request is wanted does no harm to who waits, and finds out who is gone.
     */
    private void heardAll() {
        heardAll = true;
        if (parting || open.isEmpty() && !stuck) {
            socket.close();
        } else {
            write(CallerFrames.noNewRequest());
            vertx.setTimer(PROBE_MS, id -> write(CallerFrames.noNewRequest()));
        }
    }

    /**
     * First it is told, so that no request crosses the close; what is open is never cut.
     *
     * @param told seconds from that word on in which a caller that heeds it has closed by itself
     */
    void closeIfIdle(double seconds, double told, long now) {
        if (!parting && open.isEmpty() && now - lastUsed > seconds * 1e9) {
            if (lastCallAt == 0) {
                lastCall();
            } else if (now - lastCallAt > told * 1e9) {
                hangUp();
            }
        }
    }

    /**
     * Ends it with nothing owed. Its own side is closed first and what still comes is read away: closed over unread
     * bytes it would be reset, and its caller would lose the last answer.
     */
    void hangUp() {
        if (!parting) {
            parting = true;
            lastCall();
            HalfClose.finish(socket);
            vertx.setTimer(HANGING_UP_MS, id -> socket.close());
        }
    }

    /** What was never said, or said by half, ends it; what waits for an answer or between two requests does not. */
    void closeIfDumb() {
        if (!parting && awaiting && ++looks > DUMB_LOOKS) {
            part(proven ? Count.CONNECTIONS_CLOSED_INCOMPLETE : Count.CONNECTIONS_CLOSED_SILENT,
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

    /** Whether it ever said anything sound. */
    boolean proven() {
        return proven;
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
            waiting.onResponse(Response.INVALID_REQUEST);
            waiting.gone();
        }
        write(CallerFrames.error(why));
        HalfClose.finish(socket);
        // It may send at full speed, and reading what nobody takes would cost the others their time.
        socket.drainHandler(null);
        socket.pause();
        vertx.setTimer(PARTING_MS, id -> socket.close());
    }

    private void closeIfAllIsSaid() {
        if (heardAll && !parting && !stuck && open.isEmpty()) {
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
    private final class Waiting implements ResponseListener {
        private final long stream;
        private InFlightRequest inFlight;

        Waiting(long stream) {
            this.stream = stream;
        }

        @Override
        public void onResponse(Response answer) {
            if (open.remove(stream) != null) {
                takenBack = 0;
                write(CallerFrames.answer(stream, answer));
                closeIfAllIsSaid();
            }
        }

        @Override
        public void onInvalidRequest(Response answer) {
            onResponse(answer);
            if (++unusable >= MOST_UNUSABLE) {
                part(Count.CONNECTIONS_CLOSED_TOO_MANY_INVALID, "too many requests that can't be decided on");
            }
        }

        @Override
        public void onHealth(boolean good, AdmissionLevel level) {
            if (open.remove(stream) != null) {
                write(CallerFrames.health(stream, good, level));
                closeIfAllIsSaid();
            }
        }

        void gone() {
            if (inFlight != null) {
                dispatcher.callerDisconnected(inFlight);
            } else {
                dispatcher.healthCheckAbandoned(this);
            }
        }
    }
}
