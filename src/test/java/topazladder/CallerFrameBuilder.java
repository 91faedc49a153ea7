package topazladder;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Builds frames as a caller writes them, sound or not, and shows those that it reads as text. */
public final class CallerFrameBuilder {
    private static final int LENGTH_BYTES = 4;
    private static final int HEADER_BYTES = 5;
    /** Of the name and of the value of one field. */
    private static final int SIZES_BYTES = 3;

    private CallerFrameBuilder() {}

    /** A request with all that the protocol wants; {@code more} are further fields, names and values in turn. */
    public static byte[] request(int stream, String reference, String requestClass, String... more) {
        String[] fields =
                {"service", requestClass, "ref", reference, "since", String.valueOf(System.currentTimeMillis()),
                        "sender", "4", "project", "acme", "room", "24.5", "class_rank", "0.6250"};
        String[] all = Arrays.copyOf(fields, fields.length + more.length);
        System.arraycopy(more, 0, all, fields.length, more.length);
        return frame(16, stream, fields(all), "body".getBytes(StandardCharsets.UTF_8));
    }

    /** A health check. */
    public static byte[] healthCheck(int stream) {
        return frame(32, stream, fields());
    }

    /** A health check that asks whether work gets done. */
    public static byte[] deepHealthCheck(int stream) {
        return frame(32, stream, fields("inner", "1"));
    }

    /** A frame of any type, its payload put together from parts. */
    public static byte[] frame(int type, int stream, byte[]... parts) {
        int payloadBytes = Arrays.stream(parts).mapToInt(part -> part.length).sum();
        ByteBuffer out = ByteBuffer.allocate(LENGTH_BYTES + HEADER_BYTES + payloadBytes)
                .putInt(HEADER_BYTES + payloadBytes).put((byte) type).putInt(stream);
        Arrays.stream(parts).forEach(out::put);
        return out.array();
    }

    /** Fields as a part of a payload, names and values in turn. */
    public static byte[] fields(String... pairs) {
        int textBytes = Arrays.stream(pairs).mapToInt(text -> text.getBytes(StandardCharsets.UTF_8).length).sum();
        ByteBuffer out = ByteBuffer.allocate(1 + pairs.length / 2 * SIZES_BYTES + textBytes)
                .put((byte) (pairs.length / 2));
        for (int i = 0; i < pairs.length; i += 2) {
            out.put((byte) pairs[i].length()).put(pairs[i].getBytes(StandardCharsets.UTF_8))
                    .putShort((short) pairs[i + 1].length()).put(pairs[i + 1].getBytes(StandardCharsets.UTF_8));
        }
        return out.array();
    }

    /** Returns what a frame without its length says. */
    public static String text(byte[] frame) {
        ByteBuffer in = ByteBuffer.wrap(frame);
        StringBuilder text = new StringBuilder(in.get() + " on " + in.getInt());
        if (in.hasRemaining()) {
            text.append(" code ").append(in.get());
            for (int count = in.get(); count > 0; count--) {
                text.append(' ').append(take(in, in.get())).append('=').append(take(in, in.getShort()));
            }
            text.append(' ').append(take(in, in.remaining()));
        }
        return text.toString().trim();
    }

    private static String take(ByteBuffer in, int length) {
        byte[] bytes = new byte[length];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
