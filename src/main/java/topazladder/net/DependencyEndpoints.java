package topazladder.net;

import topazladder.config.ServiceSettings.Address;
import topazladder.endpoint.CallOutcome;

/**
 * Where calls to the dependency go: to the one address of the configuration, or, where a choice is set, to whichever of
 * its endpoints that picks. The index of an endpoint is {@link DependencyEndpointChoice#NO_ENDPOINT} for the one
 * address.
 */
final class DependencyEndpoints {
    private Address address; // null where there is no dependency
    private DependencyEndpointChoice choice; // null where there is one address

    DependencyEndpoints(Address address) {
        this.address = address;
    }

    Address address() {
        return address;
    }

    void moveTo(Address newAddress) {
        address = newAddress;
    }

    void choose(DependencyEndpointChoice newChoice) {
        choice = newChoice;
    }

    boolean isChosenPerCall() {
        return choice != null;
    }

    /** Whether no call can be made at all. */
    boolean isNone() {
        return address == null && choice == null;
    }

    /** Picks an endpoint for a call that has none; returns whether the call can go anywhere. */
    boolean assign(DependencyCall call) {
        if (choice == null || call.hasEndpoint()) {
            return true;
        }
        call.assign(choice.pick(call.refusedBy()));
        return call.hasEndpoint();
    }

    Address addressOf(int endpoint) {
        return endpoint < 0 ? address : choice.address(endpoint);
    }

    /** Whether new calls may go on a connection to it. */
    boolean isCurrent(int endpoint, Address connectedTo) {
        return endpoint < 0 ? connectedTo.equals(address) : choice.isInUse(endpoint);
    }

    /** Whether a call that was refused may be retried elsewhere: once, and while there are not many of them. */
    boolean isRetryPermitted(DependencyCall refused) {
        return refused.refusedBy() < 0 && choice.isRetryPermitted();
    }

    /** Reports what the call tells of its endpoint; only the first report of a call counts. */
    void report(DependencyCall call, CallOutcome how) {
        if (call.claimReport()) {
            choice.callEnded(call.endpoint(), how);
        }
    }

    /** The call ends for this side; nothing is learned of its endpoint unless it was reported before. */
    void abandon(DependencyCall call) {
        if (call.claimReport()) {
            choice.callAbandoned(call.endpoint());
        }
    }
}
