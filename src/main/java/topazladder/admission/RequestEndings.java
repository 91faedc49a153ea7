package topazladder.admission;

import topazladder.request.GiveUpReason;

/** Ends requests, on behalf of the rules. */
interface RequestEndings {

    /**
     * Answers the request without a result, and stops the work on it. It is rejected if it was not started or is
     * retry-safe, else failed. A run that can't be cancelled goes on, and keeps its place until it ends.
     */
    void giveUp(TrackedRequest request, GiveUpReason reason);

    /** Lets every rule know that the request is over, and forgets it. */
    void close(TrackedRequest request);
}
