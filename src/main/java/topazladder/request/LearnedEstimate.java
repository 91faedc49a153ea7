package topazladder.request;

/**
 * An estimate that a server measured and that servers exchange with their peers.
 *
 * @param kind the measured quantity, which determines the unit of the value
 * @param subject name of the request class that the estimate applies to, or empty
 * @param value the estimate, in the unit of its kind
 * @param weight number of samples behind the value, counting those that still contribute to it
 * @param ageSeconds seconds since the last sample
 */
public record LearnedEstimate(Kind kind, String subject, double value, double weight, double ageSeconds) {

    /** The measured quantity. */
    public enum Kind {
        /** Mean run time of the request class, in seconds. */
        RUN_TIME,
        /** Mean number of dependency calls in flight on one server while the dependency is not overloaded. */
        CALLS_IN_FLIGHT,
        /** Requests completed per second on one server. */
        COMPLETION_RATE
    }
}
