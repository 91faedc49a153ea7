package topazladder.wire;

import java.nio.ByteBuffer;

/**
 * The fields of a {@link EventCode#REQUEST_ARRIVED} record, in the order in which they are encoded.
 *
 * @param id id of the request, unique on its server
 * @param requestClass index of its class in the settings
 * @param tenant index of its tenant in the settings
 * @param subject not used
 * @param remainingNanoseconds nanoseconds for which its caller still waits, or 0 if unknown
 * @param estimate not used
 * @param memoryKilobytes kilobytes of memory that it occupies while queued
 * @param rank from 0 to 1
 * @param flags bit set; {@link #RETRY} is the only bit in use
 * @param caller not used
 * @param queuedNanoseconds nanoseconds between its arrival at the machine and its being read
 * @param original id of the first request with the same idempotency key, or 0
 */
record ArrivalRecord(long id, int requestClass, int tenant, long subject, long remainingNanoseconds, long estimate,
        float memoryKilobytes, float rank, int flags, int caller, long queuedNanoseconds, long original) {
    /** The flag bit that marks a retry or a hedged request. */
    private static final int RETRY = 2;

    static ArrivalRecord read(ByteBuffer buffer) {
        return new ArrivalRecord(buffer.getLong(), Short.toUnsignedInt(buffer.getShort()),
                Short.toUnsignedInt(buffer.getShort()), buffer.getLong(), buffer.getLong(), buffer.getLong(),
                buffer.getFloat(), buffer.getFloat(), Byte.toUnsignedInt(buffer.get()), buffer.getInt(),
                buffer.getLong(), buffer.getLong());
    }

    boolean isRetry() {
        return (flags & RETRY) != 0;
    }

    boolean isDuplicate() {
        return original != 0;
    }

    /** Whether every numeric field is within the range that the protocol defines. */
    boolean isValid() {
        return memoryKilobytes >= 0 && rank >= 0 && rank <= 1 && queuedNanoseconds >= 0 && remainingNanoseconds >= 0;
    }
}
