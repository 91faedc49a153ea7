package topazladder.service;

/** Does something later, on the one thread that owns all state. */
public interface Timers {

    void in(double seconds, Runnable what);
}
