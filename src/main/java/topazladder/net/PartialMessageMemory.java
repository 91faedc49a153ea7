package topazladder.net;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Bounds the memory of all callers' messages that have not come whole: {@code sum(buffered bytes) <= share * heap}.
 * Hundreds of callers may each write the start of a long message and no more, or the rest slowly; nothing is owed to
 * any of them yet. Past the bound the message that has been awaited for longest is given up with its connection, first
 * of those on which nothing else is open.
 */
final class PartialMessageMemory {
    private static final double HEAP_SHARE = 0.1;

    private final long maxBytes;
    /** Bytes by connection, the longest awaited message first; emptied as messages come whole or connections end. */
    private final Map<CallerConnection, Integer> buffered = new LinkedHashMap<>();
    private long totalBytes;

    /** A bound for a heap of so many bytes. */
    PartialMessageMemory(long heapBytes) {
        maxBytes = (long) (HEAP_SHARE * heapBytes);
    }

    /**
     * A connection holds so many bytes now; others, or this one, may be ended over it.
     *
     * @param another whether they are of another message than before
     */
    void update(CallerConnection connection, int bytes, boolean another) {
        Integer before = another || bytes == 0 ? buffered.remove(connection) : buffered.get(connection);
        totalBytes += bytes - (before == null ? 0 : before);
        if (bytes > 0) {
            buffered.put(connection, bytes);
        }
        while (totalBytes > maxBytes) {
            victim().endForWantOfMemory(); // which comes back here with no bytes held
        }
    }

    private CallerConnection victim() {
        return buffered.keySet().stream().filter(CallerConnection::isVacant).findFirst()
                .orElseGet(() -> buffered.keySet().iterator().next());
    }

    long totalBytes() {
        return totalBytes;
    }
}
