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
 * One simulated server. It owns an admission controller, maps the simulator's request ids to {@link Request}s and back,
 * and converts the simulator's clock to seconds since the start of the server.
 */
final class SimulatedServer {
    static final double NANOSECONDS_PER_SECOND = 1e9;

    private final int number;
    private final long startedAtNanoseconds;
    private final DecisionBatch batch;
    private final DecisionHandler decisionWriter = new DecisionWriter();
    /** Requests by id. At the end of each batch the requests that are no longer in flight are removed. */
    private final Map<Long, Request> requests = new HashMap<>();
    private final Map<Request, Long> ids = new HashMap<>();
    /** Requests that this batch concerned and that may have ended; cleared at the end of each batch. */
    private final List<Request> touched = new ArrayList<>();
    private SettingsReader settings;
    private AdmissionController controller;
    private boolean failed;

    SimulatedServer(int number, long startedAtNanoseconds, DecisionBatch batch) {
        this.number = number;
        this.startedAtNanoseconds = startedAtNanoseconds;
        this.batch = batch;
    }

    /**
     * Handles one event unless this server has failed. An exception of the controller is reported to the simulator and
     * ends this server; malformed input and invalid settings are rethrown and end the program.
     */
    void handle(Runnable event) {
        if (failed) {
            return;
        }
        try {
            event.run();
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
        validate(arrival);
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

    private void validate(ArrivalRecord arrival) {
        String source = " server=" + number + " request=" + arrival.id();
        if (arrival.requestClass() >= settings.requestClasses().size()) {
            throw new MalformedWireException("unknown request class:" + source + " class=" + arrival.requestClass()
                    + ", expected an index below " + settings.requestClasses().size());
        }
        if (!settings.tenants().isEmpty() && arrival.tenant() >= settings.tenants().size()) {
            throw new MalformedWireException("unknown tenant:" + source + " tenant=" + arrival.tenant()
                    + ", expected an index below " + settings.tenants().size());
        }
        if (!arrival.isValid()) {
            throw new MalformedWireException("request field out of range:" + source + " rank=" + arrival.rank()
                    + " memory_kb=" + arrival.memoryKilobytes() + " queued_ns=" + arrival.queuedNanoseconds()
                    + " remaining_ns=" + arrival.remainingNanoseconds()
                    + ", expected a rank from 0 to 1 and no negative value");
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

    /**
     * Removes the requests that have ended. Called at the end of a batch, as later records of the same batch may still
     * refer to them.
     */
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

    /** Encodes decisions into the batch, with requests replaced by their ids. */
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
