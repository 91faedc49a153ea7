package topazladder.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import topazladder.request.Decision;
import topazladder.request.RequestClass;

/**
 * State shared by all rules of one controller: the settings, the time of the current event, the random generator and
 * the decisions emitted so far for that event. Rules never change the time, and add decisions with {@link #emit}.
 */
final class AdmissionContext {
    /** Seconds after the start of the server during which its measured rates are not used yet. */
    static final double STARTUP_SECONDS = 1;
    /** Lower bound of the tick interval, whatever the settings say. */
    private static final double MIN_TICK_SECONDS = 0.01;
    /** Four ticks per answer slack tolerate a late tick and still need few timers. */
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

    /** The only random generator of the controller; the order of its draws affects the decisions. */
    RandomGenerator random() {
        return random;
    }

    /** Time of the current event, in seconds since the start of the server. */
    double now() {
        return now;
    }

    void setNow(double seconds) {
        now = seconds;
    }

    /** Interval between ticks, in seconds. */
    double tickSeconds() {
        return tickSeconds;
    }

    /** The shortest latency objective of all request classes, in seconds; load is measured over this time span. */
    double shortestObjectiveSeconds() {
        return shortestObjectiveSeconds;
    }

    /**
     * Speed of this server as a fraction of the speed of a warm one, assuming the slowest warm-up that the settings
     * allow: {@code min(1, coldSpeed + (1 - coldSpeed) * now / warmUpSeconds)}.
     */
    double serverSpeed() {
        double initialSpeed = settings.coldStart() ? settings.coldSpeed() : 1;
        return Math.min(1, initialSpeed + (1 - initialSpeed) * now / settings.warmUpSeconds());
    }

    void emit(Decision decision) {
        emitted.add(decision);
    }

    /** Returns and clears the decisions emitted since the last call, in the order in which they were emitted. */
    List<Decision> takeEmitted() {
        List<Decision> result = List.copyOf(emitted);
        emitted.clear();
        return result;
    }
}
