package topazladder.wire;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import topazladder.admission.AdmissionController;
import topazladder.admission.RuntimeGauges;
import topazladder.config.InvalidSettingsException;
import topazladder.config.SettingsReader;
import topazladder.request.Decision;
import topazladder.request.DecisionHandler;
import topazladder.request.Outcome;
import topazladder.request.Request;

/**
 * One simulated server: owns its admission controller, and maps tickets' ids to requests and the simulator's clock to
 * seconds since the start of the server, and back.
 */
final class SimulatedServer {
    static final double NANOSECONDS_PER_SECOND = 1e9;

    private final int number;
    private final long startedAtNanoseconds;
    private final DecisionBatch batch;
    private final DecisionHandler decisionWriter = new DecisionWriter();
    /** Emptied at the end of each batch of what the controller has no longer in flight. */
    private final Map<Long, Request> requests = new HashMap<>();
    private final Map<Request, Long> ids = new HashMap<>();
    /** Named in this batch, so perhaps over; emptied at the end of each. */
    private final List<Request> touched = new ArrayList<>();
    private SettingsReader settings;
    private AdmissionController controller;
    private boolean failed;

    SimulatedServer(int number, long startedAtNanoseconds, DecisionBatch batch) {
        this.number = number;
        this.startedAtNanoseconds = startedAtNanoseconds;
        this.batch = batch;
    }

    /** A fault in the decisions is reported on the wire and ends this server; a fault of the wire ends the program. */
    void guarded(Runnable step) {
        if (failed) {
            return;
        }
        try {
            step.run();
        } catch (MalformedWireException | InvalidSettingsException e) {
            throw e;
        } catch (RuntimeException e) {
            failed = true;
            e.printStackTrace();
            batch.fatal(number, e.toString());
        }
    }

    void start(long seed, String settingsText) {
        settings = SettingsReader.ofLines(settingsText);
        controller = new AdmissionController(new SplittableRandom(seed), settings.admissionSettings());
        write(controller.start(0));
    }

    void requestArrived(long clock, ArrivalRecord arrival) {
        check(arrival);
        Request request = new Request(settings.requestClasses().get(arrival.requestClass()),
                settings.tenants().isEmpty() ? null : settings.tenants().get(arrival.tenant()),
                arrival.rank(), arrival.memoryKilobytes(), arrival.queuedNanoseconds() / NANOSECONDS_PER_SECOND,
                arrival.remainingNanoseconds() / NANOSECONDS_PER_SECOND, arrival.isRetry(),
                arrival.isDuplicate(), requests.get(arrival.original()));
        requests.put(arrival.id(), request);
        ids.put(request, arrival.id());
        touched.add(request);
        write(controller.requestArrived(seconds(clock), request));
    }

    private void check(ArrivalRecord arrival) {
        String description = "ticket " + arrival.id();
        if (arrival.requestClass() >= settings.requestClasses().size()) {
            throw new MalformedWireException(description + " is of an unknown class: " + arrival.requestClass());
        }
        if (!settings.tenants().isEmpty() && arrival.tenant() >= settings.tenants().size()) {
            throw new MalformedWireException(description + " is of an unknown tenant: " + arrival.tenant());
        }
        if (!arrival.isPossible()) {
            throw new MalformedWireException(description + " has an impossible field");
        }
    }

    void dependencyCallRequested(long clock, long id) {
        Request request = requests.get(id);
        if (request != null) {
            write(controller.dependencyCallRequested(seconds(clock), request));
        }
    }

    void dependencyCallEnded(long clock, long id, Outcome outcome, long elapsedNanoseconds) {
        Request request = requests.get(id);
        if (request != null) {
            write(controller.dependencyCallEnded(seconds(clock), request, outcome,
                    elapsedNanoseconds / NANOSECONDS_PER_SECOND));
        }
    }

    void runEnded(long clock, long id, Outcome outcome, long elapsedNanoseconds) {
        Request request = requests.get(id);
        if (request != null) {
            touched.add(request);
            write(controller.runEnded(seconds(clock), request, outcome, elapsedNanoseconds / NANOSECONDS_PER_SECOND));
        }
    }

    void callerDisconnected(long clock, long id) {
        Request request = requests.get(id);
        if (request != null) {
            touched.add(request);
            write(controller.callerDisconnected(seconds(clock), request));
        }
    }

    void tick(long clock, double[] gauges) {
        write(controller.tick(seconds(clock), RuntimeGauges.of(settings.gaugeNames(), gauges)));
    }

    void drain(long clock, long nanosecondsToStop) {
        write(controller.drain(seconds(clock), nanosecondsToStop / NANOSECONDS_PER_SECOND));
    }

    /** Forgets the requests that are over, at the end of a batch, as later records of a batch may still name them. */
    void forgetEnded() {
        for (Request request : touched) {
            if (failed || !controller.isInFlight(request)) {
                requests.remove(ids.remove(request));
            }
        }
        touched.clear();
    }

    private void write(List<Decision> decisions) {
        decisions.forEach(decision -> decision.applyTo(decisionWriter));
    }

    private double seconds(long clock) {
        return (clock - startedAtNanoseconds) / NANOSECONDS_PER_SECOND;
    }

    /** Writes decisions under the ids of their requests. */
    private final class DecisionWriter implements DecisionHandler {

        private long id(Request request) {
            long id = ids.get(request);
            touched.add(request);
            return id;
        }

        @Override
        public void start(Request request) {
            batch.start(number, id(request));
        }

        @Override
        public void reject(Request request, double retryAfterSeconds, boolean doNotRetryElsewhere) {
            batch.reject(number, id(request), retryAfterSeconds, doNotRetryElsewhere);
        }

        @Override
        public void fail(Request request) {
            batch.fail(number, id(request));
        }

        @Override
        public void cancelRun(Request request) {
            batch.cancelRun(number, id(request));
        }

        @Override
        public void answerFromOriginal(Request request) {
            batch.answerFromOriginal(number, id(request));
        }

        @Override
        public void rememberIdempotencyKey(Request request, double windowSeconds) {
            batch.rememberIdempotencyKey(number, id(request), windowSeconds);
        }

        @Override
        public void forgetIdempotencyKey(Request request) {
            batch.forgetIdempotencyKey(number, id(request));
        }

        @Override
        public void callDependency(Request request, double timeoutSeconds) {
            batch.callDependency(number, id(request), timeoutSeconds);
        }

        @Override
        public void skipDependencyCall(Request request) {
            batch.skipDependencyCall(number, id(request));
        }

        @Override
        public void postAdmissionLevel(double level) {
            batch.postAdmissionLevel(number, level);
        }

        @Override
        public void setHealth(boolean healthy) {
            batch.setHealth(number, healthy);
        }

        @Override
        public void closeIdleConnections(double idleSeconds) {
            batch.closeIdleConnections(number, idleSeconds);
        }

        @Override
        public void scheduleTick(double delaySeconds) {
            batch.scheduleTick(number, delaySeconds);
        }
    }
}
