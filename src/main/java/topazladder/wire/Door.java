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
import topazladder.request.Outcome;
import topazladder.request.Request;

/** One server's door to its Admission controller: ids to objects, nanoseconds to seconds, and back. */
final class Door {
    private final int instance;
    private final long born;
    private final Reply reply;
    /** Emptied at the end of each batch of what the Admission controller no longer has in hand. */
    private final Map<Long, Request> requests = new HashMap<>();
    private final Map<Request, Long> ids = new HashMap<>();
    /** Touched in this batch, so perhaps over; emptied at the end of each. */
    private final List<Request> touched = new ArrayList<>();
    private SettingsReader terms;
    private AdmissionController admissionController;
    private boolean failed;

    Door(int instance, long born, Reply reply) {
        this.instance = instance;
        this.born = born;
        this.reply = reply;
    }

    /** A fault of the decisions is told on the wire, as a fault of the wire itself must not be. */
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
            reply.fatal(instance, e.toString());
        }
    }

    void start(long seed, String text) {
        terms = SettingsReader.ofLines(text);
        admissionController = new AdmissionController(new SplittableRandom(seed), terms.admissionSettings());
        rule(admissionController.start(0));
    }

    void arrive(long clock, WireHost.Arrival a) {
        if (a.requestClass() >= terms.requestClasses().size()) {
            throw new MalformedWireException("ticket " + a.id() + " is of an unknown class: " + a.requestClass());
        }
        if (!terms.tenants().isEmpty() && a.tenant() >= terms.tenants().size()) {
            throw new MalformedWireException("ticket " + a.id() + " is of an unknown tenant: " + a.tenant());
        }
        if (!(a.footprint() >= 0) || !(a.rank() >= 0 && a.rank() <= 1) || a.waited() < 0 || a.left() < 0) {
            throw new MalformedWireException("ticket " + a.id() + " has an impossible field");
        }
        Request request = new Request(terms.requestClasses().get(a.requestClass()),
                terms.tenants().isEmpty() ? null : terms.tenants().get(a.tenant()),
                a.rank(), a.footprint(), a.waited() / 1e9, a.left() / 1e9, (a.bits() & 2) != 0,
                a.original() != 0, requests.get(a.original()));
        requests.put(a.id(), request);
        ids.put(request, a.id());
        touched.add(request);
        rule(admissionController.requestArrived(seconds(clock), request));
    }

    void callWanted(long clock, long id) {
        Request request = requests.get(id);
        if (request != null) {
            rule(admissionController.dependencyCallRequested(seconds(clock), request));
        }
    }

    void callEnded(long clock, long id, Outcome ending, long elapsed) {
        Request request = requests.get(id);
        if (request != null) {
            rule(admissionController.dependencyCallEnded(seconds(clock), request, ending, elapsed / 1e9));
        }
    }

    void runEnded(long clock, long id, Outcome ending, long elapsed) {
        Request request = requests.get(id);
        if (request != null) {
            touched.add(request);
            rule(admissionController.runEnded(seconds(clock), request, ending, elapsed / 1e9));
        }
    }

    void callerGone(long clock, long id) {
        Request request = requests.get(id);
        if (request != null) {
            touched.add(request);
            rule(admissionController.callerDisconnected(seconds(clock), request));
        }
    }

    void timer(long clock, float[] readings) {
        double[] values = new double[readings.length];
        for (int i = 0; i < readings.length; i++) {
            values[i] = readings[i];
        }
        rule(admissionController.tick(seconds(clock), RuntimeGauges.of(terms.gaugeNames(), values)));
    }

    void leave(long clock, long left) {
        rule(admissionController.drain(seconds(clock), left / 1e9));
    }

    void sweep() {
        for (Request request : touched) {
            if (failed || !admissionController.isInFlight(request)) {
                requests.remove(ids.remove(request));
            }
        }
        touched.clear();
    }

    private void rule(List<Decision> decisions) {
        for (Decision decision : decisions) {
            long id = 0;
            if (decision instanceof Decision.OnRequest onRequest) {
                id = ids.get(onRequest.request());
                touched.add(onRequest.request());
            }
            reply.add(instance, decision, id);
        }
    }

    private double seconds(long clock) {
        return (clock - born) / 1e9;
    }
}
