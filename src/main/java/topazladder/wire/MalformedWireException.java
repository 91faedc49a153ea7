package topazladder.wire;

/** What came in is no message of this wire. */
public final class MalformedWireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedWireException(String message) {
        super(message);
    }
}
