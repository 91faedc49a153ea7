package topazladder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import topazladder.config.ServiceSettings;
import topazladder.net.ServiceInstance;

/** One service instance on real sockets between a runtime and an index that a test plays by hand. */
abstract class ServiceBench {
    static final String A = "000000000000000a";
    static final String B = "000000000000000b";
    static final String C = "000000000000000c";

    CompletableFuture<Integer> exit;
    Peer runtime;
    Peer index;
    int port;
    int sockets;
    int control = 9;
    ServiceInstance service;

    @BeforeEach
    void start() throws IOException {
        start("");
    }

    void start(String extra) throws IOException {
        startWith(extra, 1024);
    }

    void startWith(String extra, int most) throws IOException {
        sockets = most;
        exit = new CompletableFuture<>();
        runtime = new Peer();
        index = new Peer();
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        service = new ServiceInstance(terms(extra), exit::complete);
        service.start();
        runtime.accept();
        assertThat(runtime.hear()).isEqualTo("sync 0");
    }

    @AfterEach
    void stop() throws Exception {
        service.leave();
        exit.get(20, TimeUnit.SECONDS);
        runtime.close();
        index.close();
    }

    ServiceSettings terms(String extra) {
        return terms(extra, runtime.address());
    }

    ServiceSettings terms(String extra, String runtimeAt) {
        return terms(extra, runtimeAt, index.address());
    }

    ServiceSettings terms(String extra, String runtimeAt, String indexAt) {
        return ServiceSettings.of("""
            {"name":"n1","listen":"127.0.0.1:%d","runtime":"%s","control":"127.0.0.1:%d","index":"%s",
             "seed":"1","stop_ms":800,"limits":{"sockets":%d},"settings":{"Classes":[
             {"Name":"read","Idempotency":"safe","TargetNs":20000000000,"DeadlineNs":30000000000},
             {"Name":"place","Idempotency":"keyed","TargetNs":20000000000,"DeadlineNs":30000000000,
              "WindowNs":60000000000},
             {"Name":"check","Idempotency":"safe","TargetNs":20000000000,"DeadlineNs":30000000000}],
             "Extra":{%s"Cores":4,"MemoryKb":100000,"Below":"next_hop","CallsByClass":[true,true,true],
             "ClassSkipWorth":[0,0,0.5],"OwnStats":["core_use","on_cores"],"Say":"min_rank"},
             "Orgs":[{"Name":"acme"}]}}""".formatted(port, runtimeAt, control,
                indexAt, sockets, extra), Map.of());
    }

    /** A caller, once the instance says that it is good. */
    Stub up() throws IOException {
        for (String said = ""; !said.startsWith("33 on 1 code 0");) {
            try (Stub check = new Stub(port)) {
                said = check.send(Frames.frame(32, 1, Frames.fields())).hear();
            }
        }
        return new Stub(port);
    }

    void hears(String line, int bytes, String body) throws IOException {
        assertThat(runtime.hear()).isEqualTo(line);
        assertThat(runtime.hear(bytes)).isEqualTo(body);
    }
}
