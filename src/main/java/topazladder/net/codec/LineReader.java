package topazladder.net.codec;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Reads lines of words ending in CR LF, some followed by as many bytes as their last word says and CR LF. */
public final class LineReader {
    /** Far past any body, result or reply; a length past it is not waited for, nor room made for it. */
    private static final int LONGEST_BLOB = 1 << 16;

    /** How many bytes follow a line; under 0 if none, and no CR LF of theirs either. */
    public interface Blobs {
        int after(String[] words) throws MalformedMessageException;
    }

    /** One message: its words, and the bytes behind them or null. */
    public record Line(String[] words, byte[] blob) {
    }

    private final int longestLine;
    private final Blobs blobs;
    private final Unread unread = new Unread();
    private String[] words; // of the line whose bytes have not all come
    private int blob;

    public LineReader(int longestLine, Blobs blobs) {
        this.longestLine = longestLine;
        this.blobs = blobs;
    }

    public void feed(byte[] more) {
        unread.add(more);
    }

    /** Whether all that came was taken as whole messages. */
    public boolean isEmpty() {
        return words == null && unread.size() == 0;
    }

    /** The next whole message, or null until more bytes have come. */
    public Line next() throws MalformedMessageException {
        if (words == null && !readWords()) {
            return null;
        }
        byte[] held = null;
        if (blob >= 0) {
            if (unread.size() < blob + 2) {
                return null;
            }
            int end = unread.from + blob;
            if (unread.bytes[end] != '\r' || unread.bytes[end + 1] != '\n') {
                throw new MalformedMessageException("bytes that do not end in CR LF");
            }
            held = Arrays.copyOfRange(unread.bytes, unread.from, end);
            unread.from = end + 2;
        }
        Line line = new Line(words, held);
        words = null;
        return line;
    }

    private boolean readWords() throws MalformedMessageException {
        int end = unread.from;
        while (end < unread.to && unread.bytes[end] != '\n') {
            // Noise may hold no end of a line for long: told by the first byte that no line holds.
            if (unread.bytes[end] >= 0 && unread.bytes[end] < ' ' && unread.bytes[end] != '\r') {
                throw new MalformedMessageException("a line with a control character");
            }
            end++;
        }
        int length = end - unread.from;
        if (length > longestLine) {
            throw new MalformedMessageException("a line without an end");
        }
        if (end == unread.to) {
            return false;
        }
        if (length == 0 || unread.bytes[end - 1] != '\r') {
            throw new MalformedMessageException("a line that does not end in CR LF");
        }
        // The limit keeps empty words: without it a line of spaces alone would have none, not even a first.
        words = new String(unread.bytes, unread.from, length - 1, StandardCharsets.UTF_8).split(" ", -1);
        unread.from = end + 1;
        blob = blobs.after(words);
        if (blob > LONGEST_BLOB) {
            throw new MalformedMessageException("a length past belief: " + blob);
        }
        return true;
    }

    public static int length(String word) throws MalformedMessageException {
        return (int) whole(word, Integer.MAX_VALUE);
    }

    static long whole(String word, long most) throws MalformedMessageException {
        try {
            long n = Long.parseLong(word);
            if (n >= 0 && n <= most) {
                return n;
            }
        } catch (NumberFormatException e) {
            // Told below, as a number out of bounds is.
        }
        throw new MalformedMessageException("no whole number: " + word);
    }

    static double number(String word) throws MalformedMessageException {
        try {
            double n = Double.parseDouble(word);
            if (Double.isFinite(n)) {
                return n;
            }
        } catch (NumberFormatException e) {
            // Told below, as a number without bounds is.
        }
        throw new MalformedMessageException("no number: " + word);
    }
}
