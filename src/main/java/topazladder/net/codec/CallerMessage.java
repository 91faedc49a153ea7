package topazladder.net.codec;

import topazladder.service.IncomingRequest;

/** What a caller's frame says. */
public sealed interface CallerMessage {

    long stream();

    record Submitted(long stream, IncomingRequest arrival) implements CallerMessage {
    }

    /** A sound frame with a field that is missing, impossible or unknown. */
    record Unusable(long stream, String why) implements CallerMessage {
    }

    record GivenUp(long stream) implements CallerMessage {
    }

    record Check(long stream, boolean deep) implements CallerMessage {
    }
}
