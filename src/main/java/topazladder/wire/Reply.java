package topazladder.wire;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import topazladder.request.Decision;

/** One reply under construction. */
final class Reply {
    private static final int HEAD = 8;

    private ByteBuffer buffer = ByteBuffer.allocate(1 << 14).order(ByteOrder.LITTLE_ENDIAN);
    private int records;

    void clear() {
        buffer.clear().position(HEAD);
        records = 0;
    }

    void writeTo(OutputStream out) throws IOException {
        buffer.putInt(0, buffer.position() - HEAD);
        buffer.putInt(4, records);
        out.write(buffer.array(), 0, buffer.position());
    }

    void add(int instance, Decision r, long id) {
        switch (r.what()) {
            case START -> record(328, instance).putLong(id);
            case DEFER -> record(322, instance).putLong(id).putLong(ns(r.number())).put(bit(r.yes()));
            case BREAK_OFF -> record(324, instance).putLong(id);
            case STOP -> record(332, instance).putLong(id);
            case JOIN -> record(333, instance).putLong(id);
            case REMEMBER -> record(334, instance).putLong(id).putLong(ns(r.number()));
            case FORGET -> record(331, instance).putLong(id);
            case CALL -> record(325, instance).putLong(id).putLong(ns(r.number()));
            case DO_WITHOUT -> record(327, instance).putLong(id);
            case POST -> record(329, instance).putFloat((float) r.number());
            case HEALTH -> record(320, instance).put(bit(r.yes())).put(bit(true));
            case CLOSE_IDLE -> record(326, instance).putLong(ns(r.number()));
            case WAKE -> record(323, instance).putLong(ns(r.number())).putLong(0);
            case NOTE -> text(330, instance, r.text());
            default -> throw new IllegalStateException("no record for " + r.what());
        }
    }

    void fatal(int instance, String message) {
        text(321, instance, message);
    }

    private void text(int code, int instance, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(bytes.length, 1000);
        record(code, instance).putShort((short) length).put(bytes, 0, length);
    }

    private ByteBuffer record(int code, int instance) {
        if (buffer.remaining() < 2048) {
            int at = buffer.position();
            byte[] wider = Arrays.copyOf(buffer.array(), buffer.capacity() * 2);
            buffer = ByteBuffer.wrap(wider).order(ByteOrder.LITTLE_ENDIAN).position(at);
        }
        records++;
        return buffer.putShort((short) code).putInt(instance);
    }

    private static long ns(double seconds) {
        return Math.max(0, Math.round(seconds * 1e9));
    }

    private static byte bit(boolean yes) {
        return (byte) (yes ? 1 : 0);
    }
}
