package topazladder.wire;

/** What came in is no message of the simulator's protocol; the message says what was wrong. Ends the program. */
public final class MalformedWireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedWireException(String message) {
        super(message);
    }
}
