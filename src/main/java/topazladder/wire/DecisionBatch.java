package topazladder.wire;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Encodes the batch of decisions that answers one batch of events. One instance is reused for all batches. */
final class DecisionBatch {
    /** The length of the batch and its number of records, 4 bytes each. */
    private static final int HEADER_BYTES = 8;
    private static final int INITIAL_BYTES = 1 << 14;
    /** Upper bound of the length of one record. */
    private static final int MAX_RECORD_BYTES = 2048;
    /** Longer messages of {@link #FATAL} records are truncated. */
    private static final int MAX_TEXT_BYTES = 1000;

    private static final int SET_HEALTH = 320;
    private static final int FATAL = 321;
    private static final int REJECT = 322;
    private static final int SCHEDULE_TICK = 323;
    private static final int FAIL = 324;
    private static final int CALL_DEPENDENCY = 325;
    private static final int CLOSE_IDLE_CONNECTIONS = 326;
    private static final int SKIP_DEPENDENCY_CALL = 327;
    private static final int START = 328;
    private static final int POST_ADMISSION_LEVEL = 329;
    private static final int FORGET_IDEMPOTENCY_KEY = 331;
    private static final int CANCEL_RUN = 332;
    private static final int ANSWER_FROM_ORIGINAL = 333;
    private static final int REMEMBER_IDEMPOTENCY_KEY = 334;

    private ByteBuffer buffer = ByteBuffer.allocate(INITIAL_BYTES).order(ByteOrder.LITTLE_ENDIAN);
    private int records;

    void clear() {
        buffer.clear().position(HEADER_BYTES);
        records = 0;
    }

    void writeTo(OutputStream out) throws IOException {
        buffer.putInt(0, buffer.position() - HEADER_BYTES);
        buffer.putInt(Integer.BYTES, records);
        out.write(buffer.array(), 0, buffer.position());
    }

    void start(int server, long id) {
        record(START, server).putLong(id);
    }

    void reject(int server, long id, double retryAfterSeconds, boolean doNotRetryElsewhere) {
        record(REJECT, server).putLong(id).putLong(nanoseconds(retryAfterSeconds)).put(toByte(doNotRetryElsewhere));
    }

    void fail(int server, long id) {
        record(FAIL, server).putLong(id);
    }

    void cancelRun(int server, long id) {
        record(CANCEL_RUN, server).putLong(id);
    }

    void answerFromOriginal(int server, long id) {
        record(ANSWER_FROM_ORIGINAL, server).putLong(id);
    }

    void rememberIdempotencyKey(int server, long id, double windowSeconds) {
        record(REMEMBER_IDEMPOTENCY_KEY, server).putLong(id).putLong(nanoseconds(windowSeconds));
    }

    void forgetIdempotencyKey(int server, long id) {
        record(FORGET_IDEMPOTENCY_KEY, server).putLong(id);
    }

    void callDependency(int server, long id, double timeoutSeconds) {
        record(CALL_DEPENDENCY, server).putLong(id).putLong(nanoseconds(timeoutSeconds));
    }

    void skipDependencyCall(int server, long id) {
        record(SKIP_DEPENDENCY_CALL, server).putLong(id);
    }

    void postAdmissionLevel(int server, double level) {
        record(POST_ADMISSION_LEVEL, server).putFloat((float) level);
    }

    /** The second flag, always set, lets health checks be answered with this state without asking the runtime. */
    void setHealth(int server, boolean healthy) {
        record(SET_HEALTH, server).put(toByte(healthy)).put(toByte(true));
    }

    void closeIdleConnections(int server, double idleSeconds) {
        record(CLOSE_IDLE_CONNECTIONS, server).putLong(nanoseconds(idleSeconds));
    }

    /** The last field is the tag of the tick, which is not used and written as 0. */
    void scheduleTick(int server, double delaySeconds) {
        record(SCHEDULE_TICK, server).putLong(nanoseconds(delaySeconds)).putLong(0);
    }

    /** Reports that the controller of this server has failed and makes no further decisions. */
    void fatal(int server, String message) {
        byte[] bytes = message.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(bytes.length, MAX_TEXT_BYTES);
        record(FATAL, server).putShort((short) length).put(bytes, 0, length);
    }

    private ByteBuffer record(int code, int server) {
        if (buffer.remaining() < MAX_RECORD_BYTES) {
            int position = buffer.position();
            byte[] larger = Arrays.copyOf(buffer.array(), buffer.capacity() * 2);
            buffer = ByteBuffer.wrap(larger).order(ByteOrder.LITTLE_ENDIAN).position(position);
        }
        records++;
        return buffer.putShort((short) code).putInt(server);
    }

    private static long nanoseconds(double seconds) {
        return Math.max(0, Math.round(seconds * SimulatedServer.NANOSECONDS_PER_SECOND));
    }

    private static byte toByte(boolean value) {
        return (byte) (value ? 1 : 0);
    }
}
