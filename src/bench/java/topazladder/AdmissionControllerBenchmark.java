package topazladder;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import topazladder.admission.AdmissionController;
import topazladder.admission.AdmissionSettings;
import topazladder.admission.RuntimeGauges;
import topazladder.request.Decision;
import topazladder.request.Outcome;
import topazladder.request.Request;
import topazladder.request.RequestClass;
import topazladder.request.Tenant;

/**
 * What one request and one tick cost the decision module, by classes and tenants in its settings. A request here is its
 * arrival and the end of its run, at 93 requests a second of virtual time with runs of 0.3 s, so that about 28 are in
 * hand.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(value = 1, jvmArgs = {"-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC"})
public class AdmissionControllerBenchmark {
    private static final double GAP = 1.0 / 93;
    private static final int IN_FLIGHT = 28;
    private static final double RUN = 0.3;
    private static final RuntimeGauges GAUGES =
            new RuntimeGauges(Map.of(RuntimeGauges.CORE_USE, 0.8, RuntimeGauges.ON_CORES, 28.0));

    @Param({"1", "100", "1000", "5200"})
    private int classes;
    @Param({"100", "33000"})
    private int tenants;

    private AdmissionController admissionController;
    private final List<RequestClass> requestClasses = new ArrayList<>();
    private final List<Tenant> allTenants = new ArrayList<>();
    private final SplittableRandom chance = new SplittableRandom(1);
    private final Request[] inFlight = new Request[IN_FLIGHT];
    private int next;
    private double now;

    @Setup
    public void open() {
        for (int i = 0; i < classes; i++) {
            requestClasses
                    .add(new RequestClass("route-" + i, RequestClass.Idempotency.RETRY_SAFE, 1.8, 4.6, 1, 0, 0, false,
                            0));
        }
        for (int i = 0; i < tenants; i++) {
            allTenants.add(new Tenant("tenant-" + i, 1.0 / tenants, 93));
        }
        admissionController = new AdmissionController(new SplittableRandom(1),
                AdmissionSettings.builder().requestClasses(requestClasses).cores(40).memoryKilobytes(1e9).build());
        admissionController.start(0);
        for (int i = 0; i < IN_FLIGHT * 100; i++) {
            request();
        }
    }

    /** One arrives, and the one before the last 28 ends. */
    @Benchmark
    public List<Decision> request() {
        now += GAP;
        Request oldest = inFlight[next];
        if (oldest != null) {
            admissionController.runEnded(now, oldest, Outcome.SUCCEEDED, RUN);
        }
        Request arrives =
                new Request(requestClasses.get(chance.nextInt(classes)), allTenants.get(chance.nextInt(tenants)),
                        chance.nextDouble(), 10, 0, 0, false, false, null);
        inFlight[next] = arrives;
        next = (next + 1) % IN_FLIGHT;
        return admissionController.requestArrived(now, arrives);
    }

    /** A look at all that is in hand. */
    @Benchmark
    public List<Decision> tick() {
        now += 1e-9;
        return admissionController.tick(now, GAUGES);
    }
}
