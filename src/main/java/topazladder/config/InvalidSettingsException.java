package topazladder.config;

/**
 * Settings that the program can't run with. The message names the key, what would be right, and the value that was
 * found, as in {@code stop_ms should be a number of at least 0: -1}.
 */
public final class InvalidSettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** An error whose message is shown to the operator as it is. */
    public InvalidSettingsException(String message) {
        super(message);
    }
}
