package topazladder.request;

/**
 * A kind of request, with its terms.
 *
 * @param name what notes call it
 * @param idempotency whether and how it may run again
 * @param latencyObjectiveSeconds an answer within this many seconds of the first try earns the full payoff
 * @param deadlineSeconds seconds the client waits in all
 * @param priorityWeight what one request earns
 * @param lateValueShare share of the payoff earned between the soft and the outer limit
 * @param idempotencyWindowSeconds seconds from its arrival in which a fingerprinted request may come again
 * @param callsDependency whether its requests may call what lies below
 * @param degradedValueShare share of the payoff earned when a call is left out; 0 where it can't be
 */
public record RequestClass(String name, Repeats idempotency, double latencyObjectiveSeconds, double deadlineSeconds,
        double priorityWeight,
        double lateValueShare, double idempotencyWindowSeconds, boolean callsDependency, double degradedValueShare) {

    public enum Repeats { RETRY_SAFE, IDEMPOTENT_BY_KEY, AT_MOST_ONCE }
}
