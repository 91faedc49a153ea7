package topazladder.net.hall;

import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import topazladder.hall.proto.Greeting;
import topazladder.net.codec.HallMessages;
import topazladder.net.codec.MalformedMessageException;
import topazladder.net.codec.PeerFrames;

/** The payload of the first frame on a link between members: the caller's nonce, then who it is. */
final class Greetings {
    /** The name under which an operator's client greets; no member has it. */
    static final String OPERATOR = "operator";
    private static final int LONGEST_NAME = 100;

    /** @param name under which it is spoken to; operators have one that no member has */
    record Who(String name, long life) {
    }

    private Greetings() {}

    static byte[] bytes(byte[] nonce, Who who) {
        byte[] greeting = Greeting.newBuilder().setName(who.name()).setLife(who.life()).setSchema(HallMessages.SCHEMA)
                .build().toByteArray();
        return ByteBuffer.allocate(nonce.length + greeting.length).put(nonce).put(greeting).array();
    }

    static byte[] nonce(byte[] payload) throws MalformedMessageException {
        if (payload.length < PeerFrames.NONCE) {
            throw new MalformedMessageException("a greeting of " + payload.length + " bytes");
        }
        return Arrays.copyOf(payload, PeerFrames.NONCE);
    }

    static Who who(byte[] payload) throws MalformedMessageException {
        try {
            Greeting g = Greeting.parseFrom(ByteBuffer.wrap(payload, PeerFrames.NONCE,
                    payload.length - PeerFrames.NONCE));
            if (g.getName().isEmpty() || g.getName().length() > LONGEST_NAME) {
                throw new MalformedMessageException("a greeting by a name of " + g.getName().length() + " characters");
            }
            return new Who(g.getName(), g.getLife());
        } catch (InvalidProtocolBufferException e) {
            throw new MalformedMessageException("no greeting");
        }
    }
}
