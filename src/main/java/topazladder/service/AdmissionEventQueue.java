package topazladder.service;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazladder.admission.AdmissionController;
import topazladder.request.Decision;
import topazladder.request.DecisionHandler;
import topazladder.request.RequestClass.Idempotency;
import topazladder.service.Counters.Count;

/**
 * Hands events to the admission controller, one at a time, and has its decisions carried out in their order. An event
 * that carrying out a decision leads to at once is queued until all decisions of the current event are carried out.
 *
 * <p>An internal error in one event or decision costs no other request its own: it is logged, and the next one follows.
 */
final class AdmissionEventQueue {
    private static final Logger LOG = LoggerFactory.getLogger(AdmissionEventQueue.class);

    /** Something that the admission controller decides on. */
    @FunctionalInterface
    interface Event {

        /**
         * Tells the controller of the event.
         *
         * @param nowSeconds of the controller's time, which begins at its start
         */
        List<Decision> apply(AdmissionController controller, double nowSeconds);
    }

    private final DoubleSupplier clock;
    private final InFlightRequests inFlightRequests;
    private final StartedRequestIds startedRequestIds;
    private final Responder responder;
    private final Counters counters;
    private final Deque<Event> queued = new ArrayDeque<>();
    private boolean processing;
    private AdmissionController controller;
    private DecisionHandler decisionHandler;
    private double startedAt;
    private double latestNow;

    /** A queue without a controller; the clock tells Unix seconds. */
    AdmissionEventQueue(DoubleSupplier clock, InFlightRequests inFlightRequests, StartedRequestIds startedRequestIds,
            Responder responder, Counters counters) {
        this.clock = clock;
        this.inFlightRequests = inFlightRequests;
        this.startedRequestIds = startedRequestIds;
        this.responder = responder;
        this.counters = counters;
    }

    /** From now on events go to this controller, and its decisions to this handler. The controller's time starts. */
    void start(AdmissionController newController, DecisionHandler newDecisionHandler) {
        controller = newController;
        decisionHandler = newDecisionHandler;
        startedAt = clock.getAsDouble();
        submit(AdmissionController::start);
    }

    boolean isStarted() {
        return controller != null;
    }

    /** The controller, or null before the start; for questions that lead to no decision. */
    AdmissionController controller() {
        return controller;
    }

    /** Seconds of the controller's time, which never runs backwards though the clock may be set. */
    double now() {
        latestNow = Math.max(latestNow, clock.getAsDouble() - startedAt);
        return latestNow;
    }

    /** Whether an event is being processed, so that what is submitted now comes after it. */
    boolean isProcessing() {
        return processing;
    }

    /** Processes the event now or, within the processing of another one, right after it. */
    void submit(Event event) {
        queued.add(event);
        if (processing) {
            return;
        }
        processing = true;
        try {
            for (Event next = queued.poll(); next != null; next = queued.poll()) {
                process(next);
            }
        } finally {
            processing = false;
        }
        removeFinished();
    }

    private void process(Event event) {
        for (Decision decision : decide(event)) {
            try {
                decision.applyTo(decisionHandler);
            } catch (RuntimeException e) {
                report(e);
            }
        }
    }

    private List<Decision> decide(Event event) {
        try {
            return event.apply(controller, now());
        } catch (RuntimeException e) {
            report(e);
            return List.of();
        }
    }

    private void report(RuntimeException e) {
        counters.add(Count.INTERNAL_ERRORS);
        LOG.error("internal error", e);
    }

    private void rememberIfMayHaveRun(InFlightRequest inFlight) {
        boolean atMostOnce = inFlight.request().requestClass().idempotency() == Idempotency.AT_MOST_ONCE;
        if (atMostOnce && inFlight.mayHaveRun()) {
            startedRequestIds.remember(inFlight.requestId(), clock.getAsDouble());
        }
    }

    private void removeFinished() {
        for (InFlightRequest inFlight : inFlightRequests.affected()) {
            if (!controller.isInFlight(inFlight.request()) && inFlightRequests.removeId(inFlight)) {
                // All have a response by now, but for one that an internal error took out of the controller's hands.
                responder.fail(inFlight);
                inFlightRequests.removeRequest(inFlight);
                rememberIfMayHaveRun(inFlight);
            }
        }
        inFlightRequests.clearAffected();
    }
}
