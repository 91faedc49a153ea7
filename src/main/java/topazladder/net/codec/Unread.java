package topazladder.net.codec;

/** Bytes that came and are no whole message yet; it takes back the room of those that were read. */
final class Unread {
    byte[] bytes = new byte[4096];
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

    int size() {
        return to - from;
    }
}
