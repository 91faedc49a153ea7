package topazladder.membership;

import java.util.List;

/** Messages of the membership protocol. Each carries a bounded number of member updates. */
public sealed interface Gossip {

    /** Member updates piggybacked on the message. */
    List<Standing> news();

    /** Asks the receiver to answer with an {@link Ack} of the same number. */
    record Ping(long number, List<Standing> news) implements Gossip {
    }

    /**
     * Asks the receiver to ping a third member on behalf of the sender (SWIM's ping-req).
     *
     * @param whom name of the member to ping
     */
    record PingFor(long number, String whom, List<Standing> news) implements Gossip {
    }

    /** Answers a {@link Ping}, or a {@link PingFor} whose target has answered. */
    record Ack(long number, List<Standing> news) implements Gossip {
    }

    /** Answers a {@link PingFor} whose target has not answered in time. It shows that the helper is reachable. */
    record Nack(long number, List<Standing> news) implements Gossip {
    }

    /**
     * A page of the sender's member table (anti-entropy).
     *
     * @param back whether the receiver should send its own table in return
     */
    record Sync(boolean back, List<Standing> news) implements Gossip {
    }
}
