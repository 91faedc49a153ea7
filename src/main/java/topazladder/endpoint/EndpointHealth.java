package topazladder.endpoint;

/** Health of a dependency endpoint, as one instance judges it by its own calls alone. */
public enum EndpointHealth {
    /** Too few recent calls to tell. */
    UNTRIED,
    WELL,
    /** At least half of the recent calls failed. */
    ILL
}
