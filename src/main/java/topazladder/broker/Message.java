package topazladder.broker;

import java.util.Map;

/**
 * A message on the stand-in broker.
 *
 * @param id the ledger's own number, which no protocol shows
 * @param headers the application's, with x-death once a queue dead-lettered it
 */
public record Message(long id, String exchange, String routingKey, Map<String, Object> headers, Props props,
        byte[] body) {

    /**
     * The basic properties that the stand-in keeps; null where absent.
     *
     * @param expiration milliseconds as text, as on the wire
     */
    public record Props(String contentType, Integer deliveryMode, Integer priority, String correlationId,
            String replyTo,
            String expiration, String messageId, Long timestamp, String type, String userId, String appId) {

        public static final Props NONE = new Props(null, null, null, null, null, null, null, null, null, null, null);
    }

    Message with(long newId, String newExchange, String newKey, Map<String, Object> newHeaders, Props newProps) {
        return new Message(newId, newExchange, newKey, newHeaders, newProps, body);
    }
}
