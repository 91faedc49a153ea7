package topazladder.request;

/** How a run or a call ended. */
public enum Outcome {
    SUCCEEDED(false),
    /** It failed, and may have had its effect. */
    FAILED(false),
    /** The call was turned away unseen. */
    REJECTED(true),
    /** The call was given up on; it may have had its effect. */
    TIMED_OUT(false),
    /** What lies below could not be reached. */
    UNREACHABLE(true),
    /** The call broke off; it may have had its effect. */
    CONNECTION_LOST(false),
    /** The run was stopped, or ended because nobody waits for it any more. */
    CANCELLED(false),
    /** Nothing was started: the request was over. */
    NOT_STARTED(true);

    private final boolean provesNoEffect;

    Outcome(boolean provesNoEffect) {
        this.provesNoEffect = provesNoEffect;
    }

    /** Whether this proves that nothing was done, so that a call with an effect may be made again. */
    public boolean provesNoEffect() {
        return provesNoEffect;
    }
}
