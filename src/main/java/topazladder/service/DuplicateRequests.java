package topazladder.service;

import java.util.function.DoubleSupplier;
import topazladder.request.Outcome;
import topazladder.service.Counters.Count;

/** Answers the duplicates of a request, known by its idempotency key, from its one run. */
final class DuplicateRequests {
    private final DoubleSupplier clock;
    private final IdempotencyStore store;
    private final InFlightRequests inFlightRequests;
    private final AdmissionEventQueue events;
    private final Responder responder;
    private final Counters counters;

    DuplicateRequests(DoubleSupplier clock, IdempotencyStore store, InFlightRequests inFlightRequests,
            AdmissionEventQueue events, Responder responder, Counters counters) {
        this.clock = clock;
        this.store = store;
        this.inFlightRequests = inFlightRequests;
        this.events = events;
        this.responder = responder;
        this.counters = counters;
    }

    /** Answers a duplicate from the run that owns its key, now or once that is over. */
    void join(InFlightRequest duplicate) {
        counters.add(Count.REQUESTS_JOINED);
        IdempotencyRecord record = duplicate.idempotencyRecord();
        if (record == null) {
            end(duplicate, null);
        } else if (record.isRunOver() || !inFlightRequests.contains(record.owner().request())) {
            // Where the owner is not in flight, a duplicate would wait for a run that never comes.
            end(duplicate, record.result());
        } else {
            record.addWaiting(duplicate);
        }
    }

    /** The run of a request is over; the result is null where there is none. */
    void runEnded(InFlightRequest inFlight, byte[] result) {
        IdempotencyRecord record = inFlight.idempotencyRecord();
        if (record == null || !record.isOwnedBy(inFlight)) {
            return;
        }
        store.endRun(record, result);
        // Owed to those that wait even where the result is not kept: for want of memory, or its place taken.
        for (InFlightRequest duplicate : record.waiting()) {
            end(duplicate, result);
        }
        record.clearWaiting();
    }

    private void end(InFlightRequest duplicate, byte[] result) {
        if (duplicate.isResponseOwed()) {
            responder.respondWithResult(duplicate, result);
        }
        inFlightRequests.affect(duplicate);
        Outcome outcome = result != null ? Outcome.SUCCEEDED : Outcome.FAILED;
        double arrivedAt = duplicate.incoming().arrivedAtUnixSeconds();
        events.submit((controller, now) -> controller.runEnded(now, duplicate.request(), outcome,
                clock.getAsDouble() - arrivedAt));
    }
}
