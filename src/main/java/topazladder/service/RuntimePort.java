package topazladder.service;

/** The runtime, which runs requests on the cores. Commands sent while it can't be reached are kept for it. */
public interface RuntimePort {

    /** Starts the run of a request. */
    void start(String requestId, String requestClass, byte[] body);

    /** Resumes a run that waits for a dependency call, with the reply. */
    void resumeWithReply(String requestId, byte[] reply);

    /**
     * Resumes a run without the dependency call that it asked for.
     *
     * @param notificationNumber the runtime's notification that asked for the call
     */
    void resumeWithoutReply(String requestId, long notificationNumber);

    /** Requests the gauges; none come while the runtime can't be reached. */
    void requestGauges();

    /** Requests a health check, whose result is reported to {@link RequestDispatcher#healthCheckCompleted}. */
    void requestHealthCheck(long checkId);
}
