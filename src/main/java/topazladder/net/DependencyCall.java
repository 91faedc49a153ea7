package topazladder.net;

import static topazladder.net.DependencyEndpointChoice.NO_ENDPOINT;

import topazladder.net.codec.DependencyLines;

/** One call to the dependency, from the decision to its end. */
final class DependencyCall {
    private final String reference;
    private final boolean retrySafe;
    private final byte[] encoded;
    private DependencyConnection connection; // null while it waits for one
    private boolean written;
    private long timeoutTimer;
    private int endpoint = NO_ENDPOINT;
    private int refusedBy = NO_ENDPOINT;
    private boolean reported; // what it tells of its endpoint

    /** @param retrySafe whether it may be made again although it may have had its effect */
    DependencyCall(String reference, double timeoutSeconds, boolean retrySafe, byte[] body) {
        this.reference = reference;
        this.retrySafe = retrySafe;
        encoded = DependencyLines.call(reference, timeoutSeconds, body);
    }

    String reference() {
        return reference;
    }

    boolean isRetrySafe() {
        return retrySafe;
    }

    byte[] encoded() {
        return encoded;
    }

    DependencyConnection connection() {
        return connection;
    }

    void attach(DependencyConnection newConnection) {
        connection = newConnection;
    }

    void detach() {
        connection = null;
    }

    /** Whether it was written to a connection, so that it may have had its effect. */
    boolean isWritten() {
        return written;
    }

    void markWritten() {
        written = true;
    }

    long timeoutTimer() {
        return timeoutTimer;
    }

    void setTimeoutTimer(long timer) {
        timeoutTimer = timer;
    }

    int endpoint() {
        return endpoint;
    }

    boolean hasEndpoint() {
        return endpoint >= 0;
    }

    void assign(int newEndpoint) {
        endpoint = newEndpoint;
        reported = false;
    }

    /** The endpoint that refused it, or {@link DependencyEndpointChoice#NO_ENDPOINT}. */
    int refusedBy() {
        return refusedBy;
    }

    /** Its endpoint refused it: it needs another. */
    void refused() {
        refusedBy = endpoint;
        endpoint = NO_ENDPOINT;
    }

    /** Returns whether its endpoint is still to be told of it, once. */
    boolean claimReport() {
        boolean due = endpoint >= 0 && !reported;
        reported |= due;
        return due;
    }
}
