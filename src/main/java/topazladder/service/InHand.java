package topazladder.service;

import topazladder.service.Fingerprints.Kept;
import topazladder.ticket.Ticket;

/** One ticket between its arrival and the end of all that is done for it. */
public final class InHand {
    final Arrival arrival;
    final Caller caller;
    final Ticket ticket;
    final byte[] digest; // of what all tries of it carry, or null where it has no fingerprint
    Kept kept; // its fingerprint, while that is remembered
    boolean started;
    boolean answered; // or nobody waits for an answer
    long wantedBy; // the notice that asked for the call it waits for
    byte[] wanted;
    boolean calling;
    double calledAt;

    InHand(Arrival arrival, Caller caller, Ticket ticket, Kept kept, byte[] digest) {
        this.arrival = arrival;
        this.caller = caller;
        this.ticket = ticket;
        this.kept = kept;
        this.digest = digest;
    }
}
