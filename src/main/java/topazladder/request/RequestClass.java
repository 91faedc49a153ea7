package topazladder.request;

/**
 * A class of requests. An answer has a value: the priority weight of its class if it comes within the latency
 * objective, a share of that weight if it comes later or without the dependency call, and 0 past the deadline.
 *
 * @param name its name in the settings and in messages
 * @param idempotency whether and how a request may run again
 * @param latencyObjectiveSeconds seconds from the first arrival within which an answer has its full value
 * @param deadlineSeconds seconds for which the client waits over all attempts
 * @param priorityWeight value of one answer, in a unit shared by all classes
 * @param lateValueShare fraction of the value that remains between the latency objective and the deadline
 * @param idempotencyWindowSeconds seconds from the arrival during which a request with the same idempotency key is a
 *     duplicate; 0 for requests without a key
 * @param callsDependency whether its runs may call the dependency
 * @param degradedValueShare fraction of the value of an answer without the dependency call; 0 if the call cannot be
 *     skipped
 */
public record RequestClass(String name, Idempotency idempotency, double latencyObjectiveSeconds, double deadlineSeconds,
        double priorityWeight, double lateValueShare, double idempotencyWindowSeconds, boolean callsDependency,
        double degradedValueShare) {

    /** Whether and how a request may run again. */
    public enum Idempotency {
        /** It has no effect, or the same effect however often it runs, so it may be repeated freely. */
        RETRY_SAFE,
        /** It must run at most once, and its idempotency key identifies duplicates. */
        IDEMPOTENT_BY_KEY,
        /** It must run at most once, and duplicates cannot be identified. */
        AT_MOST_ONCE
    }
}
