package topazladder.service;

/** Makes the calls of runs to the service below, the dependency. */
public interface DependencyPort {

    /**
     * Starts the call of a run. Its end is reported to {@link RequestDispatcher#dependencyCallEnded}, within the
     * remaining time.
     *
     * @param remainingSeconds seconds after which the call is abandoned
     * @param retrySafe whether it may be made again although it may have had its effect
     */
    void call(String requestId, double remainingSeconds, boolean retrySafe, byte[] body);

    /** Abandons the call of a run, whose end is not reported. */
    void cancel(String requestId);
}
