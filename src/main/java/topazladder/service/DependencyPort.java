package topazladder.service;

/** Makes the calls of runs to what lies below. */
public interface DependencyPort {

    /**
     * The end is told to the exchange, by the end of the patience.
     *
     * @param repeatable whether it may be made again although it may have had its effect
     */
    void call(String ref, double patience, boolean repeatable, byte[] body);

    void giveUp(String ref);
}
