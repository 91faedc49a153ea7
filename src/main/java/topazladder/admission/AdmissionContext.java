package topazladder.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import topazladder.request.Decision;
import topazladder.request.RequestClass;

/**
 * What all rules of one controller share: the settings, the time of the event being handled, the source of chance and
 * the decisions that the event has led to so far. Owns the time and the decisions; no rule changes either but by
 * emitting a decision.
 */
final class AdmissionContext {
    /** Seconds from the start of the server in which its own rates are not relied on yet. */
    static final double START_SECONDS = 1;
    private static final double MIN_TICK_SECONDS = 0.01;
    /** Leaves room for a tick that comes late, and costs few timers. */
    private static final double TICKS_PER_ANSWER_SLACK = 4;
    private static final double DEFAULT_LATENCY_OBJECTIVE_SECONDS = 1;

    private final AdmissionSettings settings;
    private final RandomGenerator random;
    private final double tickSeconds;
    private final double shortestObjectiveSeconds;
    private final List<Decision> emitted = new ArrayList<>();
    private double now;

    AdmissionContext(RandomGenerator random, AdmissionSettings settings) {
        this.random = random;
        this.settings = settings;
        shortestObjectiveSeconds = settings.requestClasses().stream()
                .mapToDouble(RequestClass::latencyObjectiveSeconds).min().orElse(DEFAULT_LATENCY_OBJECTIVE_SECONDS);
        tickSeconds = Math.max(settings.tickSeconds(),
                Math.max(MIN_TICK_SECONDS, settings.answerSlackSeconds() / TICKS_PER_ANSWER_SLACK));
    }

    AdmissionSettings settings() {
        return settings;
    }

    /** The one source of chance; the order of its draws is part of the decisions. */
    RandomGenerator random() {
        return random;
    }

    /** Seconds since the start of the server, at the event being handled. */
    double now() {
        return now;
    }

    void setNow(double seconds) {
        now = seconds;
    }

    /** Seconds between two ticks. */
    double tickSeconds() {
        return tickSeconds;
    }

    /** The shortest latency objective of all request classes, in seconds: the span over which load is judged. */
    double shortestObjectiveSeconds() {
        return shortestObjectiveSeconds;
    }

    /**
     * Speed of this server as a fraction of a warm one's, from the slowest warm-up that the settings allow:
     * {@code min(1, coldSpeed + (1 - coldSpeed) * now / warmUpSeconds)}.
     */
    double serverSpeed() {
        double from = settings.coldStart() ? settings.coldSpeed() : 1;
        return Math.min(1, from + (1 - from) * now / settings.warmUpSeconds());
    }

    void emit(Decision decision) {
        emitted.add(decision);
    }

    /** The decisions since the last call, in the order in which they were emitted. */
    List<Decision> takeEmitted() {
        List<Decision> result = List.copyOf(emitted);
        emitted.clear();
        return result;
    }
}
