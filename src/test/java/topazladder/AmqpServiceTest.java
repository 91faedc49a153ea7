package topazladder;

import static org.assertj.core.api.Assertions.assertThat;
import static topazladder.CallerFrameBuilder.request;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.ClientAuth;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.PemTrustOptions;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyStore;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import topazladder.broker.Broker;
import topazladder.broker.BrokerServer;
import topazladder.broker.BrokerServer.Harm;
import topazladder.broker.BrokerServer.Script;
import topazladder.broker.Ledger;
import topazladder.broker.Ledger.What;
import topazladder.broker.Message;
import topazladder.broker.Message.Props;
import topazladder.config.ExtensionSettings;
import topazladder.config.ExtensionSettingsFile;
import topazladder.config.ServiceSettings;
import topazladder.net.ServiceInstance;
import topazladder.rig.OnLoop;

/** A service instance that consumes from the stand-in broker, on loopback, with harm done by script. */
@Timeout(60)
class AmqpServiceTest {
    private static final String QUEUE = """
        queues { name: "orders" offering: "header:offering" fingerprint: "header:mark" prefetch: 8 tries: 3
          body_bytes: 1000 delay { exchange: "later" } dead_letter { exchange: "dead" } }
        """;

    @TempDir
    private Path folder;
    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final Ledger ledger = new Ledger();
    private final CompletableFuture<Integer> exit = new CompletableFuture<>();
    private Broker broker;
    private BrokerServer server;
    private StandInLineServer runtime;
    private ServiceInstance service;
    private int port;
    private int brokerPort;
    private int notices;

    @BeforeEach
    void listen() throws Exception {
        runtime = new StandInLineServer();
        broker = onLoop(() -> {
            Broker b = new Broker(() -> System.nanoTime() / 1e9,
                    (s, what) -> vertx.setTimer(Math.max(1, Math.round(s * 1000)), id -> what.run()), ledger);
            b.declareExchange("later", "direct", false);
            b.declareExchange("dead", "fanout", false);
            b.declareQueue("orders", Map.of(), true, false);
            b.declareQueue("dead", Map.of(), true, false);
            b.bind("dead", "dead", "", Map.of());
            b.declareQueue("orders.later", Map.of("x-dead-letter-exchange", "", "x-dead-letter-routing-key", "orders"),
                    true, false);
            b.bind("orders.later", "later", "orders", Map.of());
            b.declareQueue("answers", Map.of(), true, false);
            return b;
        });
        server = new BrokerServer(vertx, broker, new BrokerServer.Terms("desk", "secret", 1, 8192),
                new NetServerOptions());
        brokerPort = await(server.listen().toCompletionStage().toCompletableFuture());
        Files.writeString(folder.resolve("password"), "secret\n");
    }

    @AfterEach
    void stop() throws Exception {
        if (service != null) {
            service.leave();
            exit.get(20, TimeUnit.SECONDS);
        }
        runtime.close();
        await(vertx.close().toCompletionStage().toCompletableFuture());
    }

    private static <T> T await(CompletableFuture<T> f) throws Exception {
        return f.get(20, TimeUnit.SECONDS);
    }

    private <T> T onLoop(Supplier<T> what) throws Exception {
        return OnLoop.get(vertx, what);
    }

    private ExtensionSettings settings(int at, String more) {
        return ExtensionSettingsFile
                .of("brokers { name: \"main\" address: \"127.0.0.1:" + at + "\" heartbeat: 1 " + more + " "
                        + QUEUE + " }", folder);
    }

    private void serve(String more) throws Exception {
        serve(settings(brokerPort, more));
    }

    private void serve(ExtensionSettings own) throws Exception {
        port = LoopbackPorts.free();
        service = ServiceInstanceFixture.start(ServiceSettings.of("""
            {"name":"n1","listen":"127.0.0.1:%d","runtime":"%s","control":"127.0.0.1:9","seed":"1","stop_ms":1500,
             "settings":{"Classes":[
             {"Name":"read","Idempotency":"safe","TargetNs":20000000000,"DeadlineNs":30000000000},
             {"Name":"place","Idempotency":"keyed","TargetNs":20000000000,"DeadlineNs":30000000000,
              "WindowNs":60000000000,"Importance":10},
             {"Name":"invoice","Idempotency":"unsafe","TargetNs":20000000000,"DeadlineNs":30000000000,
              "Importance":10}],
             "Extra":{"Cores":1,"MemoryKb":100000,"OwnStats":["core_use","on_cores"]}}}"""
                .formatted(port, runtime.address()), Map.of()), own, runtime, exit);
        runtime.send(ServiceInstanceFixture.READY_LOADED);
    }

