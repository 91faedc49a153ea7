package topazladder.request;

/**
 * One thing that a server has measured, as handed on to a peer and taken in from there.
 *
 * @param kind what was measured, which also gives the unit of the value
 * @param subject the name of the request class that it holds for, or empty
 * @param value in the unit of its kind
 * @param weight samples that the value stands for, of those that still count
 * @param age seconds since the last of them
 */
public record LearnedEstimate(Kind kind, String subject, double value, double weight, double age) {

    /** What may be measured. */
    public enum Kind {
        /** Seconds that a run of the request class takes. */
        RUN_TIME,
        /** Dependency calls in flight on this server while the dependency is not strained. */
        CALLS_IN_FLIGHT,
        /** Requests completed a second on this server. */
        COMPLETION_RATE
    }
}
