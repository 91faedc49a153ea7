package topazladder.delivery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import topazladder.config.FieldSource;
import topazladder.config.QueueSettings;
import topazladder.config.QueueSettings.Fields;
import topazladder.config.QueueSettings.Route;
import topazladder.config.SettingsReader;
import topazladder.delivery.BrokerPort.Publication;
import topazladder.delivery.Delivery.Properties;
import topazladder.service.Counters;
import topazladder.service.RequestDispatcher;

/** One consumer between a broker and a dispatcher that a test plays by hand. */
class ConsumerTest {
    private static final SettingsReader SETTINGS = SettingsReader.ofLines("""
        Classes.count=3
        Classes.0.Name=place
        Classes.0.Idempotency=keyed
        Classes.0.WindowNs=12000000000
        Classes.0.DeadlineNs=5000000000
        Classes.1.Name=invoice
        Classes.1.Idempotency=unsafe
        Classes.1.DeadlineNs=5000000000
        Classes.2.Name=prices
        Classes.2.Idempotency=safe
        Classes.2.DeadlineNs=5000000000
        Extra.Cores=1
        Extra.MemoryKb=1000
        """);
    private static final double NOW = 1000;
    private static final int MAX_ATTEMPTS = 8;
    private static final int NEVER_REJECTED = 0;

    private final List<String> toBroker = new ArrayList<>();
    private final List<Publication> publications = new ArrayList<>();
    private final List<Runnable> timers = new ArrayList<>();
    private final Consumer consumer = consumer(true);

    private Consumer consumer(boolean runUnknownRedelivered) {
        return consumer(runUnknownRedelivered, new Route("later", "orders"));
    }

    private Consumer consumer(boolean runUnknownRedelivered, Route delayRoute) {
        Fields fields = new Fields(FieldSource.of("", "header:offering"), null, FieldSource.of("", "header:mark"), null,
                null, false);
        QueueSettings queue = new QueueSettings("orders", fields, 8, MAX_ATTEMPTS, 100, delayRoute,
                new Route("dead", "orders"), 10, runUnknownRedelivered);
        Counters counters = new Counters();
        RequestDispatcher dispatcher = new RequestDispatcher(() -> NOW, SETTINGS, null, null, null, null, counters);
        return new Consumer(() -> NOW, (seconds, task) -> timers.add(task), dispatcher, counters, () -> "request",
                new RecordingBroker(), SETTINGS, List.of(queue));
    }

    private static Delivery delivery(String requestClass, boolean redelivered) {
        return delivery(requestClass, redelivered, NEVER_REJECTED);
    }

    private static Delivery delivery(String requestClass, boolean redelivered, int rejections) {
        return delivery(Map.of("offering", requestClass, "mark", "m"), redelivered, rejections);
    }

    private static Delivery delivery(Map<String, String> headers, boolean redelivered, int rejections) {
        return new Delivery("orders", 1, redelivered, "", "orders", headers,
                new Properties("id", null, null, null, 0, 0, -1), rejections, new byte[1]);
    }

    /** Has the broker confirm the last copy, and returns the headers with which it will come. */
    private Map<String, String> confirmLastCopy(Consumer of) {
        of.published(publications.size(), true);
        return publications.get(publications.size() - 1).headers();
    }

    // A copy on the delay route comes as a new message: what had run at an instance that died ran a second time.
    @Test
    void redeliveredMessageThatMayHaveRunIsNotCopiedToRunAgainByAConsumerThatLeaves() {
        consumer.leave();
        consumer.delivered(delivery("invoice", true));
        assertThat(toBroker).containsExactly("stop", "publish to dead");
    }

    @Test
    void firstDeliveryOfAMessageThatMustRunOnceIsCopiedByAConsumerThatLeaves() {
        consumer.leave();
        consumer.delivered(delivery("invoice", false));
        assertThat(toBroker).containsExactly("stop", "publish to later");
    }

    @Test
    void redeliveredMessageWithAKeyIsHandedBackByAConsumerThatLeavesWhateverIsKnownOfIt() {
        for (boolean runUnknownRedelivered : new boolean[] {true, false}) {
            toBroker.clear();
            Consumer leaves = consumer(runUnknownRedelivered);
            leaves.leave();
            leaves.delivered(delivery("place", true));
            assertThat(toBroker).containsExactly("stop", "hand back");
        }
    }