    private void publish(String id, String requestClass, String mark, String body, String replyTo) throws Exception {
        onLoop(() -> {
            Map<String, Object> headers = new LinkedHashMap<>(Map.of("offering", requestClass));
            if (mark != null) {
                headers.put("mark", mark);
            }
            return broker.publish("", "orders", headers, new Props(null, 2, null, "c-" + id, replyTo, null, id, null,
                    null,
                    null, null), body.getBytes(StandardCharsets.UTF_8));
        });
    }

    /** The next run that the runtime is told to begin: its ref. */
    private String begins(String requestClass, String body) throws IOException {
        String[] words = runtime.receive().split(" ");
        assertThat(words[0] + " " + words[2]).isEqualTo("start " + requestClass);
        assertThat(runtime.receivePayload(Integer.parseInt(words[3]))).isEqualTo(body);
        return words[1];
    }

    private void passes(String ref, String result) throws IOException {
        runtime.send("end " + ++notices + " " + ref + " PASS 9 " + result.length() + "\r\n" + result + "\r\n");
    }

    private void until(Supplier<Boolean> what) throws Exception {
        for (int i = 0; i < 400 && !onLoop(what); i++) {
            Thread.sleep(25);
        }
        assertThat(onLoop(what)).as(() -> ledger.entries().toString()).isTrue();
    }

    private long count(What what) {
        return ledger.entries().stream().filter(e -> e.what() == what).count();
    }

    private List<String> waiting(String queue) throws Exception {
        return onLoop(() -> {
            List<String> all = new ArrayList<>();
            for (Message m : broker.waiting(queue)) {
                all.add(new String(m.body(), StandardCharsets.UTF_8));
            }
            return all;
        });
    }

    private static Script harm(String method, int nth, Harm harm, boolean received) {
        return new Script() {
            @Override
            public Harm received(String m, int n) {
                return received && m.equals(method) && n == nth ? harm : Harm.NONE;
            }

            @Override
            public Harm sent(String m, int n) {
                return !received && m.equals(method) && n == nth ? harm : Harm.NONE;
            }
        };
    }

    @Test
    void aDeliveryRunsIsAnsweredAndAcknowledged() throws Exception {
        serve("user: \"desk\" password_file: \"password\"");
        publish("1", "place", "F", "order", "answers");
        passes(begins("place", "order"), "done");
        until(() -> count(What.ACKNOWLEDGED) == 1);
        assertThat(waiting("answers")).containsExactly("done");
        assertThat(onLoop(() -> broker.waiting("answers").get(0).props().correlationId())).isEqualTo("c-1");
    }

    @Test
    void anAcknowledgementThatIsLostWithItsLinkLeadsToNoSecondRun() throws Exception {
        onLoop(() -> {
            server.script(harm("basic.ack", 1, Harm.LOSE_AND_CUT, true));
            return null;
        });
        serve("user: \"desk\" password_file: \"password\"");
        publish("1", "place", "F", "order", null);
        passes(begins("place", "order"), "done");
        until(() -> count(What.LINK_LOST) == 1 && count(What.ACKNOWLEDGED) == 1);
        publish("2", "read", null, "next", null);
        passes(begins("read", "next"), "x"); // what the runtime hears next is no second order
        until(() -> count(What.ACKNOWLEDGED) == 2);
    }

    @Test
    void aBindingMessageThatCameBeforeIsNeverRunAgainWhereNothingIsKnownOfIt() throws Exception {
        publish("1", "invoice", null, "bill", null);
        onLoop(() -> {
            // Another instance had it, and went with its link.
            Broker.Channel other = broker.channel("another");
            other.consume("orders", "t", false, (tag, delivery, again, m) -> {});
            other.close();
            return null;
        });
        serve("user: \"desk\" password_file: \"password\"");
        until(() -> broker.ready("dead") == 1);
        assertThat(onLoop(() -> broker.waiting("dead").get(0).headers().get("x-topazladder-reason")))
                .isEqualTo("may have run: it came before, and nothing is known of it");
    }

