package topazladder.wire;

/**
 * Thrown for input that violates the simulator's protocol. The message says what is wrong; the program ends.
 */
public final class MalformedWireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedWireException(String message) {
        super(message);
    }
}
