package topazladder.config;

/** What was read at start can't be served by; the message names the faulty key and what was expected. */
public final class InvalidSettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public InvalidSettingsException(String message) {
        super(message);
    }
}
