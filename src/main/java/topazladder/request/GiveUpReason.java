package topazladder.request;

/** The rule by which the admission controller rejected or failed a request. */
public enum GiveUpReason {
    /**
     * The server is shutting down, and the request arrived after the grace period or could not finish before the stop.
     */
    DRAINING,
    /** The request does not fit into the memory budget. */
    OUT_OF_MEMORY,
    /** There is no memory to store its idempotency key, without which it could run twice. */
    IDEMPOTENCY_KEY_MEMORY,
    /** Its rank is below the rank cut of the admission level. */
    BELOW_ADMISSION_LEVEL,
    /** It was queued and could no longer finish while its answer still has a value. */
    NO_TIME_LEFT_IN_QUEUE,
    /** Its dependency call failed permanently or cannot be made in time, and cannot be skipped. */
    DEPENDENCY_UNAVAILABLE,
    /** The connection to the runtime was lost after its start was written, and the start was not confirmed in time. */
    START_UNCONFIRMED,
    /** Its deadline is at most one tick away. */
    DEADLINE,
    /** It is already answered, or its caller has disconnected, so no dependency call is made for its run. */
    ALREADY_ANSWERED
}
