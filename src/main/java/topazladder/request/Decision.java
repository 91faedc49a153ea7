package topazladder.request;

/**
 * A decision of the admission controller. The decisions returned for one event are applied in list order; each kind is
 * applied by the {@link DecisionHandler} method of the same name.
 */
public sealed interface Decision {

    /** Dispatches this decision to the matching method of the handler. */
    void applyTo(DecisionHandler handler);

    /** A decision that concerns one request. */
    sealed interface OnRequest extends Decision {

        /** The request, which was in flight when the decision was made. */
        Request request();
    }

    /** Start the run of the request, or resend its start after the connection to the runtime was lost. */
    record Start(Request request) implements OnRequest {
        @Override
        public void applyTo(DecisionHandler handler) {
            handler.start(request);
        }
    }

    /**
     * Answer that the request was rejected: it had no effect and may be retried.
     *
     * @param retryAfterSeconds seconds the caller should wait before it retries on this server; 0 for no advice
     * @param doNotRetryElsewhere whether the caller is advised not to retry on another server either
     * @param reason the rule that rejected the request; not sent to the caller
     */
    record Reject(Request request, double retryAfterSeconds, boolean doNotRetryElsewhere, GiveUpReason reason)
            implements
                OnRequest {
        @Override
        public void applyTo(DecisionHandler handler) {
            handler.reject(request, retryAfterSeconds, doNotRetryElsewhere);
        }
    }

    /**
     * Answer that the request failed: it may have had its effect. No answer is sent for a request that is already
     * answered; for such a request the decision means that its run gets no dependency call and may be ended.
     *
     * @param reason the rule that failed the request; not sent to the caller
     */
    record Fail(Request request, GiveUpReason reason) implements OnRequest {
        @Override
        public void applyTo(DecisionHandler handler) {
            handler.fail(request);
        }
    }

    /** Cancel the run and free its core; the work done so far is discarded. */
    record CancelRun(Request request) implements OnRequest {
        @Override
        public void applyTo(DecisionHandler handler) {
            handler.cancelRun(request);
        }
    }

    /** Answer a duplicate with the result of its original request, once that result is known. */
    record AnswerFromOriginal(Request request) implements OnRequest {
        @Override
        public void applyTo(DecisionHandler handler) {
            handler.answerFromOriginal(request);
        }
    }

    /**
     * Store the idempotency key of the request and, once known, its result.
     *
     * @param windowSeconds seconds from now for which both are kept
     */
    record RememberIdempotencyKey(Request request, double windowSeconds) implements OnRequest {
        @Override
        public void applyTo(DecisionHandler handler) {
            handler.rememberIdempotencyKey(request, windowSeconds);
        }
    }

    /** Delete the idempotency key of a request that ended without a run, so that a retry may run. */
    record ForgetIdempotencyKey(Request request) implements OnRequest {
        @Override
        public void applyTo(DecisionHandler handler) {
            handler.forgetIdempotencyKey(request);
        }
    }

    /**
     * Make the dependency call that the run of the request is waiting for.
     *
     * @param timeoutSeconds seconds after which the call times out
     */
    record CallDependency(Request request, double timeoutSeconds) implements OnRequest {
        @Override
        public void applyTo(DecisionHandler handler) {
            handler.callDependency(request, timeoutSeconds);
        }
    }

    /** Resume the run without the dependency call that it is waiting for; its answer is degraded. */
    record SkipDependencyCall(Request request) implements OnRequest {
        @Override
        public void applyTo(DecisionHandler handler) {
            handler.skipDependencyCall(request);
        }
    }

    /**
     * Attach the admission level to every answer from now on.
     *
     * @param level the rank, from 0 to 1, below which requests are rejected
     */
    record PostAdmissionLevel(double level) implements Decision {
        @Override
        public void applyTo(DecisionHandler handler) {
            handler.postAdmissionLevel(level);
        }
    }

    /** Report this health state to health checks from now on. */
    record SetHealth(boolean healthy) implements Decision {
        @Override
        public void applyTo(DecisionHandler handler) {
            handler.setHealth(healthy);
        }
    }

    /**
     * Set the idle timeout of callers' connections.
     *
     * @param idleSeconds seconds without a request after which a connection is closed
     */
    record CloseIdleConnections(double idleSeconds) implements Decision {
        @Override
        public void applyTo(DecisionHandler handler) {
            handler.closeIdleConnections(idleSeconds);
        }
    }

    /**
     * Schedule one tick of the controller.
     *
     * @param delaySeconds seconds from now until the tick
     */
    record ScheduleTick(double delaySeconds) implements Decision {
        @Override
        public void applyTo(DecisionHandler handler) {
            handler.scheduleTick(delaySeconds);
        }
    }
}
