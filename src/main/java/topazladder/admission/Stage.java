package topazladder.admission;

/** One step of the admission of a request, which implements one rule. */
interface Stage {

    /** Holds the request, ends it or passes it on to the next stage. */
    void admit(TrackedRequest request);
}
