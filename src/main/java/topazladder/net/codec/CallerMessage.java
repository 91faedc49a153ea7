package topazladder.net.codec;

import topazladder.service.IncomingRequest;

/** What one frame of a caller says; each is of one stream of its connection. */
public sealed interface CallerMessage {

    long stream();

    /** A request that can be decided on. */
    record RequestSubmitted(long stream, IncomingRequest request) implements CallerMessage {
    }

    /**
     * A request in a sound frame that can't be decided on: it gets one failed response, and the connection goes on.
     *
     * @param reason the field that is missing, out of bounds or unknown
     */
    record InvalidRequest(long stream, String reason) implements CallerMessage {
    }

    /** Nobody waits for the response to this stream any more. */
    record RequestCancelled(long stream) implements CallerMessage {
    }

    /**
     * A health check.
     *
     * @param deep whether it asks if work gets done
     */
    record HealthCheck(long stream, boolean deep) implements CallerMessage {
    }
}
