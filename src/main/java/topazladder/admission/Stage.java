package topazladder.admission;

/** A rule that a request passes on its way to the cores. */
interface Stage {

    /** Keeps the request, ends it, or passes it on to the next stage. */
    void admit(TrackedRequest request);
}