    // A copy bore the number of tries of its original, whose record had it acknowledged unrun when it came again.
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3})
    void deferredCopyThatComesAgainBehindALostLinkIsNotTakenForTheMessageThatItReplaces(int rejections) {
        Delivery message = delivery("prices", false, rejections);
        for (int tries = rejections + 1; tries < MAX_ATTEMPTS; tries++) {
            consumer.delivered(message);
            Map<String, String> headers = confirmLastCopy(consumer);
            assertThat(headers).containsEntry(Mapping.TRIES, String.valueOf(tries));
            consumer.linkLost();
            toBroker.clear();
            message = delivery(headers, true, NEVER_REJECTED);
        }
        consumer.delivered(message);
        assertThat(toBroker).containsExactly("publish to dead");
    }

    // The same where the copy is made by a consumer that leaves: unrun, it was acknowledged and lay on no queue.
    @Test
    void copyMadeWhileLeavingThatComesAgainIsNotTakenForTheMessageThatItReplaces() {
        consumer.leave();
        consumer.delivered(delivery("invoice", false, 1));
        Map<String, String> headers = confirmLastCopy(consumer);
        consumer.delivered(delivery(headers, true, NEVER_REJECTED));
        assertThat(toBroker).containsExactly("stop", "publish to later", "acknowledge", "publish to dead");
    }

    // A dead letter bore the number of tries of its original: sent again by whoever looked at it, it was acknowledged
    // unrun when it came again.
    @ParameterizedTest
    @ValueSource(strings = {"prices", "place"})
    void deadLetterThatIsSentAgainAndComesAgainIsNotTakenForTheMessageThatItReplaces(String requestClass) {
        Map<String, String> headers = Map.of("offering", requestClass, "mark", "m", Mapping.TRIES,
                String.valueOf(MAX_ATTEMPTS - 1));
        for (int sent = 0; sent < 3; sent++) {
            toBroker.clear();
            consumer.delivered(delivery(headers, sent > 0, NEVER_REJECTED));
            headers = confirmLastCopy(consumer);
            assertThat(toBroker).containsExactly("publish to dead", "acknowledge");
            assertThat(headers).containsEntry(Mapping.TRIES, String.valueOf(MAX_ATTEMPTS + sent));
        }
    }

    @Test
    void deadLetterOfAMessageThatCannotBeMappedKeepsItsHeaders() {
        consumer.delivered(delivery(Map.of("offering", "unheard-of", Mapping.TRIES, "none"), false, NEVER_REJECTED));
        assertThat(confirmLastCopy(consumer)).containsEntry(Mapping.TRIES, "none");
    }

    // A message of the same id and body, sent anew without the headers of a dead letter, was acknowledged unrun once
    // it came back from where this instance itself had put it.
    @Test
    void messageThatThisInstanceReturnedIsNotTakenForAnEarlierOneOfItsIdThatWasDeadLettered() {
        Consumer returns = consumer(true, null);
        Delivery message = delivery("prices", false);
        for (int tries = 1; tries < MAX_ATTEMPTS; tries++) {
            returns.delivered(message);
            timers.remove(0).run();
            message = delivery("prices", true);
        }
        returns.delivered(message);
        confirmLastCopy(returns);
        toBroker.clear();
        returns.delivered(delivery("prices", false));
        timers.remove(0).run();
        returns.delivered(delivery("prices", true));
        timers.remove(0).run();
        assertThat(toBroker).containsExactly("hand back", "hand back");
    }

    @Test
    void messageThatWasInHandAsTheLinkBrokeIsNotTakenForAnEarlierOneOfItsIdThatWasDeadLettered() {
        Delivery first = delivery(Map.of("offering", "prices", Mapping.TRIES, String.valueOf(MAX_ATTEMPTS - 1)), false,
                NEVER_REJECTED);
        consumer.delivered(first);
        confirmLastCopy(consumer);
        toBroker.clear();
        consumer.delivered(first);
        consumer.linkLost();
        consumer.delivered(delivery(first.headers(), true, NEVER_REJECTED));
        assertThat(toBroker).containsExactly("publish to dead", "publish to dead");
        confirmLastCopy(consumer);
        consumer.linkLost();
        consumer.delivered(delivery(first.headers(), true, NEVER_REJECTED));
        assertThat(toBroker).as("this one's acknowledgement was lost").endsWith("acknowledge", "acknowledge");
    }

    @Test
    void messageWhoseAcknowledgementWasLostIsAcknowledgedAgainAndNotCopiedAgain() {
        for (String requestClass : List.of("prices", "place", "invoice")) {
            toBroker.clear();
            Consumer defers = consumer(true);
            defers.delivered(delivery(requestClass, false, 1));
            confirmLastCopy(defers);
            defers.linkLost();
            defers.delivered(delivery(requestClass, true, 1));
            assertThat(toBroker).containsExactly("publish to later", "acknowledge", "acknowledge");
            publications.clear();
        }
    }

    /** Writes down what the broker is told. */
    private final class RecordingBroker implements BrokerPort {

        @Override
        public void prefetch(String queue, int most) {}

        @Override
        public void stop(String queue) {
            toBroker.add("stop");
        }

        @Override
        public void acknowledge(String queue, long tag) {
            toBroker.add("acknowledge");
        }

        @Override
        public void reject(String queue, long tag, boolean back) {
            toBroker.add(back ? "hand back" : "reject");
        }

        @Override
        public void publish(long number, Publication what) {
            publications.add(what);
            toBroker.add("publish to " + what.exchange());
        }
    }
}
