package topazladder.wire;

import java.nio.ByteBuffer;

/**
 * A request as it lies on the wire, its fields in the wire's order.
 *
 * @param id the ticket's id
 * @param requestClass index of its class in the settings
 * @param tenant index of its tenant in the settings
 * @param subject not used
 * @param remainingNanoseconds for which its caller still waits, or 0 where that is not told
 * @param estimate not used
 * @param memoryKilobytes kilobytes that it takes while queued
 * @param rank from 0 to 1
 * @param flags bits, of which one is {@link #RETRY}
 * @param caller not used
 * @param queuedNanoseconds from its arrival at the machine to its reading
 * @param original id of the ticket with the same idempotency key that came first, or 0
 */
record ArrivalRecord(long id, int requestClass, int tenant, long subject, long remainingNanoseconds, long estimate,
        float memoryKilobytes, float rank, int flags, int caller, long queuedNanoseconds, long original) {
    /** The flag of a retry or a hedged request. */
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

    /** Whether each field can be what the protocol says. */
    boolean isPossible() {
        return memoryKilobytes >= 0 && rank >= 0 && rank <= 1 && queuedNanoseconds >= 0 && remainingNanoseconds >= 0;
    }
}