    @Test
    void theSameOrderFromACallerAndFromTheBrokerRunsOnce() throws Exception {
        serve("user: \"desk\" password_file: \"password\"");
        ServiceInstanceFixture.awaitHealthy(port);
        try (StandInCaller caller = new StandInCaller(port)) {
            caller.send(request(1, "000000000000000a", "place", "replay", "F"));
            String ref = begins("place", "body");
            publish("1", "place", "F", "body", null);
            until(() -> count(What.DELIVERED) == 1);
            passes(ref, "done");
            assertThat(caller.receive()).isEqualTo("17 on 1 code 0 done");
            until(() -> count(What.ACKNOWLEDGED) == 1);
        }
    }

    @Test
    void whatCanNotBeMappedOrIsTooLargeIsDeadLetteredWithItsReasonAndNeverRuns() throws Exception {
        serve("user: \"desk\" password_file: \"password\"");
        publish("1", "unheard-of", null, "a", null);
        publish("2", "place", null, "b", null);
        publish("3", "read", null, "x".repeat(1001), null);
        publish("4", "read", null, "good", null);
        passes(begins("read", "good"), "x");
        until(() -> broker.ready("dead") == 3 && count(What.ACKNOWLEDGED) == 4);
        assertThat(onLoop(() -> broker.waiting("dead").stream().map(m -> m.headers().get("x-topazladder-reason"))
                .toList()))
                        .containsExactly("not mapped: no known offering", "not mapped: no fingerprint",
                                "not mapped: too large: 1001 bytes");
    }

    @Test
    void onTheNoticeToLeaveWhatHasNotBegunGoesBackAtOnceAndWhatRunsIsSettled() throws Exception {
        serve("user: \"desk\" password_file: \"password\"");
        publish("1", "place", "A", "one", null);
        String first = begins("place", "one");
        for (int i = 2; i < 6; i++) {
            publish(String.valueOf(i), "place", "A" + i, "more", null);
        }
        passes(first, "x"); // the window opens as it ends
        String second = begins("place", "more");
        until(() -> count(What.DELIVERED) >= 2);
        service.leave();
        until(() -> broker.ready("orders") >= 3);
        passes(second, "x");
        assertThat(exit.get(20, TimeUnit.SECONDS)).isZero();
        assertThat(count(What.ACKNOWLEDGED)).isEqualTo(2);
        assertThat(count(What.LINK_LOST)).isZero();
        assertThat(ledger.deliveriesWithoutExactlyOneEnd()).isEmpty();
    }

    // A copy has no x-death: counted without what that header counted, it bore the number of the message it replaced.
    @Test
    void copyOfAMessageThatWasRejectedElsewhereBearsTheNumberOfAllItsTries() throws Exception {
        serve("user: \"desk\" password_file: \"password\"");
        publish("1", "read", null, "one", null);
        passes(begins("read", "one"), "x"); // the window opens as it ends
        publish("2", "read", null, "two", null);
        String second = begins("read", "two");
        onLoop(() -> broker.publish("", "orders", Map.of("offering", "invoice", "x-death",
                List.of(Map.of("queue", "inbox", "reason", "rejected", "count", 1L, "exchange", ""))),
                new Props(null, 2, null, null, null, null, "3", null, null, null, null), "bill".getBytes(
                        StandardCharsets.UTF_8)));
        until(() -> count(What.DELIVERED) == 3);
        service.leave();
        until(() -> broker.ready("orders") == 1 && count(What.EXPIRED) == 1);
        assertThat(onLoop(() -> broker.waiting("orders").get(0).headers().get("x-topazladder-tries"))).isEqualTo("2");
        passes(second, "x");
        assertThat(exit.get(20, TimeUnit.SECONDS)).isZero();
    }

