package topazladder.service;

import topazladder.request.Request;
import topazladder.service.IdempotencyStore.Kept;

/** One request between its arrival and the end of all that is done for it. */
public final class InFlightRequest {
    final IncomingRequest arrival;
    final ResponseListener caller;
    final Request request;
    final byte[] digest; // of what all tries of it carry, or null where it has no fingerprint
    Kept kept; // its fingerprint, while that is remembered
    boolean started;
    boolean answered; // or nobody waits for an answer
    long wantedBy; // the notice that asked for the call it waits for
    byte[] wanted;
    boolean calling;
    double calledAt;

    InFlightRequest(IncomingRequest arrival, ResponseListener caller, Request request, Kept kept, byte[] digest) {
        this.arrival = arrival;
        this.caller = caller;
        this.request = request;
        this.kept = kept;
        this.digest = digest;
    }
}
