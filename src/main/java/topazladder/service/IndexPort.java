package topazladder.service;

/** Makes the calls of runs to what lies below. */
public interface IndexPort {

    void call(String ref, double patience, byte[] body);

    void giveUp(String ref);
}
