package topazladder.admission;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import topazladder.request.Decision;
import topazladder.request.DecisionHandler;
import topazladder.request.LearnedEstimate;
import topazladder.request.LearnedEstimate.Kind;
import topazladder.request.Outcome;
import topazladder.request.Request;
import topazladder.request.RequestClass;
import topazladder.request.RequestClass.Idempotency;

/**
 * Sends random events to one admission controller: alternating periods of normal load and overload, some events that do
 * not apply to the state of their request, and a graceful shutdown at the end. The same seed gives the same events as
 * long as the decisions are the same.
 */
final class RandomTraffic {
    private static final List<RequestClass> CLASSES = List.of(
            new RequestClass("read", Idempotency.RETRY_SAFE, 2, 5, 1, 0, 0, true, 0.5),
            new RequestClass("search", Idempotency.RETRY_SAFE, 1.5, 4, 2, 0.3, 0, true, 0),
            new RequestClass("place", Idempotency.IDEMPOTENT_BY_KEY, 2, 5, 10, 0, 12, true, 0),
            new RequestClass("late", Idempotency.IDEMPOTENT_BY_KEY, 2, 5, 10, 0.5, 3, true, 0.2),
            new RequestClass("issue", Idempotency.AT_MOST_ONCE, 2, 5, 10, 0, 0, true, 0));
    private static final int STEPS_PER_LOAD_PERIOD = 1000;
    private static final int MAX_RECENT_REQUESTS = 64;

    private final SplittableRandom random;
    private final AdmissionController controller;
    private final List<Request> recent = new ArrayList<>();
    private final List<Request> running = new ArrayList<>();
    private final List<Request> calling = new ArrayList<>();
    private final Map<Request, Integer> numbers = new LinkedHashMap<>();
    private final Set<String> decisionKinds = new TreeSet<>();
    private final MessageDigest digest;
    private double now;

