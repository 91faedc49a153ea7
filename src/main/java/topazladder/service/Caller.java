package topazladder.service;

/** Whoever waits for one request or one check. */
public interface Caller {

    void answer(Response answer);

    /** The answer to what nobody can decide on or run, which a caller that keeps to the protocol never sends. */
    void unusable(Response answer);

    /** The answer to a check. */
    void health(boolean good, Double level);
}
