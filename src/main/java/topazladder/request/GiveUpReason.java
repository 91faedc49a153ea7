package topazladder.request;

/** Why a request was rejected or failed by the admission controller. */
public enum GiveUpReason {
    /** The server shuts down, and the request came after the grace or could not end before the last answer. */
    DRAINING,
    /** The request does not fit into the memory. */
    OUT_OF_MEMORY,
    /** There is no memory for its idempotency key, without which it could run twice. */
    IDEMPOTENCY_KEY_MEMORY,
    /** Its rank is under the cut of the admission level. */
    BELOW_ADMISSION_LEVEL,
    /** Queued, it could no longer end while its answer has value. */
    NO_TIME_LEFT_IN_QUEUE,
    /** Its dependency call failed for good or can't be made in time, and can't be skipped. */
    DEPENDENCY_UNAVAILABLE,
    /** The link to the runtime broke after its start was written, and nothing showed in time that it was read. */
    START_UNCONFIRMED,
    /** Its deadline is less than a tick away. */
    DEADLINE,
    /** It is already answered, or its caller is gone: no dependency call is made for its run. */
    ALREADY_ANSWERED
}
