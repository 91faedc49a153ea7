package topazladder.net;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.function.Consumer;
import topazladder.net.codec.CallerFrameEncoder;
import topazladder.net.codec.CallerFrameReader;
import topazladder.net.codec.CallerMessage;
import topazladder.net.codec.MalformedMessageException;
import topazladder.service.Counters;
import topazladder.service.Counters.Count;
import topazladder.service.RequestDispatcher;

/**
 * One caller's connection: reads its messages, writes its responses and closes it in order. A caller that breaks the
 * protocol is sent the error, and loses the connection with all that is open on it.
 *
 * <p>Invariants: the connection is never closed over a response that is owed, unless its caller broke the protocol or
 * the instance ends; and its own side is shut down first, with what still comes read away or left unread for a while,
 * because a close over unread bytes would reset the connection before the caller has read the last response.
 */
final class CallerConnection {
    /** How useful a connection is, least first: a caller that sent several requests is likelier to send another. */
    enum Value {
        NO_VALID_MESSAGE, DRAINING, ONE_REQUEST, SEVERAL_REQUESTS
    }

    private enum State { OPEN, ENDING, CLOSED }

    /** Past this, nothing more is read from a caller that does not read its responses. */
    private static final int MAX_UNSENT_BYTES = 64 << 10;
    /** Read in one turn of the event loop, which all connections share; as many as may be open on one of them. */
    private static final int MAX_MESSAGES_PER_TURN = 32;
    /** Until the next turn of a connection that had more. */
    private static final long POSTPONED_READ_MILLIS = 1;
    /** Between the error and the close, for the caller to read why. */
    private static final long ERROR_LINGER_MILLIS = 300;
    /** What a caller sends before it has seen the end of this side is read away for so long. */
    private static final long CLOSE_LINGER_MILLIS = 100;
    /** A caller that sends no more is probed twice for whether it still reads: if not, a reset answers the first. */
    private static final long SECOND_PROBE_MILLIS = 50;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NOT_YET = 0;

    private final Vertx vertx;
    private final NetSocket socket;
    private final Counters counters;
    private final PartialMessageMemory partialMessages;
    private final Consumer<CallerConnection> onClosed;
    private final CallerFrameReader reader = new CallerFrameReader();
    private final CallerStreams streams;
    private final MessageTimeout messageTimeout = new MessageTimeout();
    private State state = State.OPEN; // while ENDING, what still comes is not taken in
    private long lastUsedNanos = System.nanoTime();
    private long drainRequestedNanos = NOT_YET;
    private boolean inputShutdown; // its caller sends no more
    private boolean writeBlocked; // nothing more is read until what was written has gone out
    private boolean reading; // messages that came are being read
    private boolean readPostponed; // nothing more is read until others had their turn

    CallerConnection(Vertx vertx, NetSocket socket, RequestDispatcher dispatcher, Counters counters,
            PartialMessageMemory partialMessages, Consumer<CallerConnection> onClosed) {
        this.vertx = vertx;
        this.socket = socket;
        this.counters = counters;
        this.partialMessages = partialMessages;
        this.onClosed = onClosed;
        streams = new CallerStreams(dispatcher, this);
        socket.setWriteQueueMaxSize(MAX_UNSENT_BYTES);
        socket.handler(this::read);
        socket.exceptionHandler(e -> socket.close());
        socket.closeHandler(v -> closed());
        HalfClose.onInputShutdown(socket, this::inputShutdown);
        // Shutdown is announced by requestDrain(); without a handler the socket would be closed at once.
        socket.shutdownHandler(v -> {});
    }

    private void read(Buffer bytes) {
        if (state != State.OPEN) {
            return; // never dispatched: it could not be answered any more
        }
        lastUsedNanos = System.nanoTime();
        reader.feed(bytes.getBytes());
        if (!isReadingHeld()) {
            readMessages();
        }
    }

    /** Reads as many whole messages as one turn allows; the others go first before the next turn. */
    private void readMessages() {
        reading = true;
        try {
            int messages = 0;
            CallerMessage message = reader.next();
            while (message != null) {
                streams.accept(message);
                messages++;
                boolean goesOn = state == State.OPEN && messages < MAX_MESSAGES_PER_TURN && !writeBlocked;
                message = goesOn ? reader.next() : null;
            }
            messagesRead(messages);
        } catch (MalformedMessageException e) {
            endWithError(Count.CONNECTIONS_CLOSED_MALFORMED, e.getMessage());
        } catch (CallerProtocolException e) {
            endWithError(e.kind(), e.getMessage());
        } finally {
            reading = false;
        }
    }

    private void messagesRead(int messages) {
        if (state != State.OPEN) {
            return;
        }
        if (messages == MAX_MESSAGES_PER_TURN && !reader.isEmpty()) {
            postponeReading();
        }
        messageTimeout.bytesRead(messages > 0, !reader.isEmpty() && !isReadingHeld());
        partialMessages.update(this, reader.bufferedBytes(), messages > 0);
    }

    /** By a timer, as a task that follows at once would run before the sockets of the others are looked at. */
    private void postponeReading() {
        counters.add(Count.READS_POSTPONED);
        readPostponed = true;
        socket.pause();
        vertx.setTimer(POSTPONED_READ_MILLIS, id -> {
            readPostponed = false;
            continueReading();
        });
    }

    /** What had come before the end of its caller's side is read before the connection is closed. */
    private void continueReading() {
        if (state == State.OPEN && !isReadingHeld()) {
            readMessages();
        }
        if (state == State.OPEN && !isReadingHeld()) {
            socket.resume();
            vertx.runOnContext(v -> closeIfFinished());
        }
    }

