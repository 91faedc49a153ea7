package topazladder.config;

/**
 * How one queue of a broker is consumed: {@code brokers.queues} in the settings file.
 *
 * @param queue its name at the broker
 * @param fields where a request's fields are taken from
 * @param maxPrefetch deliveries in flight at most: from 1 to 10000, 32 by default
 * @param maxAttempts after which a message is dead-lettered: from 1 to 1000, 8 by default
 * @param maxBodyBytes past which a message is dead-lettered unread: at most 16 MiB, 65536 by default
 * @param delayRoute where a rejected message waits until the broker brings it back, or null for back to the queue at
 *     once
 * @param deadLetterRoute where messages that are given up go, or null for the queue's own dead-lettering
 * @param requeuesPerSecond messages that go back to the queue itself: from 0.01 to 10000, 10 by default
 * @param runUnknownRedelivered whether a redelivered message with an idempotency key that is not known here may run;
 *     it may by default
 */
public record QueueSettings(String queue, Fields fields, int maxPrefetch, int maxAttempts, int maxBodyBytes,
        Route delayRoute, Route deadLetterRoute, double requeuesPerSecond, boolean runUnknownRedelivered) {

    /**
     * Where the fields of a request are taken from, in each message.
     *
     * @param requestClass needed
     * @param tenant needed where the settings name tenants, else null
     * @param idempotencyKey needed for request classes that have one, else null
     * @param rank from 0 to under 1, or null for the request class's share of the highest priority weight
     * @param memoryKilobytes null for the body's size and two more
     * @param believeTimestamp whether the wait counts from the publisher's clock where that is believable; it does not
     *     by default
     */
    public record Fields(FieldSource requestClass, FieldSource tenant, FieldSource idempotencyKey, FieldSource rank,
            FieldSource memoryKilobytes, boolean believeTimestamp) {
    }

    /** An exchange and a routing key; the key is empty for the message's own. */
    public record Route(String exchange, String routingKey) {
    }
}
