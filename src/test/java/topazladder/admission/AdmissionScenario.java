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

/** Drives one admission controller with a simulated clock and records its events and decisions in a transcript. */
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

    /** Creates a scenario with a server that has one core and has just started. */
    static AdmissionScenario started() {
        return startedWith(settings -> settings);
    }

    /** Creates a scenario like {@link #started()} with some settings changed. */
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

    /** Sets the clock without running ticks. */
    AdmissionScenario at(double time) {
        now = time;
        return this;
    }

    AdmissionScenario arrive(String name, RequestClass requestClass) {
        return arrive(name, requestClass, 0.3, 0, null);
    }

    AdmissionScenario arrive(String name, RequestClass requestClass, double rank, double queuedSeconds,
            String original) {
        // Requests of important classes get the upper half of the ranks.
        double rankInClass = requestClass.priorityWeight() > 1 ? 0.5 + rank / 2 : rank;
        boolean duplicate = original != null;
        Request request = new Request(requestClass, null, rankInClass, MEMORY_KILOBYTES, queuedSeconds, 0, duplicate,
                duplicate, requests.get(original));
        requests.put(name, request);
        transcript.name(request, name);
        String delay = queuedSeconds > 0 ? " after " + DecisionTranscript.seconds(queuedSeconds) + " unread" : "";
        transcript.event(now, name + " arrives" + delay + (duplicate ? ", repeating " + original : ""),
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

    /** Passes an estimate of a peer to the controller. */
    AdmissionScenario learn(Kind kind, String subject, double value, double weight) {
        transcript.event(now, "learns " + kind + " " + subject + " " + value,
                controller.learn(now, List.of(new LearnedEstimate(kind, subject, value, weight, 0))));
        return this;
    }

    /** Records the estimates that the controller would share with peers. */
    AdmissionScenario recordEstimates() {
        StringBuilder event = new StringBuilder("estimates");
        controller.learnedEstimates(now).forEach(estimate -> event.append(String.format(Locale.ROOT,
                " %s %s %.2f of %.0f", estimate.kind(), estimate.subject(), estimate.value(), estimate.weight())));
        transcript.event(now, event.toString(), List.of());
        return this;
    }

    /** Runs all ticks up to the given time; ticks that only schedule the next one are not recorded. */
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

    /** Runs steps that only prepare the scenario, without recording them in the transcript. */
    AdmissionScenario unrecorded(Consumer<AdmissionScenario> steps) {
        transcript.unrecorded(() -> steps.accept(this));
        return this;
    }

    /** Sends two requests for each one that a core can complete, with evenly spread ranks; only ticks are recorded. */
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

    /** Generates random arrivals, calls and ends of runs for all classes; the same seed gives the same events. */
    AdmissionScenario playRandomly(long seed, int steps) {
        RandomGenerator random = new SplittableRandom(seed);
        for (int i = 0; i < steps; i++) {
            tickUntil(now + random.nextInt(3) * TICK_SECONDS);
            List<Request> running = transcript.started().stream().filter(controller::isInFlight).toList();
            List<Request> calling = transcript.calling().stream().filter(controller::isInFlight).toList();
            int choice = random.nextInt(10);
            if (choice < 4 || running.isEmpty() && calling.isEmpty()) {
                arrive("t" + i, CLASSES.get(random.nextInt(4)), random.nextDouble(), 0, null);
            } else if (choice < 6 && !calling.isEmpty()) {
                endCallRandomly(calling.get(random.nextInt(calling.size())), random);
            } else if (!running.isEmpty()) {
                Request request = running.get(random.nextInt(running.size()));
                if (choice < 8) {
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
