package topazladder.config;

/**
 * What is set for one queue.
 *
 * @param fields where a request's fields are taken from
 * @param mostPrefetch deliveries in hand at the most
 * @param mostTries after so many a message is dead-lettered
 * @param mostBytes of a body; a larger one is dead-lettered unread
 * @param delay where a rejected message waits, or null for back to the queue itself
 * @param deadLetter where what is given up goes, or null for the queue's own dead-lettering
 * @param requeuesPerSecond pace of messages that go back to the queue itself
 * @param runUnknownRedelivered whether a fingerprinted message that came before, and of which nothing is known here,
 *     may run
 */
public record QueueSettings(String queue, Fields fields, int mostPrefetch, int mostTries, int mostBytes, Route delay,
        Route deadLetter, double requeuesPerSecond, boolean runUnknownRedelivered) {

    /**
     * @param requestClass needed
     * @param tenant needed where the settings name tenants, else null
     * @param fingerprint needed for fingerprinted request classes
     * @param rank from 0 to under 1, or null for the request class's share of the highest payoff
     * @param footprint kilobytes, or null for the body's size and two more
     * @param believeTimestamp whether the wait counts from the publisher's clock where that is believable
     */
    public record Fields(FieldSource requestClass, FieldSource tenant, FieldSource fingerprint, FieldSource rank,
            FieldSource footprint,
            boolean believeTimestamp) {
    }

    /** An exchange and a routing key; the key may be empty. */
    public record Route(String exchange, String routingKey) {
    }
}
