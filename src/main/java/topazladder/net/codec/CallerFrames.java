package topazladder.net.codec;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import topazladder.service.AdmissionLevel;
import topazladder.service.Response;

/** Writes the frames that go to callers. */
public final class CallerFrames {
    private static final byte[] NOTHING = {};

    private CallerFrames() {}

    public static byte[] answer(long stream, Response answer) {
        List<String> fields = new ArrayList<>();
        pressure(fields, answer.admissionLevel());
        if (answer.retryAfterSeconds() > 0) {
            fields.add("cooldown");
            fields.add(String.valueOf((long) Math.ceil(answer.retryAfterSeconds() * 1000)));
        }
        if (answer.doNotRetryElsewhere()) {
            fields.add("nowhere");
            fields.add("1");
        }
        int code = switch (answer.status()) {
            case SERVED -> 0;
            case REJECTED -> 1;
            case FAILED -> 2;
        };
        return frame(17, stream, code, fields, answer.body());
    }

    public static byte[] health(long stream, boolean good, AdmissionLevel level) {
        List<String> fields = new ArrayList<>();
        pressure(fields, level);
        return frame(33, stream, good ? 0 : 1, fields, NOTHING);
    }

    /** An error that belongs to no request. */
    public static byte[] error(String why) {
        return frame(17, 0, 2, List.of(), why.getBytes(StandardCharsets.UTF_8));
    }

    public static byte[] noNewRequest() {
        return ByteBuffer.allocate(9).putInt(5).put((byte) 48).putInt(0).array();
    }

    private static void pressure(List<String> fields, AdmissionLevel level) {
        if (level.isPosted()) {
            fields.add("pressure");
            fields.add(String.valueOf(level.value()));
        }
    }

    private static byte[] frame(int type, long stream, int code, List<String> fields, byte[] body) {
        byte[][] texts = fields.stream().map(f -> f.getBytes(StandardCharsets.UTF_8)).toArray(byte[][]::new);
        int size = 7 + body.length;
        for (int i = 0; i < texts.length; i += 2) {
            size += 3 + texts[i].length + texts[i + 1].length;
        }
        ByteBuffer out = ByteBuffer.allocate(4 + size).putInt(size).put((byte) type).putInt((int) stream)
                .put((byte) code).put((byte) (texts.length / 2));
        for (int i = 0; i < texts.length; i += 2) {
            out.put((byte) texts[i].length).put(texts[i])
                    .putShort((short) texts[i + 1].length).put(texts[i + 1]);
        }
        return out.put(body).array();
    }
}
