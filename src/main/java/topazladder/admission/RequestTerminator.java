package topazladder.admission;

import topazladder.request.GiveUpReason;

/** Lets stages end requests. */
interface RequestTerminator {

    /**
     * Answers the request without a result and stops the work on it. The request is rejected if it was not started or
     * is retry-safe, else failed. A run that cannot be cancelled continues and counts as running until it ends.
     */
    void giveUp(TrackedRequest request, GiveUpReason reason);

    /** Ends the request: every stage releases what it holds for it, and the request is no longer in flight. */
    void close(TrackedRequest request);
}
