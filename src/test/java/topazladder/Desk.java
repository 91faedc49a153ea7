package topazladder;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;
import topazladder.admission.AdmissionController;
import topazladder.admission.AdmissionSettings;
import topazladder.admission.AdmissionSettings.AdmissionLevelUnit;
import topazladder.admission.RuntimeGauges;
import topazladder.request.Decision;
import topazladder.request.DecisionHandler;
import topazladder.request.LearnedEstimate;
import topazladder.request.LearnedEstimate.Kind;
import topazladder.request.Outcome;
import topazladder.request.Request;
import topazladder.request.RequestClass;
import topazladder.request.RequestClass.Repeats;

/** One Admission controller behind a desk that writes down each happening and what was ruled on it. */
final class Desk {
    static final RequestClass READ = new RequestClass("read", Repeats.RETRY_SAFE, 2, 5, 1, 0, 0, true, 0.5);
    static final RequestClass PLACE = new RequestClass("place", Repeats.IDEMPOTENT_BY_KEY, 2, 5, 10, 0, 12, true, 0);
    static final RequestClass LATE = new RequestClass("late", Repeats.IDEMPOTENT_BY_KEY, 2, 5, 10, 0.5, 12, true, 0);
    static final RequestClass ISSUE = new RequestClass("issue", Repeats.AT_MOST_ONCE, 2, 5, 10, 0, 0, true, 0);

    private final AdmissionSettings.Builder settings = AdmissionSettings.builder()
            .requestClasses(List.of(READ, PLACE, LATE, ISSUE)).cores(1).memoryKilobytes(1000).runMemoryFactor(8)
            .idempotencyKeyKilobytes(50).tickSeconds(0.1).drainGraceSeconds(1).collapseFactor(8)
            .retryAfterAllowed(true).maxRetryAfterSeconds(1).admissionLevelUnit(AdmissionLevelUnit.MIN_RANK);
    private final Map<String, Request> requests = new LinkedHashMap<>();
    private final Map<Request, String> names = new LinkedHashMap<>();
    private final Set<Request> started = new LinkedHashSet<>();
    private final Set<Request> calling = new LinkedHashSet<>();
    private final StringBuilder trace = new StringBuilder();
    private final Map<String, Double> gauges = new LinkedHashMap<>(Map.of(RuntimeGauges.CORE_USE, 1.0));
    private AdmissionController admissionController;
    private double now;

    Desk with(UnaryOperator<AdmissionSettings.Builder> change) {
        change.apply(settings);
        return this;
    }

    Desk open() {
        admissionController = new AdmissionController(new SplittableRandom(1), settings.build());
        write("start", admissionController.start(0));
        return this;
    }

    Desk gauge(String name, double value) {
        gauges.put(name, value);
        return this;
    }

    Desk at(double time) {
        now = time;
        return this;
    }

    Desk arrive(String name, RequestClass requestClass) {
        return arrive(name, requestClass, 0.3, 0, null);
    }

    Desk arrive(String name, RequestClass requestClass, double rank, double waited, String repeats) {
        Request request = new Request(requestClass, null, requestClass.priorityWeight() > 1 ? 0.5 + rank / 2 : rank, 10,
                waited, 0,
                repeats != null, repeats != null, requests.get(repeats));
        requests.put(name, request);
        names.put(request, name);
        String how = waited > 0 ? " after " + seconds(waited) + " unread" : "";
        write(name + " arrives" + how + (repeats != null ? ", repeating " + repeats : ""),
                admissionController.requestArrived(now, request));
        return this;
    }

    Desk wantsCall(String name) {
        write(name + " wants a call", admissionController.dependencyCallRequested(now, requests.get(name)));
        return this;
    }

    Desk callEnds(String name, Outcome ending) {
        return callEnds(name, ending, 0.1);
    }

    Desk callEnds(String name, Outcome ending, double took) {
        write("call of " + name + " ends " + ending,
                admissionController.dependencyCallEnded(now, requests.get(name), ending, took));
        return this;
    }

    /** Plays what only leads up to a scene, and leaves it out of the trace. */
    Desk quietly(Consumer<Desk> scene) {
        int length = trace.length();
        scene.accept(this);
        trace.setLength(length);
        return this;
    }

    /** Two requests for each that one core finishes, their ranks spread evenly; only what the level does is kept. */
    Desk flood(double seconds, double run) {
        for (int i = 0; now < seconds; i++) {
            String name = "f" + i;
            double rank = (i * 7 % 20) / 20.0;
            quietly(d -> d.arrive(name, READ, rank, 0, null).arrive(name + "b", READ, rank, 0, null));
            until(now + run);
            for (Request running : List.copyOf(started)) {
                quietly(d -> d.runEnds(names.get(running), Outcome.SUCCEEDED));
            }
        }
        return this;
    }

    Desk runEnds(String name, Outcome ending) {
        started.remove(requests.get(name));
        write("run of " + name + " ends " + ending, admissionController.runEnded(now, requests.get(name), ending, 0.4));
        return this;
    }

