package topazladder.admission;

/** Ends requests, on behalf of the rules. */
interface RequestEndings {

    /** Gives the final answer at once, and stops what still runs where that can be done. */
    void giveUp(TrackedRequest request);

    /** Lets every rule know that the request is over, and forgets it. */
    void close(TrackedRequest request);
}
