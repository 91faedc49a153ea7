package topazladder;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Frames as a caller writes and reads them. */
public final class Frames {
    private Frames() {}

    public static byte[] request(int stream, String ref, String requestClass, String... more) {
        String[] fields = {"service", requestClass, "ref", ref, "since", String.valueOf(System.currentTimeMillis()),
                "sender", "4", "project", "acme", "room", "24.5", "class_rank", "0.6250"};
        String[] all = Arrays.copyOf(fields, fields.length + more.length);
        System.arraycopy(more, 0, all, fields.length, more.length);
        return frame(16, stream, fields(all), "body".getBytes(StandardCharsets.UTF_8));
    }

    public static byte[] frame(int type, int stream, byte[]... parts) {
        int size = Arrays.stream(parts).mapToInt(p -> p.length).sum();
        ByteBuffer out = ByteBuffer.allocate(9 + size).putInt(5 + size).put((byte) type).putInt(stream);
        Arrays.stream(parts).forEach(out::put);
        return out.array();
    }

    public static byte[] fields(String... pairs) {
        ByteBuffer out = ByteBuffer.allocate(4096).put((byte) (pairs.length / 2));
        for (int i = 0; i < pairs.length; i += 2) {
            out.put((byte) pairs[i].length()).put(pairs[i].getBytes(StandardCharsets.UTF_8))
                    .putShort((short) pairs[i + 1].length()).put(pairs[i + 1].getBytes(StandardCharsets.UTF_8));
        }
        return Arrays.copyOf(out.array(), out.position());
    }

    /** What a frame without its length says. */
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
