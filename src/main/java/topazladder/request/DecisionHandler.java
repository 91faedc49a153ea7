package topazladder.request;

/** Applies decisions, with one method per kind; {@link Decision} documents each kind and its units. */
public interface DecisionHandler {

    /** Applies {@link Decision.Start}. */
    void start(Request request);

    /** Applies {@link Decision.Reject}. */
    void reject(Request request, double retryAfterSeconds, boolean doNotRetryElsewhere);

    /** Applies {@link Decision.Fail}. */
    void fail(Request request);

    /** Applies {@link Decision.CancelRun}. */
    void cancelRun(Request request);

    /** Applies {@link Decision.AnswerFromOriginal}. */
    void answerFromOriginal(Request request);

    /** Applies {@link Decision.RememberIdempotencyKey}. */
    void rememberIdempotencyKey(Request request, double windowSeconds);

    /** Applies {@link Decision.ForgetIdempotencyKey}. */
    void forgetIdempotencyKey(Request request);

    /** Applies {@link Decision.CallDependency}. */
    void callDependency(Request request, double timeoutSeconds);

    /** Applies {@link Decision.SkipDependencyCall}. */
    void skipDependencyCall(Request request);

    /** Applies {@link Decision.PostAdmissionLevel}. */
    void postAdmissionLevel(double level);

    /** Applies {@link Decision.SetHealth}. */
    void setHealth(boolean healthy);

    /** Applies {@link Decision.CloseIdleConnections}. */
    void closeIdleConnections(double idleSeconds);

    /** Applies {@link Decision.ScheduleTick}. */
    void scheduleTick(double delaySeconds);
}
