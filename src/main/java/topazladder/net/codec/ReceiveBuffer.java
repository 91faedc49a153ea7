package topazladder.net.codec;

import java.util.Arrays;

/**
 * Bytes that came and are no whole message yet, between {@code from} and {@code to}. The owner moves {@code from} past
 * what it has read; the space of that is used again.
 */
final class ReceiveBuffer {
    private static final int INITIAL_BYTES = 4096;

    byte[] bytes = new byte[INITIAL_BYTES];
    int from;
    int to;

    void add(byte[] more) {
        if (bytes.length - to < more.length) {
            int unread = size();
            byte[] target = unread + more.length <= bytes.length ? bytes : new byte[(unread + more.length) * 2];
            System.arraycopy(bytes, from, target, 0, unread);
            bytes = target;
            from = 0;
            to = unread;
        }
        System.arraycopy(more, 0, bytes, to, more.length);
        to += more.length;
    }

    /** Gives back the memory of a large piece: hundreds of connections may each hold the start of a message. */
    void trim() {
        if (bytes.length > 2 * INITIAL_BYTES && size() <= INITIAL_BYTES) {
            bytes = Arrays.copyOfRange(bytes, from, from + INITIAL_BYTES);
            to -= from;
            from = 0;
        }
    }

    int size() {
        return to - from;
    }
}
