package topazladder.wire;

/** What came in is no message of this wire. */
public final class MalformedWire extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedWire(String message) {
        super(message);
    }
}
