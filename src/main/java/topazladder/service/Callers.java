package topazladder.service;

/** The connections of all callers. */
public interface Callers {

    /** Closes those that carried nothing for so many seconds, from now on. */
    void closeIdle(double seconds);

    /** Takes no new connection, and asks for no new request on those that are open. */
    void lastCall();

    int connections();
}
