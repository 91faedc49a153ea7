package topazladder.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import topazladder.broker.Broker;
import topazladder.broker.Broker.Channel;
import topazladder.broker.Message;

/** Whoever looks after a dead-letter queue and sends messages of it again, as they are, with all their headers. */
final class DeadLetterOperator {
    private static final String NAME = "operator";

    private final Broker broker;
    private final String deadLetterQueue;

    DeadLetterOperator(Broker broker, String deadLetterQueue) {
        this.broker = broker;
        this.deadLetterQueue = deadLetterQueue;
    }

    /**
     * Sends the messages that are wanted to an exchange, by the routing keys that they have; the others stay.
     *
     * @param exchange where they go
     * @return how many were sent
     */
    int sendAgain(Predicate<Message> wanted, String exchange) {
        int sent = 0;
        for (Message message : takeAll()) {
            if (wanted.test(message)) {
                publish(message, exchange, message.routingKey());
                sent++;
            } else {
                publish(message, "", deadLetterQueue);
            }
        }
        return sent;
    }

    private void publish(Message message, String exchange, String routingKey) {
        broker.publish(exchange, routingKey, message.headers(), message.props(), message.body());
    }

    private List<Message> takeAll() {
        List<Message> all = new ArrayList<>();
        Channel channel = broker.channel(NAME);
        channel.consume(deadLetterQueue, NAME, true, (consumerTag, tag, again, message) -> all.add(message));
        channel.close();
        return all;
    }
}
