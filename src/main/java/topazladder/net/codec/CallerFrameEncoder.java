package topazladder.net.codec;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import topazladder.service.AdmissionLevel;
import topazladder.service.Response;

/** Encodes the frames that go to callers, and the requests that the warm-up sends in a caller's place. */
public final class CallerFrameEncoder {
    private static final byte[] NO_BODY = {};
    private static final int CODE_BYTES = 1;
    private static final int FIELD_COUNT_BYTES = 1;
    /** Sizes of a field's name (1) and value (2). */
    private static final int FIELD_SIZES_BYTES = 3;

    private CallerFrameEncoder() {}

    /** Encodes the final response to the request on a stream; Retry-After is rounded up to whole milliseconds. */
    public static byte[] answer(long stream, Response response) {
        List<String> fields = new ArrayList<>();
        addLevel(fields, response.admissionLevel());
        if (response.retryAfterSeconds() > 0) {
            fields.add(CallerProtocol.RETRY_AFTER_MILLIS);
            fields.add(String.valueOf((long) Math.ceil(response.retryAfterSeconds() * 1000)));
        }
        if (response.doNotRetryElsewhere()) {
            fields.add(CallerProtocol.NOT_ELSEWHERE);
            fields.add(CallerProtocol.SET);
        }
        int code = switch (response.status()) {
            case SERVED -> CallerProtocol.SERVED_CODE;
            case REJECTED -> CallerProtocol.REJECTED_CODE;
            case FAILED -> CallerProtocol.FAILED_CODE;
        };
        return codedFrame(CallerProtocol.RESPONSE_FRAME, stream, code, fields, response.body());
    }

    /** Encodes the response to a health check. */
    public static byte[] health(long stream, boolean healthy, AdmissionLevel level) {
        List<String> fields = new ArrayList<>();
        addLevel(fields, level);
        int code = healthy ? CallerProtocol.HEALTHY_CODE : CallerProtocol.UNHEALTHY_CODE;
        return codedFrame(CallerProtocol.HEALTH_RESPONSE_FRAME, stream, code, fields, NO_BODY);
    }

    /** Encodes an error that belongs to no request; its text is the body. */
    public static byte[] error(String reason) {
        return codedFrame(CallerProtocol.RESPONSE_FRAME, CallerProtocol.CONNECTION_STREAM, CallerProtocol.FAILED_CODE,
                List.of(), reason.getBytes(StandardCharsets.UTF_8));
    }

    /** Encodes the notification after which the caller opens no new request on the connection. */
    public static byte[] noNewRequest() {
        return header(CallerProtocol.NO_NEW_REQUEST_FRAME, CallerProtocol.CONNECTION_STREAM, 0).array();
    }

    /**
     * Encodes a request as a caller sends it.
     *
     * @param fields names and values in turn
     */
    public static byte[] request(long stream, List<String> fields, byte[] body) {
        byte[][] texts = encode(fields);
        ByteBuffer out = header(CallerProtocol.REQUEST_FRAME, stream, fieldsSize(texts) + body.length);
        putFields(out, texts);
        return out.put(body).array();
    }

    private static void addLevel(List<String> fields, AdmissionLevel level) {
        if (level.isPosted()) {
            fields.add(CallerProtocol.LEVEL);
            fields.add(String.valueOf(level.value()));
        }
    }

    private static byte[] codedFrame(int type, long stream, int code, List<String> fields, byte[] body) {
        byte[][] texts = encode(fields);
        ByteBuffer out = header(type, stream, CODE_BYTES + fieldsSize(texts) + body.length);
        out.put((byte) code);
        putFields(out, texts);
        return out.put(body).array();
    }

    private static ByteBuffer header(int type, long stream, int payloadBytes) {
        int length = CallerProtocol.HEADER_BYTES + payloadBytes;
        return ByteBuffer.allocate(CallerProtocol.LENGTH_BYTES + length).putInt(length).put((byte) type)
                .putInt((int) stream);
    }

    private static byte[][] encode(List<String> fields) {
        return fields.stream().map(field -> field.getBytes(StandardCharsets.UTF_8)).toArray(byte[][]::new);
    }

    private static int fieldsSize(byte[][] texts) {
        int size = FIELD_COUNT_BYTES;
        for (int i = 0; i < texts.length; i += 2) {
            size += FIELD_SIZES_BYTES + texts[i].length + texts[i + 1].length;
        }
        return size;
    }

    private static void putFields(ByteBuffer out, byte[][] texts) {
        out.put((byte) (texts.length / 2));
        for (int i = 0; i < texts.length; i += 2) {
            out.put((byte) texts[i].length).put(texts[i]);
            out.putShort((short) texts[i + 1].length).put(texts[i + 1]);
        }
    }
}
