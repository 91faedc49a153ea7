package topazladder.delivery;

import java.util.Map;

/**
 * One message as a broker delivered it, read but not judged.
 *
 * @param queue it was consumed from
 * @param tag by which it is settled, on the link that it came by and no other
 * @param redelivered it may have been delivered before, here or elsewhere
 * @param headers their values as text
 * @param rejections how often consumers rejected it before, by {@link DeathHeader}
 */
public record Delivery(String queue, long tag, boolean redelivered, String exchange, String routingKey,
        Map<String, String> headers, Properties properties, int rejections, byte[] body) {

    /**
     * What 0-9-1 calls the basic properties, as far as they mean something here; null where absent.
     *
     * @param expiration seconds that the publisher gave the message, or 0
     * @param timestamp Unix seconds by the publisher's clock, or 0
     * @param priority 0 to 255, or -1
     */
    public record Properties(String messageId, String correlationId, String replyTo, String type, double expiration,
            double timestamp, int priority) {

        public static final Properties NONE = new Properties(null, null, null, null, 0, 0, -1);
    }
}
