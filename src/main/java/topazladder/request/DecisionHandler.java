package topazladder.request;

/** Carries out decisions, one method for each kind; {@link Decision} says what each asks for and its units. */
public interface DecisionHandler {

    /** Carries out {@link Decision.Start}. */
    void start(Request request);

    /** Carries out {@link Decision.Reject}. */
    void reject(Request request, double retryAfterSeconds, boolean doNotRetryElsewhere);

    /** Carries out {@link Decision.Fail}. */
    void fail(Request request);

    /** Carries out {@link Decision.CancelRun}. */
    void cancelRun(Request request);

    /** Carries out {@link Decision.AnswerFromOriginal}. */
    void answerFromOriginal(Request request);

    /** Carries out {@link Decision.RememberIdempotencyKey}. */
    void rememberIdempotencyKey(Request request, double windowSeconds);

    /** Carries out {@link Decision.ForgetIdempotencyKey}. */
    void forgetIdempotencyKey(Request request);

    /** Carries out {@link Decision.CallDependency}. */
    void callDependency(Request request, double timeoutSeconds);

    /** Carries out {@link Decision.SkipDependencyCall}. */
    void skipDependencyCall(Request request);

    /** Carries out {@link Decision.PostAdmissionLevel}. */
    void postAdmissionLevel(double level);

    /** Carries out {@link Decision.SetHealth}. */
    void setHealth(boolean healthy);

    /** Carries out {@link Decision.CloseIdleConnections}. */
    void closeIdleConnections(double idleSeconds);

    /** Carries out {@link Decision.ScheduleTick}. */
    void scheduleTick(double delaySeconds);
}
