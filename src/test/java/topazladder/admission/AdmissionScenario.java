package topazladder.admission;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;
import topazladder.admission.AdmissionSettings.AdmissionLevelUnit;
import topazladder.request.LearnedEstimate;
import topazladder.request.LearnedEstimate.Kind;
import topazladder.request.Outcome;
import topazladder.request.Request;
import topazladder.request.RequestClass;
import topazladder.request.RequestClass.Idempotency;

/** One admission controller with a clock of its own, whose events and decisions are written down. */
final class AdmissionScenario {
    static final RequestClass READ = new RequestClass("read", Idempotency.RETRY_SAFE, 2, 5, 1, 0, 0, true, 0.5);
    static final RequestClass PLACE =
            new RequestClass("place", Idempotency.IDEMPOTENT_BY_KEY, 2, 5, 10, 0, 12, true, 0);
    static final RequestClass LATE =
            new RequestClass("late", Idempotency.IDEMPOTENT_BY_KEY, 2, 5, 10, 0.5, 12, true, 0);
    static final RequestClass ISSUE = new RequestClass("issue", Idempotency.AT_MOST_ONCE, 2, 5, 10, 0, 0, true, 0);
    private static final List<RequestClass> CLASSES = List.of(READ, PLACE, LATE, ISSUE);
    private static final double TICK_SECONDS = 0.1;
    private static final double MEMORY_KILOBYTES = 10;

    private final AdmissionController controller;
    private final DecisionTranscript transcript = new DecisionTranscript();
    private final Map<String, Request> requests = new LinkedHashMap<>();
    private final Map<String, Double> gauges = new LinkedHashMap<>(Map.of(RuntimeGauges.CORE_USE, 1.0));
    private double now;

    private AdmissionScenario(AdmissionSettings settings) {
        controller = new AdmissionController(new SplittableRandom(1), settings);
        transcript.event(now, "start", controller.start(0));
    }

    /** A server with one core, that has just started. */
    static AdmissionScenario started() {
        return startedWith(settings -> settings);
    }

    /** The same with some settings changed. */
    static AdmissionScenario startedWith(UnaryOperator<AdmissionSettings.Builder> change) {
        return new AdmissionScenario(change.apply(AdmissionSettings.builder().requestClasses(CLASSES).cores(1)
                .memoryKilobytes(1000).runMemoryFactor(8).idempotencyKeyKilobytes(50).tickSeconds(TICK_SECONDS)
                .drainGraceSeconds(1).collapseFactor(8).retryAfterAllowed(true).maxRetryAfterSeconds(1)
                .admissionLevelUnit(AdmissionLevelUnit.MIN_RANK)).build());
    }

    AdmissionScenario gauge(String name, double value) {
        gauges.put(name, value);
        return this;
    }

    /** Sets the clock without a tick. */
    AdmissionScenario at(double time) {
        now = time;
        return this;
    }

    AdmissionScenario arrive(String name, RequestClass requestClass) {
        return arrive(name, requestClass, 0.3, 0, null);
    }

    AdmissionScenario arrive(String name, RequestClass requestClass, double rank, double queuedSeconds,
            String original) {
        double rankInClass = requestClass.priorityWeight() > 1 ? 0.5 + rank / 2 : rank;
        boolean repeats = original != null;
        Request request = new Request(requestClass, null, rankInClass, MEMORY_KILOBYTES, queuedSeconds, 0, repeats,
                repeats, requests.get(original));
        requests.put(name, request);
        transcript.name(request, name);
        String how = queuedSeconds > 0 ? " after " + DecisionTranscript.seconds(queuedSeconds) + " unread" : "";
        transcript.event(now, name + " arrives" + how + (repeats ? ", repeating " + original : ""),
                controller.requestArrived(now, request));
        return this;
    }

    AdmissionScenario requestCall(String name) {
        transcript.event(now, name + " wants a call", controller.dependencyCallRequested(now, requests.get(name)));
        return this;
    }

    AdmissionScenario endCall(String name, Outcome outcome) {
        return endCall(name, outcome, 0.1);
    }

    AdmissionScenario endCall(String name, Outcome outcome, double elapsedSeconds) {
        transcript.event(now, "call of " + name + " ends " + outcome,
                controller.dependencyCallEnded(now, requests.get(name), outcome, elapsedSeconds));
        return this;
    }

