package topazladder.admission;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import topazladder.RecordedTrace;
import topazladder.request.Decision;
import topazladder.request.DecisionHandler;
import topazladder.request.Request;

/** Records events and the decisions made for them, one per line, and tracks the runs and dependency calls started. */
final class DecisionTranscript implements DecisionHandler {
    private final StringBuilder text = new StringBuilder();
    private final Map<Request, String> names = new LinkedHashMap<>();
    private final Set<Request> started = new LinkedHashSet<>();
    private final Set<Request> calling = new LinkedHashSet<>();

    void name(Request request, String name) {
        names.put(request, name);
    }

    String nameOf(Request request) {
        return names.get(request);
    }

    /** Requests whose runs were started; the caller removes a request when its run ends. */
    Set<Request> started() {
        return started;
    }

    /** Requests whose dependency calls were made; the caller removes a request when its call ends. */
    Set<Request> calling() {
        return calling;
    }

    void event(double now, String event, List<Decision> decisions) {
        text.append(String.format(Locale.ROOT, "%6.2f  %s\n", now, event));
        decisions.forEach(decision -> decision.applyTo(this));
    }

    /** Runs the step and discards what it recorded. */
    void unrecorded(Runnable step) {
        int length = text.length();
        step.run();
        text.setLength(length);
    }

    void assertMatches(String trace) {
        RecordedTrace.assertMatches(trace, text.toString());
    }

    static String seconds(double seconds) {
        return String.format(Locale.ROOT, "%.2f s", seconds);
    }

    private void recordDecision(String decision) {
        text.append("          ").append(decision).append('\n');
    }

    @Override
    public void start(Request request) {
        recordDecision("start " + nameOf(request));
        started.add(request);
    }

    @Override
    public void reject(Request request, double retryAfterSeconds, boolean doNotRetryElsewhere) {
        recordDecision("reject " + nameOf(request)
                + (retryAfterSeconds > 0 ? ", retry after " + seconds(retryAfterSeconds) : "")
                + (doNotRetryElsewhere ? ", do not retry elsewhere" : ""));
    }

    @Override
    public void fail(Request request) {
        recordDecision("fail " + nameOf(request));
    }

    @Override
    public void cancelRun(Request request) {
        recordDecision("cancel run of " + nameOf(request));
    }

    @Override
    public void answerFromOriginal(Request request) {
        recordDecision("answer " + nameOf(request) + " from its original");
    }

    @Override
    public void rememberIdempotencyKey(Request request, double windowSeconds) {
        recordDecision("remember idempotency key of " + nameOf(request) + " for " + seconds(windowSeconds));
    }

    @Override
    public void forgetIdempotencyKey(Request request) {
        recordDecision("forget idempotency key of " + nameOf(request));
    }

    @Override
    public void callDependency(Request request, double timeoutSeconds) {
        recordDecision("call dependency for " + nameOf(request) + " within " + seconds(timeoutSeconds));
        calling.add(request);
    }

    @Override
    public void skipDependencyCall(Request request) {
        recordDecision("skip dependency call of " + nameOf(request));
    }

    @Override
    public void postAdmissionLevel(double level) {
        recordDecision(String.format(Locale.ROOT, "post admission level %.3f", level));
    }

    @Override
    public void setHealth(boolean healthy) {
        recordDecision("set health " + (healthy ? "good" : "bad"));
    }

    @Override
    public void closeIdleConnections(double idleSeconds) {
        recordDecision("close connections idle for " + seconds(idleSeconds));
    }

    /** Not recorded, as every tick schedules the next one. */
    @Override
    public void scheduleTick(double delaySeconds) {}
}
