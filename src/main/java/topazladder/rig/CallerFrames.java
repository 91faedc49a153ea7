package topazladder.rig;

import io.vertx.core.buffer.Buffer;
import java.util.HashMap;
import java.util.Map;

/** The callers' side of the service's frames: requests as bytes, and answers from bytes. */
final class CallerFrames {
    static final int LENGTH_BYTES = 4;
    private static final byte REQUEST = 16;
    private static final byte ANSWER = 17;
    private static final byte LEAVING = 48;
    private static final int FIXED_REQUEST_BYTES = 6;
    /** Places in an answer, behind its length: its type, stream, code, number of fields, and the first field. */
    private static final int STREAM_AT = 1;
    private static final int CODE_AT = 5;
    private static final int FIELDS_AT = 6;
    private static final int FIRST_FIELD_AT = 7;

    /** @param code 0 for served, 1 for turned away */
    record Answer(int stream, int code, Map<String, String> fields, byte[] body) {
    }

    private CallerFrames() {}

    /** @param pairs names and values in turn; one whose value is null is left out */
    static Buffer request(int stream, byte[] body, String... pairs) {
        Buffer fields = Buffer.buffer();
        int count = 0;
        for (int i = 0; i < pairs.length; i += 2) {
            if (pairs[i + 1] != null) {
                fields.appendByte((byte) pairs[i].length()).appendString(pairs[i])
                        .appendShort((short) pairs[i + 1].length()).appendString(pairs[i + 1]);
                count++;
            }
        }
        return Buffer.buffer().appendInt(FIXED_REQUEST_BYTES + fields.length() + body.length).appendByte(REQUEST)
                .appendInt(stream).appendByte((byte) count).appendBuffer(fields).appendBytes(body);
    }

    /** Whether the instance says that it takes no more on this connection. */
    static boolean leaving(Buffer frame) {
        return frame.getByte(0) == LEAVING;
    }

    /** @param frame without its length; null for one that is no answer */
    static Answer answer(Buffer frame) {
        if (frame.getByte(0) != ANSWER) {
            return null;
        }
        Map<String, String> fields = new HashMap<>();
        int at = FIRST_FIELD_AT;
        for (int left = frame.getByte(FIELDS_AT); left > 0; left--) {
            int name = frame.getByte(at);
            String key = frame.getString(at + 1, at + 1 + name);
            int value = frame.getShort(at + 1 + name);
            int valueAt = at + 1 + name + Short.BYTES;
            fields.put(key, frame.getString(valueAt, valueAt + value));
            at = valueAt + value;
        }
        return new Answer(frame.getInt(STREAM_AT), frame.getByte(CODE_AT), fields,
                frame.getBytes(at, frame.length()));
    }

    /** Cuts a stream of bytes into frames. */
    static final class Reader {
        private Buffer unread = Buffer.buffer();

        /** Takes what came, and hands on each frame that is whole by now, without its length. */
        void read(Buffer more, java.util.function.Consumer<Buffer> frames) {
            unread = unread.length() == 0 ? more : unread.appendBuffer(more);
            int at = 0;
            while (unread.length() - at >= LENGTH_BYTES && unread.length() - at - LENGTH_BYTES >= unread.getInt(at)) {
                int length = unread.getInt(at);
                frames.accept(unread.slice(at + LENGTH_BYTES, at + LENGTH_BYTES + length));
                at += LENGTH_BYTES + length;
            }
            unread = unread.getBuffer(at, unread.length());
        }
    }
}
