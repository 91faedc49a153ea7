package topazladder.service;

/** Receives the response to one request, or the result of one health check: whoever sent it, or a message consumer. */
public interface ResponseListener {

    /** The final response to a request; called once at most. */
    void onResponse(Response response);

    /**
     * The final response, in place of {@link #onResponse}, to a request that nobody can decide on or run, which a
     * caller that keeps to the protocol never sends.
     */
    void onInvalidRequest(Response response);

    /** The result of a health check. */
    void onHealth(boolean healthy, AdmissionLevel level);
}
