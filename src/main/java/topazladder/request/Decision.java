package topazladder.request;

/**
 * What the admission controller has decided. The decisions that one event leads to are carried out in the order in
 * which they were made, each by the method of {@link DecisionHandler} that has its name.
 */
public sealed interface Decision {

    /** Calls the one method of the handler that carries out this decision. */
    void applyTo(DecisionHandler handler);

    /** A decision about one request. */
    sealed interface OnRequest extends Decision {

        /** The request decided on, which was in flight when the decision was made. */
        Request request();
    }

    /** Start the run of the request, or start it again after a lost link. */
    record Start(Request request) implements OnRequest {
        @Override
        public void applyTo(DecisionHandler handler) {
            handler.start(request);
        }
    }

    /**
     * Answer that the request was rejected: it had no effect, and may be tried again.
     *
     * @param retryAfterSeconds seconds that its caller should wait before it tries this server again; 0 for no advice
     * @param doNotRetryElsewhere whether the caller is advised not to try another server either
     * @param reason which rule rejected it; not sent to the caller
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
     * Answer that the request failed: it may have had its effect. For a request that is already answered no answer is
     * sent; it then means that its run gets no dependency call and may be ended.
     *
     * @param reason which rule failed it; not sent to the caller
     */
    record Fail(Request request, GiveUpReason reason) implements OnRequest {
        @Override
        public void applyTo(DecisionHandler handler) {
            handler.fail(request);
        }
    }

    /** Take the run off the cores; its work is lost. */
    record CancelRun(Request request) implements OnRequest {
        @Override
        public void applyTo(DecisionHandler handler) {
            handler.cancelRun(request);
        }
    }

    /** Answer a duplicate with the result of the request that it repeats, once that is known. */
    record AnswerFromOriginal(Request request) implements OnRequest {
        @Override
        public void applyTo(DecisionHandler handler) {
            handler.answerFromOriginal(request);
        }
    }

    /**
     * Keep the idempotency key of the request and, later, its result.
     *
     * @param windowSeconds seconds from now for which they are kept
     */
    record RememberIdempotencyKey(Request request, double windowSeconds) implements OnRequest {
        @Override
        public void applyTo(DecisionHandler handler) {
            handler.rememberIdempotencyKey(request, windowSeconds);
        }
    }

    /** Forget the idempotency key of a request that has ended without having run, so that a retry may run. */
    record ForgetIdempotencyKey(Request request) implements OnRequest {
        @Override
        public void applyTo(DecisionHandler handler) {
            handler.forgetIdempotencyKey(request);
        }
    }

    /**
     * Make the dependency call that the run of the request waits for.
     *
     * @param timeoutSeconds seconds until the call is given up
     */
    record CallDependency(Request request, double timeoutSeconds) implements OnRequest {
        @Override
        public void applyTo(DecisionHandler handler) {
            handler.callDependency(request, timeoutSeconds);
        }
    }

    /** Go on with the run without the dependency call that it waits for; its answer is a degraded one. */
    record SkipDependencyCall(Request request) implements OnRequest {
        @Override
        public void applyTo(DecisionHandler handler) {
            handler.skipDependencyCall(request);
        }
    }

    /**
     * Post the admission level with every answer from now on.
     *
     * @param level the rank from 0 to 1 under which requests are rejected
     */
    record PostAdmissionLevel(double level) implements Decision {
        @Override
        public void applyTo(DecisionHandler handler) {
            handler.postAdmissionLevel(level);
        }
    }

    /** Answer health checks with this from now on. */
    record SetHealth(boolean healthy) implements Decision {
        @Override
        public void applyTo(DecisionHandler handler) {
            handler.setHealth(healthy);
        }
    }

    /**
     * Close callers' connections that idle for long, from now on.
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
     * Call the controller's tick once.
     *
     * @param delaySeconds seconds from now
     */
    record ScheduleTick(double delaySeconds) implements Decision {
        @Override
        public void applyTo(DecisionHandler handler) {
            handler.scheduleTick(delaySeconds);
        }
    }
}
