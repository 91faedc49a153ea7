package topazladder.net.codec;

/** The bytes that came in are no message of their protocol; the connection they came on can't be read any further. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /** @param message what was wrong, with the offending value */
    public MalformedMessageException(String message) {
        super(message);
    }
}
