package topazladder.service;

import topazladder.service.Counters.Count;
import topazladder.service.Response.Status;

/** Sends the final responses, one a request at most, and counts those that are still owed. */
final class Responder {
    private static final byte[] NO_BODY = {};

    private final DependencyPort dependency;
    private final Counters counters;
    private AdmissionLevel level = AdmissionLevel.NONE;
    private int unanswered;
    private double offeredValue;
    private double servedValue;

    Responder(DependencyPort dependency, Counters counters) {
        this.dependency = dependency;
        this.counters = counters;
    }

    /** The level that goes with every response from now on. */
    void postLevel(AdmissionLevel posted) {
        level = posted;
    }

    AdmissionLevel level() {
        return level;
    }

    /** Requests that were received and have no response yet. */
    int unanswered() {
        return unanswered;
    }

    ServedValue servedValue() {
        return new ServedValue(offeredValue, servedValue);
    }

    /** From now on a response is owed. */
    void received(InFlightRequest inFlight) {
        unanswered++;
        offeredValue += inFlight.request().requestClass().priorityWeight();
    }

    /** Nobody waits for the response any more. */
    void abandon(InFlightRequest inFlight) {
        inFlight.settleResponse();
        unanswered--;
    }

    void reject(InFlightRequest inFlight, double retryAfterSeconds, boolean doNotRetryElsewhere) {
        respond(inFlight, Status.REJECTED, retryAfterSeconds, doNotRetryElsewhere, NO_BODY);
    }

    void fail(InFlightRequest inFlight) {
        respond(inFlight, Status.FAILED, 0, false, NO_BODY);
    }

    /** Responds with the result of a run, or that it failed where the result is null. */
    void respondWithResult(InFlightRequest inFlight, byte[] result) {
        if (result == null) {
            fail(inFlight);
            return;
        }
        if (!inFlight.isResponseOwed()) {
            counters.add(Count.RESULTS_UNCLAIMED);
        }
        respond(inFlight, Status.SERVED, 0, false, result);
    }

    /** Responds that the request can't be run, as the runtime refused it. */
    void failInvalid(InFlightRequest inFlight) {
        abandon(inFlight);
        counters.add(Count.FAILED);
        inFlight.listener().onInvalidRequest(Response.failed(level));
    }

    /** Responds to a request that was not admitted, so that its caller may go elsewhere. */
    void rejectUnadmitted(ResponseListener listener) {
        counters.add(Count.REJECTED);
        listener.onResponse(Response.rejected(level, 0, false));
    }

    /** Responds to a request that was not admitted because it may have run before. */
    void failUnadmitted(ResponseListener listener) {
        counters.add(Count.FAILED);
        listener.onResponse(Response.failed(level));
    }

    private void respond(InFlightRequest inFlight, Status status, double retryAfterSeconds,
            boolean doNotRetryElsewhere, byte[] body) {
        if (inFlight.endCall()) {
            // Nobody waits any more, so that the dependency need not work on.
            dependency.cancel(inFlight.requestId());
        }
        if (!inFlight.isResponseOwed()) {
            return;
        }
        abandon(inFlight);
        if (status == Status.SERVED) {
            servedValue += inFlight.request().requestClass().priorityWeight();
        }
        counters.add(switch (status) {
            case SERVED -> Count.SERVED;
            case REJECTED -> Count.REJECTED;
            case FAILED -> Count.FAILED;
        });
        inFlight.listener()
                .onResponse(new Response(status, level, retryAfterSeconds, doNotRetryElsewhere, body));
    }
}
