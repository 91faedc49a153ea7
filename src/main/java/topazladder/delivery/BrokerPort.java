package topazladder.delivery;

import java.util.Map;
import topazladder.delivery.Delivery.Properties;

/**
 * One link to one broker, as far as the front uses it; nothing here waits. What is said while there is no link is lost.
 */
public interface BrokerPort {

    /**
     * A message to publish.
     *
     * @param delay seconds that it is to wait where its route leads, or 0
     */
    record Publication(String exchange, String routingKey, Map<String, String> headers, Properties properties,
            double delay, byte[] body) {
    }

    /** Deliveries in hand at the most, from now on. */
    void prefetch(String queue, int most);

    /** No more deliveries of this queue; those that are out stay out until they are settled. */
    void stop(String queue);

    void acknowledge(String queue, long tag);

    /** Back to the queue, or else to wherever the queue dead-letters to. */
    void reject(String queue, long tag, boolean back);

    /**
     * With confirmation: {@link Consumer#published} is told under the number, after the broker has it on its queues.
     * What no queue takes comes back, which counts as not published.
     */
    void publish(long number, Publication what);
}
