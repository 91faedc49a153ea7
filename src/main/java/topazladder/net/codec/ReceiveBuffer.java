package topazladder.net.codec;

import java.util.Arrays;

/**
 * Bytes that came and are no whole message yet, between {@code from} and {@code to}. The owner moves {@code from} past
 * what it has read. Nothing is held where nothing is unread: hundreds of connections may each hold the start of a
 * message.
 */
final class ReceiveBuffer {
    private static final byte[] EMPTY = {};
    /** Room for what follows the start of a message in small pieces, in bytes. */
    private static final int MAX_SPARE_BYTES = 2048;

    byte[] bytes = EMPTY;
    int from;
    int to;

    /** @param more is kept, and must not be changed from here on */
    void add(byte[] more) {
        if (size() == 0) {
            bytes = more;
            from = 0;
            to = more.length;
            return;
        }
        if (bytes.length - to < more.length) {
            moveTo(new byte[withSpare(size() + more.length)]);
        }
        System.arraycopy(more, 0, bytes, to, more.length);
        to += more.length;
    }

    private static int withSpare(int needed) {
        return needed + Math.min(needed, MAX_SPARE_BYTES);
    }

    private void moveTo(byte[] target) {
        int unread = size();
        System.arraycopy(bytes, from, target, 0, unread);
        bytes = target;
        from = 0;
        to = unread;
    }

    /** Gives back the memory of what was read. */
    void trim() {
        if (size() == 0) {
            bytes = EMPTY;
            from = 0;
            to = 0;
        } else if (bytes.length - size() > MAX_SPARE_BYTES) {
            bytes = Arrays.copyOfRange(bytes, from, to);
            to -= from;
            from = 0;
        }
    }

    /** Drops what is unread. */
    void clear() {
        from = to;
        trim();
    }

    int size() {
        return to - from;
    }

    /** The memory that it holds, in bytes. */
    int capacity() {
        return bytes.length;
    }
}
