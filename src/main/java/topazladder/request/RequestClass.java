package topazladder.request;

/**
 * A kind of request. An answer has a value: the priority weight of its class if it comes within the latency objective,
 * a share of that if it comes later or without the dependency call, and none past the deadline.
 *
 * @param name its name in the settings and in messages
 * @param idempotency whether and how it may run again
 * @param latencyObjectiveSeconds an answer within this many seconds of its first arrival has its full value
 * @param deadlineSeconds seconds for which the client waits in all
 * @param priorityWeight value of one answer, in a unit that all classes share
 * @param lateValueShare share of the value of an answer between the latency objective and the deadline
 * @param idempotencyWindowSeconds seconds from its arrival in which a request with the same idempotency key is a
 *     duplicate; 0 for requests without one
 * @param callsDependency whether its runs may call the dependency
 * @param degradedValueShare share of the value of an answer without the dependency call; 0 where it can't be skipped
 */
public record RequestClass(String name, Idempotency idempotency, double latencyObjectiveSeconds, double deadlineSeconds,
        double priorityWeight, double lateValueShare, double idempotencyWindowSeconds, boolean callsDependency,
        double degradedValueShare) {

    /** Whether and how a request may run again. */
    public enum Idempotency {
        /** It has no effect, or the same effect however often it runs. */
        RETRY_SAFE,
        /** It must run once, and its idempotency key tells duplicates. */
        IDEMPOTENT_BY_KEY,
        /** It must run once, and nothing tells duplicates. */
        AT_MOST_ONCE
    }
}
