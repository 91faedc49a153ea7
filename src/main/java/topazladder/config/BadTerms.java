package topazladder.config;

/** What was read at start can't be served by; the message names the faulty key and what was expected. */
public final class BadTerms extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public BadTerms(String message) {
        super(message);
    }
}
