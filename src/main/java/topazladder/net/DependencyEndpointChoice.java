package topazladder.net;

import topazladder.config.ServiceSettings.Address;
import topazladder.endpoint.CallOutcome;

/** Which of several endpoints of the dependency a call goes to, and what became of it there. */
public interface DependencyEndpointChoice {
    /** In place of an endpoint's index where there is none. */
    int NO_ENDPOINT = -1;

    /**
     * Chooses an endpoint. The call counts as in flight there until {@link #callEnded} or {@link #callAbandoned}.
     *
     * @param excluded an endpoint that the call has been to, or {@link #NO_ENDPOINT}
     * @return the index of the endpoint, or {@link #NO_ENDPOINT} where none is left
     */
    int pick(int excluded);

    Address address(int endpoint);

    /** Whether new calls may go to it now. */
    boolean isInUse(int endpoint);

    void callEnded(int endpoint, CallOutcome how);

    /** The call was given up before it told anything of the endpoint. */
    void callAbandoned(int endpoint);

    /** Whether a call that surely did not run may be retried on another endpoint. */
    boolean isRetryPermitted();
}
