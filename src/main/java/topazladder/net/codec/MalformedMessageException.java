package topazladder.net.codec;

/** What came in is no message of its protocol. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    public MalformedMessageException(String message) {
        super(message);
    }
}
