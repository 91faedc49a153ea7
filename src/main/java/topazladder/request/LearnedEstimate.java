package topazladder.request;

/**
 * One thing that a server has learned from what it saw, as handed on to another and taken in from there.
 *
 * @param subject what it was learned about: a request class's name, or empty
 * @param value in the unit of its kind
 * @param weight events that the value stands for, of those still remembered
 * @param age seconds since the last of them
 */
public record LearnedEstimate(Kind kind, String subject, double value, double weight, double age) {

    public enum Kind {
        /** Seconds that a run of the request class takes. */
        RUN_TIME,
        /** Calls in hand on this server while nothing is strained. */
        CALLS_IN_FLIGHT,
        /** Requests finished a second on this server. */
        COMPLETION_RATE
    }
}
