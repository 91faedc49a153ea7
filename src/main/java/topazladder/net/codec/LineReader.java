package topazladder.net.codec;

import java.nio.charset.StandardCharsets;

/** Reads lines of words ending in CR LF, some followed by as many bytes as their last word says and CR LF. */
public final class LineReader {
    private static final int LONGEST_LINE = 4096;
    private static final int LONGEST_BLOB = 1 << 20;

    /** How many bytes follow a line; under 0 if none, and no CR LF of theirs either. */
    public interface Blobs {
        int after(String[] words) throws Malformed;
    }

    /** One message: its words, and the bytes behind them or null. */
    public record Line(String[] words, byte[] blob) {
    }

    private final Blobs blobs;
    private byte[] bytes = new byte[4096];
    private int from;
    private int to;
    private String[] words; // of the line whose bytes have not all come
    private int blob;

    public LineReader(Blobs blobs) {
        this.blobs = blobs;
    }

    public void feed(byte[] more) {
        if (bytes.length - to < more.length) {
            int held = to - from;
            byte[] roomier = held + more.length <= bytes.length ? bytes : new byte[(held + more.length) * 2];
            System.arraycopy(bytes, from, roomier, 0, held);
            bytes = roomier;
            from = 0;
            to = held;
        }
        System.arraycopy(more, 0, bytes, to, more.length);
        to += more.length;
    }

    /** The next whole message, or null until more bytes have come. */
    public Line next() throws Malformed {
        if (words == null) {
            int end = from;
            while (end < to && bytes[end] != '\n') {
                end++;
            }
            if (end - from > LONGEST_LINE) {
                throw new Malformed("a line without an end");
            }
            if (end == to) {
                return null;
            }
            if (end == from || bytes[end - 1] != '\r') {
                throw new Malformed("a line that does not end in CR LF");
            }
            words = new String(bytes, from, end - 1 - from, StandardCharsets.UTF_8).split(" ");
            from = end + 1;
            blob = blobs.after(words);
            if (blob > LONGEST_BLOB) {
                throw new Malformed("a length past belief: " + blob);
            }
        }
        if (blob >= 0 && to - from < blob + 2) {
            return null;
        }
        byte[] held = null;
        if (blob >= 0) {
            held = java.util.Arrays.copyOfRange(bytes, from, from + blob);
            if (bytes[from + blob] != '\r' || bytes[from + blob + 1] != '\n') {
                throw new Malformed("bytes that do not end in CR LF");
            }
            from += blob + 2;
        }
        Line line = new Line(words, held);
        words = null;
        return line;
    }

    static int length(String word) throws Malformed {
        return (int) whole(word, Integer.MAX_VALUE);
    }

    static long whole(String word, long most) throws Malformed {
        try {
            long n = Long.parseLong(word);
            if (n >= 0 && n <= most) {
                return n;
            }
        } catch (NumberFormatException e) {
            // Told below, as a number out of bounds is.
        }
        throw new Malformed("no whole number: " + word);
    }

    static double number(String word) throws Malformed {
        try {
            double n = Double.parseDouble(word);
            if (Double.isFinite(n)) {
                return n;
            }
        } catch (NumberFormatException e) {
            // Told below, as a number without bounds is.
        }
        throw new Malformed("no number: " + word);
    }
}
