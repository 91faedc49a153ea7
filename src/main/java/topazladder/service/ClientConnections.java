package topazladder.service;

/** The connections of all callers. */
public interface ClientConnections {

    /** From now on closes connections that carried nothing for so many seconds. */
    void closeIdle(double idleSeconds);

    /** Accepts no new connection, and asks for no new request on those that are open. */
    void stopAccepting();

    /** Connections that are open, and whatever else the instance has to settle before it may stop. */
    int openConnections();
}
