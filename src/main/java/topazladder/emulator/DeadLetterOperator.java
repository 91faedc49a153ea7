package topazladder.emulator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import topazladder.broker.Broker;
import topazladder.broker.Broker.Channel;
import topazladder.broker.Message;
import topazladder.delivery.DeathHeader;

/** Whoever looks after a dead-letter queue and sends messages of it again. */
final class DeadLetterOperator {
    private static final String NAME = "operator";
    private static final String CONSUMERS_PREFIX = "x-topazladder-";

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
     * @param asPublished whether they go without what brokers and consumers wrote into their headers
     * @return how many were sent
     */
    int sendAgain(Predicate<Message> wanted, String exchange, boolean asPublished) {
        int sent = 0;
        for (Message message : takeAll()) {
            if (wanted.test(message)) {
                publish(message, exchange, message.routingKey(), asPublished);
                sent++;
            } else {
                publish(message, "", deadLetterQueue, false);
            }
        }
        return sent;
    }

    private void publish(Message message, String exchange, String routingKey, boolean asPublished) {
        Map<String, Object> headers = new LinkedHashMap<>(message.headers());
        if (asPublished) {
            headers.keySet().removeIf(name -> name.startsWith(CONSUMERS_PREFIX) || name.equals(DeathHeader.NAME));
        }
        broker.publish(exchange, routingKey, headers, message.props(), message.body());
    }

    private List<Message> takeAll() {
        List<Message> all = new ArrayList<>();
        Channel channel = broker.channel(NAME);
        channel.consume(deadLetterQueue, NAME, true, (consumerTag, tag, again, message) -> all.add(message));
        channel.close();
        return all;
    }
}
