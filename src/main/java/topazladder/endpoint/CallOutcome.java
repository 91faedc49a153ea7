package topazladder.endpoint;

/** The outcome of one call, as far as it shows something about the endpoint's health. */
public enum CallOutcome {
    /** The endpoint answered. A rejection or a late answer counts too: overload is handled by the admission level. */
    ANSWERED,
    /** The endpoint answered that it failed. */
    FAILED,
    /** The endpoint could not be reached, so the call certainly did not run. */
    UNREACHABLE,
    /** The connection was lost while the call was in flight. */
    CONNECTION_LOST,
    /** No answer came before the call timed out. */
    TIMED_OUT;

    boolean isFailure() {
        return this != ANSWERED;
    }
}
