package topazladder.net.codec;

/** What came in is no message of its protocol. */
public final class Malformed extends Exception {
    private static final long serialVersionUID = 1L;

    public Malformed(String message) {
        super(message);
    }
}