    /** Whether messages that came may lie unread for now, through no fault of their caller's. */
    private boolean isReadingHeld() {
        return writeBlocked || readPostponed;
    }

    /** Writes the response to a stream, and closes if it was the last that a caller waited for that sends no more. */
    void writeResponse(byte[] frame) {
        write(frame);
        closeIfFinished();
    }

    private void write(byte[] frame) {
        if (state == State.CLOSED) {
            return;
        }
        lastUsedNanos = System.nanoTime();
        socket.write(Buffer.buffer(frame));
        if (socket.writeQueueFull() && !writeBlocked) {
            writeBlocked = true;
            socket.pause();
            socket.drainHandler(v -> writeUnblocked());
        }
    }

    private void writeUnblocked() {
        writeBlocked = false;
        continueReading();
    }

    /** Asks for no new request; the caller closes once all is answered, or is closed on when idle. */
    void requestDrain() {
        if (drainRequestedNanos == NOT_YET) {
            drainRequestedNanos = System.nanoTime();
            socket.write(Buffer.buffer(CallerFrameEncoder.noNewRequest()));
        }
    }

    /**
     * The caller sends no more: it is gone, or waits for what is open. What is owed is answered, and the connection
     * closed with the last response. The notification that no request is wanted does no harm to a caller that waits,
     * and is answered by a reset from one that is gone.
     */
    private void inputShutdown() {
        inputShutdown = true;
        if (state != State.OPEN || streams.isEmpty() && !isReadingHeld()) {
            socket.close();
        } else {
            write(CallerFrameEncoder.noNewRequest());
            vertx.setTimer(SECOND_PROBE_MILLIS, id -> write(CallerFrameEncoder.noNewRequest()));
        }
    }

    /**
     * Asks an idle connection for no new request first, so that none crosses the close; a connection with something
     * open is never closed.
     *
     * @param idleSeconds after which it is idle
     * @param drainSeconds after the notification in which a caller that heeds it has closed by itself
     */
    void closeIfIdle(double idleSeconds, double drainSeconds, long nowNanos) {
        boolean idle = isVacant() && nowNanos - lastUsedNanos > idleSeconds * NANOS_PER_SECOND;
        if (state != State.OPEN || !idle) {
            return;
        }
        if (drainRequestedNanos == NOT_YET) {
            requestDrain();
        } else if (nowNanos - drainRequestedNanos > drainSeconds * NANOS_PER_SECOND) {
            closeInOrder();
        }
    }

    /** Shuts its own side down and reads away what still comes, so that no unread byte resets the connection. */
    void closeInOrder() {
        if (state == State.OPEN) {
            state = State.ENDING;
            releaseUnread();
            requestDrain();
            HalfClose.shutdownOutput(socket);
            socket.resume();
            vertx.setTimer(CLOSE_LINGER_MILLIS, id -> socket.close());
        }
    }

    /** Ends a connection that says nothing, or half a message; one that waits, or rests between requests, is kept. */
    void closeIfMessageOverdue() {
        if (state == State.OPEN && messageTimeout.isOverdueAtSweep()) {
            endWithError(streams.validMessageRead() ? Count.CONNECTIONS_CLOSED_INCOMPLETE
                    : Count.CONNECTIONS_CLOSED_SILENT, "no whole request in time");
        }
    }

    /** Sends the error and ends once that can have been read; all that is open is answered as failed. */
    void endWithError(Count kind, String reason) {
        if (state != State.OPEN) {
            return;
        }
        counters.add(kind);
        state = State.ENDING;
        releaseUnread();
        streams.failAll();
        write(CallerFrameEncoder.error(reason));
        HalfClose.shutdownOutput(socket);
        // It may send at full speed, and reading what nobody takes would cost the others their time.
        socket.drainHandler(null);
        socket.pause();
        vertx.setTimer(ERROR_LINGER_MILLIS, id -> socket.close());
    }

    /** Ends it because the start of its message takes memory that others need. */
    void endForWantOfMemory() {
        endWithError(Count.CONNECTIONS_CLOSED_OUT_OF_MEMORY, "no memory for the rest of a request");
        releaseUnread(); // also where it is ending already
    }

    private void releaseUnread() {
        reader.clear();
        partialMessages.update(this, 0, false);
    }

    /** Closes at once: nothing sound ever came on it. */
    void closeNow() {
        socket.close();
        closed();
    }

    private void closeIfFinished() {
        if (inputShutdown && state == State.OPEN && streams.isEmpty() && !reading && !isReadingHeld()) {
            socket.close();
        }
    }

    private void closed() {
        if (state != State.CLOSED) {
            state = State.CLOSED;
            releaseUnread();
            streams.abandonAll();
            onClosed.accept(this);
        }
    }

    /** Whether no response is owed on it, nor may be to what came and is not read yet. */
    boolean isVacant() {
        return streams.isEmpty() && !readPostponed;
    }

    Value value() {
        if (state != State.OPEN || !streams.validMessageRead()) {
            return Value.NO_VALID_MESSAGE;
        }
        if (drainRequestedNanos != NOT_YET) {
            return Value.DRAINING;
        }
        return streams.requests() <= 1 ? Value.ONE_REQUEST : Value.SEVERAL_REQUESTS;
    }

    long lastUsedNanos() {
        return lastUsedNanos;
    }

    boolean validMessageRead() {
        return streams.validMessageRead();
    }
}
