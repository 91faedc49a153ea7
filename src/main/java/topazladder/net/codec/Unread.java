package topazladder.net.codec;

import java.util.Arrays;

/** Bytes that came and are no whole message yet; it takes back the room of those that were read. */
final class Unread {
    private static final int USUAL = 4096;

    byte[] bytes = new byte[USUAL];
    int from;
    int to;

    void add(byte[] more) {
        if (bytes.length - to < more.length) {
            int held = size();
            byte[] roomier = held + more.length <= bytes.length ? bytes : new byte[(held + more.length) * 2];
            System.arraycopy(bytes, from, roomier, 0, held);
            bytes = roomier;
            from = 0;
            to = held;
        }
        System.arraycopy(more, 0, bytes, to, more.length);
        to += more.length;
    }

    /** Gives back the room that a large piece took: hundreds of connections may each hold the start of a message. */
    void trim() {
        if (bytes.length > 2 * USUAL && size() <= USUAL) {
            bytes = Arrays.copyOfRange(bytes, from, from + USUAL);
            to -= from;
            from = 0;
        }
    }

    int size() {
        return to - from;
    }
}
