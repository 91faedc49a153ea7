package topazladder.membership;

import java.util.List;

/** Messages of the membership protocol. Each carries a bounded number of member updates. */
public sealed interface Gossip {

    /** Member updates piggybacked on the message. */
    List<MemberStatus> updates();

    /** Asks the receiver to answer with an {@link Ack} of the same number. */
    record Ping(long sequenceNumber, List<MemberStatus> updates) implements Gossip {
    }

    /**
     * Asks the receiver to ping a third member on behalf of the sender (SWIM's ping-req).
     *
     * @param target name of the member to ping
     */
    record PingRequest(long sequenceNumber, String target, List<MemberStatus> updates) implements Gossip {
    }

    /** Answers a {@link Ping}, or a {@link PingRequest} whose target has answered. */
    record Ack(long sequenceNumber, List<MemberStatus> updates) implements Gossip {
    }

    /** Answers a {@link PingRequest} whose target has not answered in time. It shows that the helper is reachable. */
    record Nack(long sequenceNumber, List<MemberStatus> updates) implements Gossip {
    }

    /**
     * A page of the sender's member table (anti-entropy).
     *
     * @param replyRequested whether the receiver should send its own table in return
     */
    record Sync(boolean replyRequested, List<MemberStatus> updates) implements Gossip {
    }
}
