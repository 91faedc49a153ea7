package topazladder.net.hall;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import topazladder.config.ServiceSettings.Address;
import topazladder.hall.Saying;
import topazladder.hall.Saying.Command;

/**
 * An operator's side: one command to one member over the link between members, and its answer. Waits; not for the
 * program.
 */
public final class FleetClient {
    private static final int WAIT_SECONDS = 8;

    private FleetClient() {}

    /**
     * @return what became of it; not done where the member did not answer, which says nothing of whether it was done
     */
    public static Saying.Told ask(Address member, byte[] key, Command command) throws InterruptedException {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
        CompletableFuture<Saying.Told> answer = new CompletableFuture<>();
        try {
            vertx.runOnContext(v -> {
                HallLinks links = new HallLinks(vertx, new Greetings.Who(Greetings.OPERATOR, System.nanoTime()),
                        () -> List.of(key),
                        (from, what) -> {
                            if (what instanceof Saying.Told t) {
                                answer.complete(t);
                            }
                        }, new LinkTraffic());
                links.say(member, new Saying.Order(1, command));
            });
            return answer.get(WAIT_SECONDS, TimeUnit.SECONDS);
        } catch (TimeoutException e) {
            return new Saying.Told(1, false, "no answer of " + member.host() + ":" + member.port()
                    + "; is it there, and is the key its own?");
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        } finally {
            vertx.close();
        }
    }
}
