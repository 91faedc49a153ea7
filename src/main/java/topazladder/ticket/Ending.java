package topazladder.ticket;

/** How a run or a call ended. */
public enum Ending {
    OK(false),
    /** It failed, and may have had its effect. */
    FAILED(false),
    /** The call was turned away unseen. */
    DEFERRED(true),
    /** The call was given up on; it may have had its effect. */
    ABANDONED(false),
    /** What lies below could not be reached. */
    UNREACHED(true),
    /** The call broke off; it may have had its effect. */
    BROKEN_OFF(false),
    /** The run was stopped, or ended because nobody waits for it any more. */
    STOPPED(false),
    /** Nothing was started: the ticket was over. */
    MOOT(true);

    private final boolean neverRan;

    Ending(boolean neverRan) {
        this.neverRan = neverRan;
    }

    /** Whether this proves that nothing was done, so that a call with an effect may be made again. */
    public boolean neverRan() {
        return neverRan;
    }
}
