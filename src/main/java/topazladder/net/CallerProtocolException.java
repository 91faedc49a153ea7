package topazladder.net;

import topazladder.service.Counters.Count;

/** A caller asks for more than the protocol allows it; the message is sent to it, and its connection ends. */
final class CallerProtocolException extends Exception {
    private static final long serialVersionUID = 1L;

    private final Count kind;

    CallerProtocolException(Count kind, String message) {
        super(message);
        this.kind = kind;
    }

    /** Under what the end of the connection is counted. */
    Count kind() {
        return kind;
    }
}