    @Test
    void theBrokerVanishesInTheMiddleOfADrainAndTheInstanceEndsInTime() throws Exception {
        serve("user: \"desk\" password_file: \"password\"");
        publish("1", "place", "A", "one", null);
        String ref = begins("place", "one");
        service.leave();
        onLoop(() -> {
            server.vanish();
            return null;
        });
        passes(ref, "x");
        assertThat(exit.get(20, TimeUnit.SECONDS)).isZero();
        assertThat(waiting("orders")).containsExactly("one");
    }

    @Test
    void linksThatAreCutWithinAFrameOrLieAboutASizeOrGoSilentAreTakenAnew() throws Exception {
        for (Harm harm : List.of(Harm.CUT_WITHIN, Harm.WRONG_SIZE, Harm.STALL)) {
            onLoop(() -> {
                server.script(harm("basic.deliver", 1, harm, false));
                return null;
            });
            if (service == null) {
                serve("user: \"desk\" password_file: \"password\"");
            }
            long before = count(What.ACKNOWLEDGED);
            publish(harm.name(), "read", null, harm.name(), null);
            passes(begins("read", harm.name()), "x");
            until(() -> count(What.ACKNOWLEDGED) == before + 1);
        }
        assertThat(count(What.LINK_LOST)).isEqualTo(3);
    }

    @Test
    void aCancelledConsumerAndAChannelErrorEndNothingElse() throws Exception {
        serve("user: \"desk\" password_file: \"password\"");
        publish("1", "read", null, "one", null);
        passes(begins("read", "one"), "x");
        until(() -> count(What.ACKNOWLEDGED) == 1);
        onLoop(() -> {
            server.delete("orders");
            return null;
        });
        Thread.sleep(300); // it asks for a queue that is not there, which ends its channel each time
        onLoop(() -> {
            broker.declareQueue("orders", Map.of(), true, false);
            return null;
        });
        publish("2", "read", null, "two", null);
        passes(begins("read", "two"), "x");
        until(() -> count(What.ACKNOWLEDGED) == 2);
        assertThat(onLoop(server::taken)).as("the link itself went on").isEqualTo(2);
    }

    @Test
    void aWrongPasswordIsToldAndTriedAgainUntilItIsRight() throws Exception {
        Files.writeString(folder.resolve("password"), "wrong\n");
        serve("user: \"desk\" password_file: \"password\"");
        until(() -> server.taken() >= 2);
        Files.writeString(folder.resolve("password"), "secret\n");
        service.reloadOwn(() -> settings(brokerPort, "user: \"desk\" password_file: \"password\""));
        publish("1", "read", null, "one", null);
        passes(begins("read", "one"), "x");
        until(() -> count(What.ACKNOWLEDGED) == 1);
    }

    @Test
    void theExampleDeclaresItsTopologyAndADelayedMessageComesBackToItsQueue() throws Exception {
        Files.writeString(folder.resolve("broker.password"), "secret\n");
        String example = Files.readString(Path.of("deploy", "amqp.example.txtpb"))
                .replace("127.0.0.1:5672", "127.0.0.1:" + brokerPort).replace("=order-place", "=place")
                .replace("=price-push", "=read");
        serve(ExtensionSettingsFile.of(example, folder));
        until(() -> server.connections() == 2);
        until(() -> {
            try {
                if (broker.consumers("prices") == 0) {
                    return false;
                }
            } catch (Broker.Refused e) {
                return false; // the topology is not made yet
            }
            broker.publish("orders.later", "prices", Map.of("x-topazladder-routing-key", "new.acme"), new Props(null,
                    2, null, null, null,
                    "50", "w", null, null, null, null), "waited".getBytes(StandardCharsets.UTF_8));
            return true;
        });
        passes(begins("read", "waited"), "x");
        until(() -> count(What.ACKNOWLEDGED) == 1);
    }

    @Test
    void aReloadMovesToAnotherBroker() throws Exception {
        BrokerServer next = new BrokerServer(vertx, broker, new BrokerServer.Terms("desk", "secret", 1, 8192),
                new NetServerOptions());
        int other = await(next.listen(LoopbackPorts.free()).toCompletionStage().toCompletableFuture());
        serve("user: \"desk\" password_file: \"password\"");
        until(() -> server.connections() == 2);
        service.reloadOwn(() -> settings(other, "user: \"desk\" password_file: \"password\""));
        until(() -> server.connections() == 0 && next.connections() == 2);
        publish("1", "read", null, "one", null);
        passes(begins("read", "one"), "x");
        until(() -> count(What.ACKNOWLEDGED) == 1);
    }

