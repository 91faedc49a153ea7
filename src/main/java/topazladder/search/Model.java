package topazladder.search;

import java.util.List;

/**
 * A protocol in one state, of which each next step is a choice: which message comes next, what is lost, what dies, that
 * time goes on. Made anew and led along the same choices it comes to the same state.
 */
public interface Model {

    /** What may happen next, each in words; empty where nothing may any more. */
    List<String> choices();

    void take(int choice);

    /** What must not be so in this state, in words; null where all is well. */
    String broken();

    /** All that the future depends on; two models whose parts look the same count as one state. */
    List<Object> parts();
}
