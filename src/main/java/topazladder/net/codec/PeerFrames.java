package topazladder.net.codec;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import org.apache.commons.codec.digest.HmacAlgorithms;
import org.apache.commons.codec.digest.HmacUtils;

/**
 * The frames between instances: {@code length:4 type:1 number:4 payload mac:32}, big-endian, where length counts all
 * that follows it. The code over a frame covers both sides' nonces, so that one of another connection or of another
 * place in this one is refused, whatever the clocks say; it stands for the checksum of each chunk as well. Only the
 * greeting has none: it is the nonce that all the others cover.
 */
public final class PeerFrames {
    public static final int NONCE = 16;
    static final int MAC = 32;
    private static final int LENGTH = 4;
    private static final int HEAD = 5;
    /** Of one payload: a chunk of the most facts with the longest names. */
    public static final int LONGEST = 16_384;
    private static final byte[] DOMAIN = "topazladder peer 1".getBytes(StandardCharsets.US_ASCII);

    public enum Type {
        HELLO, ASK, HEADER, CHUNK, END, LATER,
        /** A member of a hall greets; what it says follows on the same connection. */
        MEMBER,
        /** What the member says, numbered from 1. */
        SAY,
        /** A part of what is too long for one frame; {@link #SAY} is its last. */
        SAY_PART,
        /** The other way, to whoever has no address of its own: operators. */
        TOLD,
        /** The number of the last one that was read. */
        HEARD
    }

    /** Bytes that a frame with a payload of that many takes on the wire. */
    public static int sizeOnWire(int payload) {
        return LENGTH + HEAD + payload + MAC;
    }

    /** One frame as read; whether its code is right is asked of a {@link Seal}. */
    public record Frame(Type type, int number, byte[] payload, byte[] mac) {
    }

    private PeerFrames() {}

    /** What makes and proves the codes of one connection. */
    public static final class Seal {
        private final byte[] key;
        private final byte[] theirNonce;
        private final byte[] askerNonce;

        public Seal(byte[] key, byte[] giverNonce, byte[] askerNonce) {
            this.key = key;
            this.theirNonce = giverNonce;
            this.askerNonce = askerNonce;
        }

        byte[] mac(Type type, int number, byte[] payload) {
            HmacUtils hmac = new HmacUtils(HmacAlgorithms.HMAC_SHA_256, key);
            ByteBuffer all = ByteBuffer.allocate(DOMAIN.length + 2 * NONCE + HEAD + payload.length);
            all.put(DOMAIN).put(theirNonce).put(askerNonce).put((byte) type.ordinal()).putInt(number).put(payload);
            return hmac.hmac(all.array());
        }

        public boolean holds(Frame f) {
            return MessageDigest.isEqual(mac(f.type(), f.number(), f.payload()), f.mac());
        }

        public byte[] frame(Type type, int number, byte[] payload) {
            return PeerFrames.frame(type, number, payload, mac(type, number, payload));
        }
    }

    /** The key by which a frame is sealed, of those that are valid now; null if it is none of them. */
    public static Seal opened(Frame f, List<byte[]> keys, byte[] giverNonce, byte[] askerNonce) {
        for (byte[] key : keys) {
            Seal seal = new Seal(key, giverNonce, askerNonce);
            if (seal.holds(f)) {
                return seal;
            }
        }
        return null;
    }

    public static byte[] hello(byte[] nonce) {
        return frame(Type.HELLO, 0, nonce, new byte[MAC]);
    }

    private static byte[] frame(Type type, int number, byte[] payload, byte[] mac) {
        int length = HEAD + payload.length + MAC;
        return ByteBuffer.allocate(4 + length).putInt(length).put((byte) type.ordinal()).putInt(number)
                .put(payload).put(mac).array();
    }

    /** Takes bytes in any pieces; nothing is allocated for a frame but what came of it. */
    public static final class Reader {
        private final ReceiveBuffer unread = new ReceiveBuffer();

        public void feed(byte[] more) {
            unread.add(more);
        }

        /** The next whole frame, or null until more bytes have come. */
        public Frame next() throws MalformedMessageException {
            if (unread.size() < 4) {
                unread.trim();
                return null;
            }
            ByteBuffer in = ByteBuffer.wrap(unread.bytes, unread.from, unread.size());
            long length = in.getInt() & 0xffff_ffffL;
            if (length < HEAD + MAC || length > HEAD + LONGEST + MAC) {
                throw new MalformedMessageException("a frame of " + length + " bytes");
            }
            if (in.remaining() >= 1) {
                type(in.get(in.position())); // told at once, as the rest may never come
            }
            if (in.remaining() < length) {
                unread.trim();
                return null;
            }
            Type type = type(in.get());
            int number = in.getInt();
            byte[] payload = new byte[(int) length - HEAD - MAC];
            in.get(payload);
            byte[] mac = new byte[MAC];
            in.get(mac);
            unread.from += 4 + (int) length;
            return new Frame(type, number, payload, mac);
        }

        private static Type type(byte code) throws MalformedMessageException {
            if (code < 0 || code >= Type.values().length) {
                throw new MalformedMessageException("a frame of type " + code);
            }
            return Type.values()[code];
        }
    }
}
