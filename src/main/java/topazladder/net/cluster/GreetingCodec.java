package topazladder.net.cluster;

import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import topazladder.hall.proto.Greeting;
import topazladder.net.codec.HallMessages;
import topazladder.net.codec.MalformedMessageException;
import topazladder.net.codec.PeerFrames;

/** The payload of the first frame that a client sends on a link: its nonce, followed by its identity. */
final class GreetingCodec {
    /** The name that an operator's client gives; no member has it. */
    static final String OPERATOR = "operator";
    private static final int MAX_NAME_LENGTH = 100;

    /**
     * Who opens a link.
     *
     * @param name of the member, or {@link #OPERATOR}
     * @param incarnation of its process
     */
    record Identity(String name, long incarnation) {
    }

    private GreetingCodec() {}

    static byte[] encode(byte[] nonce, Identity identity) {
        byte[] greeting = Greeting.newBuilder().setName(identity.name()).setLife(identity.incarnation())
                .setSchema(HallMessages.SCHEMA).build().toByteArray();
        return ByteBuffer.allocate(nonce.length + greeting.length).put(nonce).put(greeting).array();
    }

    static byte[] nonce(byte[] payload) throws MalformedMessageException {
        if (payload.length < PeerFrames.NONCE) {
            throw new MalformedMessageException("a greeting of " + payload.length + " bytes; it should have at least "
                    + PeerFrames.NONCE);
        }
        return Arrays.copyOf(payload, PeerFrames.NONCE);
    }

    /** Reads the identity behind a nonce. */
    static Identity identity(byte[] payload) throws MalformedMessageException {
        try {
            Greeting greeting = Greeting.parseFrom(ByteBuffer.wrap(payload, PeerFrames.NONCE,
                    payload.length - PeerFrames.NONCE));
            if (greeting.getName().isEmpty() || greeting.getName().length() > MAX_NAME_LENGTH) {
                throw new MalformedMessageException("a greeting with a name of " + greeting.getName().length()
                        + " characters; it should have from 1 to " + MAX_NAME_LENGTH);
            }
            return new Identity(greeting.getName(), greeting.getLife());
        } catch (InvalidProtocolBufferException e) {
            throw new MalformedMessageException("a greeting that can't be decoded: " + e.getMessage());
        }
    }
}