    RandomTraffic(AdmissionSettings.Builder settings, long seed) {
        random = new SplittableRandom(seed);
        controller = new AdmissionController(new SplittableRandom(seed + 1),
                settings.requestClasses(CLASSES).build());
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Runs that many steps and returns the SHA-256 digest of all decisions as hexadecimal digits. */
    String run(int steps) {
        record(controller.start(0));
        for (int step = 0; step < steps; step++) {
            boolean overloaded = step / STEPS_PER_LOAD_PERIOD % 2 == 1;
            now += random.nextDouble() * (overloaded ? 0.02 : 0.12);
            if (step == steps * 9 / 10) {
                record(controller.drain(now, 20));
            }
            sendRandomEvent(overloaded);
            if (step % 5 == 0) {
                record(controller.tick(now, gauges(overloaded)));
            }
            running.removeIf(request -> !controller.isInFlight(request));
            calling.removeIf(request -> !controller.isInFlight(request));
        }
        return HexFormat.of().formatHex(digest.digest());
    }

    /** The kinds of the decisions made, sorted. */
    Set<String> decisionKinds() {
        return decisionKinds;
    }

    private void sendRandomEvent(boolean overloaded) {
        int choice = random.nextInt(100);
        if (choice < (overloaded ? 60 : 35)) {
            sendRandomRequest();
        } else if (choice < 75) {
            endRandomRun();
        } else if (choice < 84 && !running.isEmpty()) {
            Request request = running.remove(random.nextInt(running.size()));
            record(controller.dependencyCallRequested(now, request));
        } else if (choice < 93 && !calling.isEmpty()) {
            endRandomCall(overloaded);
        } else if (choice < 95 && !recent.isEmpty()) {
            record(controller.callerDisconnected(now, pickFrom(recent)));
        } else if (choice < 96 && !running.isEmpty()) {
            record(controller.startUncertain(now, pickFrom(running)));
        } else if (choice < 97 && !recent.isEmpty()) {
            record(controller.runEnded(now, pickFrom(recent), Outcome.NOT_STARTED, 0));
        } else if (choice < 98) {
            exchangeEstimates();
        }
    }

    private void sendRandomRequest() {
        RequestClass requestClass = CLASSES.get(random.nextInt(CLASSES.size()));
        boolean duplicate = requestClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY && random.nextInt(4) == 0;
        Request original = duplicate ? recent.stream().filter(r -> r.requestClass() == requestClass)
                .filter(controller::isInFlight).findFirst().orElse(null) : null;
        Request request = new Request(requestClass, null, random.nextDouble(), 5 + 10 * random.nextDouble(),
                random.nextInt(4) == 0 ? random.nextDouble() * 2.5 : 0,
                random.nextInt(3) == 0 ? random.nextDouble() * 4 : 0, random.nextInt(20) == 0, duplicate, original);
        numbers.put(request, numbers.size());
        recent.add(request);
        if (recent.size() > MAX_RECENT_REQUESTS) {
            recent.remove(0);
        }
        record(controller.requestArrived(now, request));
    }

    private void endRandomRun() {
        if (running.isEmpty()) {
            return;
        }
        Request request = running.remove(random.nextInt(running.size()));
        Outcome[] outcomes = {Outcome.SUCCEEDED, Outcome.SUCCEEDED, Outcome.SUCCEEDED, Outcome.SUCCEEDED,
                Outcome.FAILED, Outcome.CANCELLED};
        record(controller.runEnded(now, request, pickFrom(List.of(outcomes)), 0.1 + random.nextDouble() * 0.4));
    }

    private void endRandomCall(boolean overloaded) {
        Request request = calling.remove(random.nextInt(calling.size()));
        running.add(request);
        Outcome[] outcomes = {Outcome.SUCCEEDED, Outcome.SUCCEEDED, Outcome.SUCCEEDED, Outcome.SUCCEEDED,
                Outcome.SUCCEEDED, Outcome.REJECTED, Outcome.FAILED, Outcome.TIMED_OUT, Outcome.UNREACHABLE,
                Outcome.CONNECTION_LOST};
        double elapsed = (0.05 + 0.05 * random.nextDouble()) * (overloaded ? 6 : 1);
        record(controller.dependencyCallEnded(now, request, pickFrom(List.of(outcomes)), elapsed));
    }

    private void exchangeEstimates() {
        for (LearnedEstimate estimate : controller.learnedEstimates(now)) {
            write("estimate " + estimate.kind().ordinal() + " " + estimate.subject() + " " + estimate.value() + " "
                    + estimate.weight() + " " + estimate.ageSeconds());
        }
        record(controller.learn(now, List.of(
                new LearnedEstimate(Kind.RUN_TIME, "read", random.nextDouble(), random.nextInt(20), 1),
                new LearnedEstimate(Kind.CALLS_IN_FLIGHT, "", random.nextDouble() * 4, random.nextInt(60), 1),
                new LearnedEstimate(Kind.COMPLETION_RATE, "", random.nextDouble() * 10, 5, 1))));
    }

    private RuntimeGauges gauges(boolean overloaded) {
        return random.nextInt(10) == 0 ? RuntimeGauges.NONE
                : new RuntimeGauges(Map.of(RuntimeGauges.CORE_USE, overloaded ? 0.7 + 0.3 * random.nextDouble()
                        : 0.4 * random.nextDouble(), RuntimeGauges.ON_CORES, 1.0 + random.nextInt(8)));
    }

    private <T> T pickFrom(List<T> list) {
        return list.get(random.nextInt(list.size()));
    }

    private void record(List<Decision> decisions) {
        write("at " + now);
        decisions.forEach(decision -> decision.applyTo(new DigestWriter()));
    }

    private void write(String line) {
        digest.update((line + "\n").getBytes(StandardCharsets.UTF_8));
    }

    /** Adds each decision to the digest, with its numbers at full precision. */
    private final class DigestWriter implements DecisionHandler {

        private void line(String kind, Object... values) {
            decisionKinds.add(kind);
            write(kind + " " + List.of(values));
        }

        @Override
        public void start(Request request) {
            line("start", numbers.get(request));
            running.add(request);
        }

        @Override
        public void reject(Request request, double retryAfterSeconds, boolean doNotRetryElsewhere) {
            line("reject", numbers.get(request), retryAfterSeconds, doNotRetryElsewhere);
        }

        @Override
        public void fail(Request request) {
            line("fail", numbers.get(request));
        }

        @Override
        public void cancelRun(Request request) {
            line("cancel-run", numbers.get(request));
        }

        @Override
        public void answerFromOriginal(Request request) {
            line("answer-from-original", numbers.get(request));
            running.add(request);
        }

        @Override
        public void rememberIdempotencyKey(Request request, double windowSeconds) {
            line("remember-idempotency-key", numbers.get(request), windowSeconds);
        }

        @Override
        public void forgetIdempotencyKey(Request request) {
            line("forget-idempotency-key", numbers.get(request));
        }

        @Override
        public void callDependency(Request request, double timeoutSeconds) {
            line("call-dependency", numbers.get(request), timeoutSeconds);
            calling.add(request);
        }

        @Override
        public void skipDependencyCall(Request request) {
            line("skip-dependency-call", numbers.get(request));
            running.add(request);
        }

        @Override
        public void postAdmissionLevel(double level) {
            line("post-admission-level", level);
        }

        @Override
        public void setHealth(boolean healthy) {
            line("set-health", healthy);
        }

        @Override
        public void closeIdleConnections(double idleSeconds) {
            line("close-idle-connections", idleSeconds);
        }

        @Override
        public void scheduleTick(double delaySeconds) {
            line("schedule-tick", delaySeconds);
        }
    }
}
