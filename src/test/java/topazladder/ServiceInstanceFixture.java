package topazladder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import topazladder.config.ExtensionSettings;
import topazladder.config.ServiceSettings;
import topazladder.net.ServiceInstance;

/** One service instance on real sockets between a runtime and an index that a test plays by hand. */
abstract class ServiceInstanceFixture {
    static final String A = "000000000000000a";
    static final String B = "000000000000000b";
    static final String C = "000000000000000c";
    /** The runtime has been up and loaded for an hour. */
    static final String READY_LOADED = "ready LOADED 3600000\r\n";
    /** The runtime has only just come up. */
    static final String READY_EMPTY = "ready EMPTY 1\r\n";

    private static final int DESCRIPTORS = 1024;

    CompletableFuture<Integer> exit;
    StandInLineServer runtime;
    StandInLineServer index;
    int port;
    int descriptors;
    int controlPort = 9;
    ServiceInstance service;

    @BeforeEach
    void start() throws IOException {
        start("");
    }

    void start(String extra) throws IOException {
        startWith(extra, DESCRIPTORS);
    }

    void startWith(String extra, int maxDescriptors) throws IOException {
        descriptors = maxDescriptors;
        exit = new CompletableFuture<>();
        runtime = new StandInLineServer();
        index = new StandInLineServer();
        port = LoopbackPorts.free();
        service = start(settings(extra), ExtensionSettings.NONE, runtime, exit);
    }

    @AfterEach
    void stop() throws Exception {
        service.leave();
        exit.get(20, TimeUnit.SECONDS);
        runtime.close();
        index.close();
    }

    ServiceSettings settings(String extra) {
        return settings(extra, runtime.address());
    }

    ServiceSettings settings(String extra, String runtimeAddress) {
        return settings(extra, runtimeAddress, index.address());
    }

    ServiceSettings settings(String extra, String runtimeAddress, String indexAddress) {
        return ServiceSettings.of("""
            {"name":"n1","listen":"127.0.0.1:%d","runtime":"%s","control":"127.0.0.1:%d","index":"%s",
             "seed":"1","stop_ms":800,"limits":{"sockets":%d},"settings":{"Classes":[
             {"Name":"read","Idempotency":"safe","TargetNs":20000000000,"DeadlineNs":30000000000},
             {"Name":"place","Idempotency":"keyed","TargetNs":20000000000,"DeadlineNs":30000000000,
              "WindowNs":60000000000},
             {"Name":"check","Idempotency":"safe","TargetNs":20000000000,"DeadlineNs":30000000000}],
             "Extra":{%s"Cores":4,"MemoryKb":100000,"Below":"next_hop","CallsByClass":[true,true,true],
             "ClassSkipWorth":[0,0,0.5],"OwnStats":["core_use","on_cores"],"Say":"min_rank"},
             "Orgs":[{"Name":"acme"}]}}""".formatted(port, runtimeAddress, controlPort,
                indexAddress, descriptors, extra), Map.of());
    }

    /** The settings of an instance of the last tier with one request class, {@code read}. */
    static ServiceSettings oneClassSettings(int port, StandInLineServer runtime, int stopMillis) {
        return ServiceSettings.of("""
            {"name":"n1","listen":"127.0.0.1:%d","runtime":"%s","control":"127.0.0.1:9","seed":"1","stop_ms":%d,
             "settings":{"Classes":[{"Name":"read","Idempotency":"safe","DeadlineNs":30000000000}],
             "Extra":{"Cores":4,"MemoryKb":100000,"OwnStats":["core_use","on_cores"]}}}"""
                .formatted(port, runtime.address(), stopMillis), Map.of());
    }

    /** Starts an instance and accepts its link to the runtime, which is not up yet. */
    static ServiceInstance start(ServiceSettings settings, ExtensionSettings extensionSettings,
            StandInLineServer runtime, CompletableFuture<Integer> exit) throws IOException {
        ServiceInstance instance = new ServiceInstance(settings, extensionSettings, exit::complete);
        instance.start();
        runtime.accept();
        assertThat(runtime.receive()).isEqualTo("sync 0");
        return instance;
    }

    /** Returns once the instance answers a health check with good. */
    static void awaitHealthy(int port) throws IOException {
        for (String response = ""; !response.startsWith("33 on 1 code 0");) {
            try (StandInCaller check = new StandInCaller(port)) {
                response = check.send(CallerFrameBuilder.healthCheck(1)).receive();
            }
        }
    }

    /** Connects a caller once the instance is healthy. */
    StandInCaller connectOnceHealthy() throws IOException {
        awaitHealthy(port);
        return new StandInCaller(port);
    }

    void assertRuntimeReceives(String line, int payloadBytes, String payload) throws IOException {
        assertThat(runtime.receive()).isEqualTo(line);
        assertThat(runtime.receivePayload(payloadBytes)).isEqualTo(payload);
    }
}
