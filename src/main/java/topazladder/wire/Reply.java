package topazladder.wire;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import topazladder.request.Decision;
import topazladder.request.DecisionHandler;
import topazladder.request.Request;

/** One reply under construction. */
final class Reply implements DecisionHandler {
    private static final int HEAD = 8;

    private ByteBuffer buffer = ByteBuffer.allocate(1 << 14).order(ByteOrder.LITTLE_ENDIAN);
    private int records;
    private int instance;
    private long ticket;

    void clear() {
        buffer.clear().position(HEAD);
        records = 0;
    }

    void writeTo(OutputStream out) throws IOException {
        buffer.putInt(0, buffer.position() - HEAD);
        buffer.putInt(4, records);
        out.write(buffer.array(), 0, buffer.position());
    }

    void add(int server, Decision decision, long id) {
        instance = server;
        ticket = id;
        decision.applyTo(this);
    }

    @Override
    public void start(Request request) {
        record(328, instance).putLong(ticket);
    }

    @Override
    public void reject(Request request, double retryAfterSeconds, boolean doNotRetryElsewhere) {
        record(322, instance).putLong(ticket).putLong(ns(retryAfterSeconds)).put(bit(doNotRetryElsewhere));
    }

    @Override
    public void fail(Request request) {
        record(324, instance).putLong(ticket);
    }

    @Override
    public void cancelRun(Request request) {
        record(332, instance).putLong(ticket);
    }

    @Override
    public void answerFromOriginal(Request request) {
        record(333, instance).putLong(ticket);
    }

    @Override
    public void rememberIdempotencyKey(Request request, double windowSeconds) {
        record(334, instance).putLong(ticket).putLong(ns(windowSeconds));
    }

    @Override
    public void forgetIdempotencyKey(Request request) {
        record(331, instance).putLong(ticket);
    }

    @Override
    public void callDependency(Request request, double timeoutSeconds) {
        record(325, instance).putLong(ticket).putLong(ns(timeoutSeconds));
    }

    @Override
    public void skipDependencyCall(Request request) {
        record(327, instance).putLong(ticket);
    }

    @Override
    public void postAdmissionLevel(double level) {
        record(329, instance).putFloat((float) level);
    }

    @Override
    public void setHealth(boolean healthy) {
        record(320, instance).put(bit(healthy)).put(bit(true));
    }

    @Override
    public void closeIdleConnections(double idleSeconds) {
        record(326, instance).putLong(ns(idleSeconds));
    }

    @Override
    public void scheduleTick(double delaySeconds) {
        record(323, instance).putLong(ns(delaySeconds)).putLong(0);
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
