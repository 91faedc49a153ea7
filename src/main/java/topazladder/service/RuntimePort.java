package topazladder.service;

/** Does the work, on the cores. Commands given while it can't be reached are kept for it. */
public interface RuntimePort {

    void start(String ref, String requestClass, byte[] body);

    /** The reply to the call that a run waits for. */
    void give(String ref, byte[] reply);

    /** Goes on without the call that a notice asked for. */
    void omit(String ref, long notice);

    /** Asks for the gauges; nothing comes while it can't be reached. */
    void askGauges();

    /** Asks whether work gets done. */
    void askWhetherWorkGetsDone(long tag);
}
