package topazladder.request;

/** How a run or a dependency call ended. */
public enum Outcome {
    /** It returned a result. */
    SUCCEEDED(false),
    /** It failed and may have had its effect. */
    FAILED(false),
    /** The dependency rejected the call without processing it. */
    REJECTED(true),
    /** The call exceeded its timeout; it may have had its effect. */
    TIMED_OUT(false),
    /** The dependency could not be reached. */
    UNREACHABLE(true),
    /** The connection was lost during the call; the call may have had its effect. */
    CONNECTION_LOST(false),
    /** The run was cancelled, or ended because nobody waits for its result any more. */
    CANCELLED(false),
    /** Nothing was started, as the request had already ended. */
    NOT_STARTED(true);

    private final boolean provesNoEffect;

    Outcome(boolean provesNoEffect) {
        this.provesNoEffect = provesNoEffect;
    }

    /** Whether this outcome proves that there was no effect, so that a run or call that has one may be retried. */
    public boolean provesNoEffect() {
        return provesNoEffect;
    }
}
