package topazladder.net;

import topazladder.below.How;
import topazladder.config.ServiceSettings.Address;

/** Which of several index servers a call goes to, and what became of it there. */
public interface DependencyEndpointChoice {

    /**
     * @param not a server that the call has been to, or -1
     * @return its place among the servers, or -1 where none is left; the call counts as in hand there until it is
     *     told what became of it
     */
    int pick(int not);

    Address at(int server);

    /** Whether it is used at all now. */
    boolean uses(int server);

    void ended(int server, How how);

    /** The call was given up before it told anything of the server. */
    void dropped(int server);

    /** Whether a call that surely did not run may go to another server. */
    boolean mayRepeat();
}