    /**
     * Requests of all kinds, runs, calls and their ends as chance has them: what a seed plays is the same each time.
     */
    Desk play(long seed, int steps) {
        RandomGenerator chance = new SplittableRandom(seed);
        RequestClass[] kinds = {READ, PLACE, LATE, ISSUE};
        for (int i = 0; i < steps; i++) {
            until(now + chance.nextInt(3) * 0.1);
            List<Request> running = started.stream().filter(admissionController::isInFlight).toList();
            List<Request> waiting = calling.stream().filter(admissionController::isInFlight).toList();
            int what = chance.nextInt(10);
            if (what < 4 || running.isEmpty() && waiting.isEmpty()) {
                arrive("t" + i, kinds[chance.nextInt(4)], chance.nextDouble(), 0, null);
            } else if (what < 6 && !waiting.isEmpty()) {
                Request request = waiting.get(chance.nextInt(waiting.size()));
                Outcome[] ends =
                        {Outcome.SUCCEEDED, Outcome.SUCCEEDED, Outcome.SUCCEEDED, Outcome.REJECTED, Outcome.FAILED};
                calling.remove(request);
                started.add(request);
                callEnds(names.get(request), ends[chance.nextInt(5)], 0.05 + chance.nextDouble());
            } else if (!running.isEmpty()) {
                Request request = running.get(chance.nextInt(running.size()));
                if (what < 8) {
                    started.remove(request);
                    wantsCall(names.get(request));
                } else {
                    runEnds(names.get(request), Outcome.SUCCEEDED);
                }
            }
        }
        return this;
    }

    /** Takes what another server learned. */
    Desk learn(Kind kind, String subject, double value, double weight) {
        write("learns " + kind + " " + subject + " " + value,
                admissionController.learn(now, List.of(new LearnedEstimate(kind, subject, value, weight, 0))));
        return this;
    }

    Desk tells() {
        StringBuilder all = new StringBuilder("tells");
        admissionController.learnedEstimates(now)
                .forEach(l -> all.append(String.format(Locale.ROOT, " %s %s %.2f of %.0f", l.kind(),
                        l.subject(), l.value(), l.weight())));
        write(all.toString(), List.of());
        return this;
    }

    Desk callerGone(String name) {
        write("caller of " + name + " gone", admissionController.callerDisconnected(now, requests.get(name)));
        return this;
    }

    Desk leave(double left) {
        write("leave within " + seconds(left), admissionController.drain(now, left));
        return this;
    }

    /** Lets the timers run up to a time; those that rule nothing are not written down. */
    Desk until(double time) {
        while (now + 0.1 <= time + 1e-9) {
            now += 0.1;
            List<Decision> decisions = admissionController.tick(now, new RuntimeGauges(gauges));
            if (decisions.size() > 1) {
                write("tick", decisions);
            }
        }
        return this;
    }

    void matches(String name) {
        RecordedTrace.assertMatches(name, trace.toString());
    }

    private void write(String happening, List<Decision> decisions) {
        trace.append(String.format(Locale.ROOT, "%6.2f  %s\n", now, happening));
        decisions.forEach(decision -> decision.applyTo(new Writer()));
    }

    /** Writes decisions down, and keeps in mind what runs and what calls. */
    private final class Writer implements DecisionHandler {

        private void line(String decision) {
            trace.append("          ").append(decision).append('\n');
        }

        @Override
        public void start(Request request) {
            line("start " + names.get(request));
            started.add(request);
        }

        @Override
        public void reject(Request request, double retryAfterSeconds, boolean doNotRetryElsewhere) {
            line("reject " + names.get(request)
                    + (retryAfterSeconds > 0 ? ", retry after " + seconds(retryAfterSeconds) : "")
                    + (doNotRetryElsewhere ? ", do not retry elsewhere" : ""));
        }

        @Override
        public void fail(Request request) {
            line("fail " + names.get(request));
        }

        @Override
        public void cancelRun(Request request) {
            line("cancel run of " + names.get(request));
        }

        @Override
        public void answerFromOriginal(Request request) {
            line("answer " + names.get(request) + " from its original");
        }

        @Override
        public void rememberIdempotencyKey(Request request, double windowSeconds) {
            line("remember idempotency key of " + names.get(request) + " for " + seconds(windowSeconds));
        }

        @Override
        public void forgetIdempotencyKey(Request request) {
            line("forget idempotency key of " + names.get(request));
        }

        @Override
        public void callDependency(Request request, double timeoutSeconds) {
            line("call dependency for " + names.get(request) + " within " + seconds(timeoutSeconds));
            calling.add(request);
        }

        @Override
        public void skipDependencyCall(Request request) {
            line("skip dependency call of " + names.get(request));
        }

        @Override
        public void postAdmissionLevel(double level) {
            line(String.format(Locale.ROOT, "post admission level %.3f", level));
        }

        @Override
        public void setHealth(boolean healthy) {
            line("set health " + (healthy ? "good" : "bad"));
        }

        @Override
        public void closeIdleConnections(double idleSeconds) {
            line("close connections idle for " + seconds(idleSeconds));
        }

        @Override
        public void scheduleTick(double delaySeconds) {}
    }

    private static String seconds(double s) {
        return String.format(Locale.ROOT, "%.2f s", s);
    }
}
