package topazladder.request;

/** How a run or a dependency call ended. */
public enum Outcome {
    /** It has a result. */
    SUCCEEDED(false),
    /** It failed, and may have had its effect. */
    FAILED(false),
    /** The dependency rejected the call unread. */
    REJECTED(true),
    /** The call was given up after its timeout; it may have had its effect. */
    TIMED_OUT(false),
    /** The dependency could not be reached. */
    UNREACHABLE(true),
    /** The connection of the call broke; it may have had its effect. */
    CONNECTION_LOST(false),
    /** The run was stopped, or ended because nobody waits for it any more. */
    CANCELLED(false),
    /** Nothing was started, as the request was over. */
    NOT_STARTED(true);

    private final boolean provesNoEffect;

    Outcome(boolean provesNoEffect) {
        this.provesNoEffect = provesNoEffect;
    }

    /** Whether this proves that nothing was done, so that a run or call with an effect may be retried. */
    public boolean provesNoEffect() {
        return provesNoEffect;
    }
}