    @Test
    void tenThousandThatWaitAreTakenAsManyAsThereIsRoomFor() throws Exception {
        for (int i = 0; i < 10_000; i++) {
            int n = i;
            if (n % 1000 == 0) {
                onLoop(() -> {
                    for (int k = 0; k < 1000; k++) {
                        broker.publish("", "orders", Map.of("offering", "read"), Props.NONE, new byte[100]);
                    }
                    return null;
                });
            }
        }
        serve("user: \"desk\" password_file: \"password\"");
        int most = 0;
        for (int i = 0; i < 400; i++) {
            String[] words = runtime.receive().split(" ");
            runtime.receivePayload(Integer.parseInt(words[3]));
            most = Math.max(most, 10_000 - onLoop(() -> broker.ready("orders")) - (int) count(What.ACKNOWLEDGED));
            passes(words[1], "x");
        }
        assertThat(most).isBetween(1, 8);
        until(() -> count(What.ACKNOWLEDGED) >= 390);
    }

    @Test
    void tlsWithACertificateOfItsOwnInPlaceOfAPassword() throws Exception {
        keys("broker", "DNS:broker.test");
        keys("desk", "DNS:desk.test");
        BrokerServer secure = new BrokerServer(vertx, broker, new BrokerServer.Terms(null, null, 1, 8192),
                new NetServerOptions().setSsl(true).setClientAuth(ClientAuth.REQUIRED)
                        .setKeyCertOptions(new PemKeyCertOptions().setCertPath(folder.resolve("broker.crt").toString())
                                .setKeyPath(folder.resolve("broker.key").toString()))
                        .setTrustOptions(new PemTrustOptions().addCertPath(folder.resolve("desk.crt").toString())));
        int at = await(secure.listen(LoopbackPorts.free()).toCompletionStage().toCompletableFuture());
        String tls = "external: true tls { trust_file: \"broker.crt\" certificate_file: \"desk.crt\" key_file:"
                + " \"desk.key\""
                + " server_name: \"%s\" }";
        serve(settings(at, tls.formatted("another.test")));
        publish("1", "read", null, "one", null);
        Thread.sleep(1000);
        assertThat(waiting("orders")).as("the certificate bears another name").containsExactly("one");
        service.reloadOwn(() -> settings(at, tls.formatted("broker.test")));
        passes(begins("read", "one"), "x");
        until(() -> count(What.ACKNOWLEDGED) == 1);
    }

    /** A key pair and its own certificate, by the tool that comes with Java. */
    private void keys(String name, String names) throws Exception {
        Path store = folder.resolve(name + ".p12");
        String tool = Path.of(System.getProperty("java.home"), "bin", "keytool").toString();
        Process made = new ProcessBuilder(tool, "-genkeypair", "-alias", name, "-keyalg", "EC", "-groupname",
                "secp256r1",
                "-dname", "CN=" + name, "-ext", "san=" + names, "-validity", "30", "-storetype", "PKCS12", "-keystore",
                store.toString(), "-storepass", "changeit").redirectErrorStream(true).start();
        assertThat(new String(made.getInputStream().readAllBytes(), StandardCharsets.UTF_8)).doesNotContain("error");
        assertThat(made.waitFor()).isZero();
        KeyStore keys = KeyStore.getInstance(store.toFile(), "changeit".toCharArray());
        Files.writeString(folder.resolve(name + ".crt"), pem("CERTIFICATE", keys.getCertificate(name).getEncoded()));
        Files.writeString(folder.resolve(name + ".key"),
                pem("PRIVATE KEY", keys.getKey(name, "changeit".toCharArray()).getEncoded()));
    }

    private static String pem(String kind, byte[] bytes) {
        return "-----BEGIN " + kind + "-----\n" + Base64.getMimeEncoder(64, new byte[] {'\n'}).encodeToString(bytes)
                + "\n-----END " + kind + "-----\n";
    }
}