    AdmissionScenario endRun(String name, Outcome outcome) {
        transcript.started().remove(requests.get(name));
        transcript.event(now, "run of " + name + " ends " + outcome,
                controller.runEnded(now, requests.get(name), outcome, 0.4));
        return this;
    }

    AdmissionScenario disconnectCaller(String name) {
        transcript.event(now, "caller of " + name + " gone",
                controller.callerDisconnected(now, requests.get(name)));
        return this;
    }

    AdmissionScenario drain(double secondsToStop) {
        transcript.event(now, "drain within " + DecisionTranscript.seconds(secondsToStop),
                controller.drain(now, secondsToStop));
        return this;
    }

    /** Takes in what a peer measured. */
    AdmissionScenario learn(Kind kind, String subject, double value, double weight) {
        transcript.event(now, "learns " + kind + " " + subject + " " + value,
                controller.learn(now, List.of(new LearnedEstimate(kind, subject, value, weight, 0))));
        return this;
    }

    /** Writes down what the controller would hand on to peers. */
    AdmissionScenario recordEstimates() {
        StringBuilder all = new StringBuilder("estimates");
        controller.learnedEstimates(now).forEach(estimate -> all.append(String.format(Locale.ROOT,
                " %s %s %.2f of %.0f", estimate.kind(), estimate.subject(), estimate.value(), estimate.weight())));
        transcript.event(now, all.toString(), List.of());
        return this;
    }

    /** Lets the ticks come up to a time; those that decide nothing are not written down. */
    AdmissionScenario tickUntil(double time) {
        while (now + TICK_SECONDS <= time + 1e-9) {
            now += TICK_SECONDS;
            var decisions = controller.tick(now, new RuntimeGauges(gauges));
            if (decisions.size() > 1) {
                transcript.event(now, "tick", decisions);
            }
        }
        return this;
    }

    /** Plays what only leads up to a scene, and leaves it out of the transcript. */
    AdmissionScenario unrecorded(Consumer<AdmissionScenario> scene) {
        transcript.unrecorded(() -> scene.accept(this));
        return this;
    }

    /** Two requests for each that one core completes, their ranks spread evenly; only the ticks are written down. */
    AdmissionScenario overload(double seconds, double runSeconds) {
        for (int i = 0; now < seconds; i++) {
            String name = "f" + i;
            double rank = (i * 7 % 20) / 20.0;
            unrecorded(s -> s.arrive(name, READ, rank, 0, null).arrive(name + "b", READ, rank, 0, null));
            tickUntil(now + runSeconds);
            for (Request running : List.copyOf(transcript.started())) {
                unrecorded(s -> s.endRun(transcript.nameOf(running), Outcome.SUCCEEDED));
            }
        }
        return this;
    }

    /** Requests of all classes, runs, calls and their ends as chance has them; a seed plays the same each time. */
    AdmissionScenario playRandomly(long seed, int steps) {
        RandomGenerator random = new SplittableRandom(seed);
        for (int i = 0; i < steps; i++) {
            tickUntil(now + random.nextInt(3) * TICK_SECONDS);
            List<Request> running = transcript.started().stream().filter(controller::isInFlight).toList();
            List<Request> calling = transcript.calling().stream().filter(controller::isInFlight).toList();
            int dice = random.nextInt(10);
            if (dice < 4 || running.isEmpty() && calling.isEmpty()) {
                arrive("t" + i, CLASSES.get(random.nextInt(4)), random.nextDouble(), 0, null);
            } else if (dice < 6 && !calling.isEmpty()) {
                endCallRandomly(calling.get(random.nextInt(calling.size())), random);
            } else if (!running.isEmpty()) {
                Request request = running.get(random.nextInt(running.size()));
                if (dice < 8) {
                    transcript.started().remove(request);
                    requestCall(transcript.nameOf(request));
                } else {
                    endRun(transcript.nameOf(request), Outcome.SUCCEEDED);
                }
            }
        }
        return this;
    }

    private void endCallRandomly(Request request, RandomGenerator random) {
        Outcome[] outcomes = {Outcome.SUCCEEDED, Outcome.SUCCEEDED, Outcome.SUCCEEDED, Outcome.REJECTED,
                Outcome.FAILED};
        transcript.calling().remove(request);
        transcript.started().add(request);
        endCall(transcript.nameOf(request), outcomes[random.nextInt(5)], 0.05 + random.nextDouble());
    }

    void assertMatchesTrace(String name) {
        transcript.assertMatches(name);
    }
}
