package topazladder.net;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import topazladder.net.codec.CallerFrameEncoder;
import topazladder.net.codec.CallerMessage;
import topazladder.net.codec.CallerMessage.HealthCheck;
import topazladder.net.codec.CallerMessage.RequestCancelled;
import topazladder.net.codec.CallerMessage.RequestSubmitted;
import topazladder.net.codec.MalformedMessageException;
import topazladder.service.AdmissionLevel;
import topazladder.service.Counters.Count;
import topazladder.service.InFlightRequest;
import topazladder.service.RequestDispatcher;
import topazladder.service.Response;

/**
 * The streams of one connection that are owed a response, and the bounds on what a caller may do on them.
 *
 * <p>Invariant: each request that was read gets one final response. A stream is owed one from the moment its frame is
 * read until the response is written, the caller cancels or the connection ends, and is used once: whatever the
 * dispatcher says of it later finds no entry and writes nothing.
 */
final class CallerStreams {
    /** The protocol's bound on what is open on one connection. */
    private static final int MAX_OPEN_STREAMS = 32;
    /** One that can't be decided on may be a mistake; a caller that goes on so loses its connection. */
    private static final int MAX_INVALID_REQUESTS = 3;
    /** Cancellations since the last response: twice what can be open at once is no loss of patience. */
    private static final int MAX_CANCELLATIONS = 2 * MAX_OPEN_STREAMS;

    private final RequestDispatcher dispatcher;
    private final CallerConnection connection;
    /** By stream; emptied by responses and cancellations, and as the connection closes. */
    private final Map<Long, PendingResponse> pending = new HashMap<>();
    private long lastStream;
    private int invalidRequests;
    private int cancellations;
    private int requests;
    private boolean validMessageRead;

    CallerStreams(RequestDispatcher dispatcher, CallerConnection connection) {
        this.dispatcher = dispatcher;
        this.connection = connection;
    }

    /** Whether no response is owed. */
    boolean isEmpty() {
        return pending.isEmpty();
    }

    /** Whether the caller ever sent a health check or a request that can be decided on. */
    boolean validMessageRead() {
        return validMessageRead;
    }

    /** Requests that were dispatched so far. */
    int requests() {
        return requests;
    }

    /**
     * Handles one message.
     *
     * @throws MalformedMessageException if its stream was used before
     * @throws CallerProtocolException if the caller is past one of its bounds
     */
    void accept(CallerMessage message) throws MalformedMessageException, CallerProtocolException {
        if (message instanceof RequestCancelled cancelled) {
            cancel(cancelled);
            return;
        }
        PendingResponse response = open(message.stream());
        if (message instanceof HealthCheck check) {
            validMessageRead = true;
            dispatcher.healthCheck(response, check.deep());
        } else if (message instanceof RequestSubmitted submitted) {
            dispatch(submitted, response);
        } else {
            dispatcher.respondInvalid(response);
        }
    }

    private void cancel(RequestCancelled cancelled) throws CallerProtocolException {
        PendingResponse response = pending.remove(cancelled.stream());
        if (response != null) {
            abandon(response);
        }
        // One that takes back nothing may have crossed the response, so that no more come than were open.
        if (++cancellations > MAX_CANCELLATIONS) {
            throw new CallerProtocolException(Count.CONNECTIONS_CLOSED_TOO_MANY_CANCELLED,
                    "too many requests taken back");
        }
    }

    private PendingResponse open(long stream) throws MalformedMessageException, CallerProtocolException {
        if (stream != 0 && stream <= lastStream || pending.containsKey(stream)) {
            throw new MalformedMessageException("stream " + stream + " used twice");
        }
        if (pending.size() >= MAX_OPEN_STREAMS) {
            throw new CallerProtocolException(Count.CONNECTIONS_CLOSED_TOO_MANY_OPEN,
                    "more than " + MAX_OPEN_STREAMS + " requests open");
        }
        lastStream = stream;
        PendingResponse response = new PendingResponse(this, stream);
        pending.put(stream, response);
        return response;
    }

    private void dispatch(RequestSubmitted submitted, PendingResponse response) {
        InFlightRequest dispatched = dispatcher.dispatch(submitted.request(), response);
        response.requestDispatched(dispatched);
        validMessageRead |= dispatched != null;
        requests++;
    }

    void answer(long stream, Response response) {
        if (pending.remove(stream) != null) {
            cancellations = 0;
            connection.writeResponse(CallerFrameEncoder.answer(stream, response));
        }
    }

    void answerInvalid(long stream, Response response) {
        answer(stream, response);
        if (++invalidRequests >= MAX_INVALID_REQUESTS) {
            connection.endWithError(Count.CONNECTIONS_CLOSED_TOO_MANY_INVALID,
                    "too many requests that can't be decided on");
        }
    }

    void answerHealthCheck(long stream, boolean healthy, AdmissionLevel level) {
        if (pending.remove(stream) != null) {
            connection.writeResponse(CallerFrameEncoder.health(stream, healthy, level));
        }
    }

    /** Answers all that is open as failed, as the caller broke the protocol. */
    void failAll() {
        for (PendingResponse response : List.copyOf(pending.values())) {
            response.onResponse(Response.INVALID_REQUEST);
            abandon(response);
        }
    }

    /** The connection is gone, and with it whoever waited. */
    void abandonAll() {
        List<PendingResponse> abandoned = new ArrayList<>(pending.values());
        pending.clear();
        abandoned.forEach(this::abandon);
    }

    private void abandon(PendingResponse response) {
        if (response.request() != null) {
            dispatcher.callerDisconnected(response.request());
        } else {
            dispatcher.healthCheckAbandoned(response);
        }
    }
}
