package topazladder.net.cluster;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import topazladder.cluster.ClusterMessage;
import topazladder.cluster.ClusterMessage.Command;
import topazladder.config.ServiceSettings.Address;

/**
 * Sends an operator's command to one member, over the same protocol as between members, and waits for the result. It
 * blocks, so a running instance must not use it.
 */
public final class OperatorClient {
    private static final int TIMEOUT_SECONDS = 8;

    private OperatorClient() {}

    /**
     * Sends one command.
     *
     * @return its result; not done where the member did not answer in time, in which case the command may have been run
     *     all the same
     */
    public static ClusterMessage.CommandResponse send(Address member, byte[] key, Command command)
            throws InterruptedException {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
        CompletableFuture<ClusterMessage.CommandResponse> result = new CompletableFuture<>();
        try {
            vertx.runOnContext(v -> {
                OutboundLinks links = new OutboundLinks(vertx,
                        new GreetingCodec.Identity(GreetingCodec.OPERATOR, System.nanoTime()), () -> List.of(key),
                        (from, message) -> {
                            if (message instanceof ClusterMessage.CommandResponse told) {
                                result.complete(told);
                            }
                        }, new LinkTraffic());
                links.send(member, new ClusterMessage.CommandRequest(1, command));
            });
            return result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (TimeoutException e) {
            return new ClusterMessage.CommandResponse(1, false,
                    "no answer from " + member.host() + ":" + member.port() + " within "
                            + TIMEOUT_SECONDS
                            + " s; check that a member listens there and that --key-file has its key");
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        } finally {
            vertx.close();
        }
    }
}
