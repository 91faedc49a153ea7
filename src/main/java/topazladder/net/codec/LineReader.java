package topazladder.net.codec;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads lines of words that end in CR LF, some followed by a payload of as many bytes as their last word says and
 * CR LF. Bytes may come in any pieces.
 */
public final class LineReader {
    /** Returned by a {@link PayloadLength} for a line without a payload. */
    public static final int NO_PAYLOAD = -1;

    /** Far past any body, result or reply: more is neither waited for nor buffered. */
    private static final int MAX_PAYLOAD_BYTES = 1 << 16;

    /** Tells how many bytes follow a line; {@link #NO_PAYLOAD} if none, and no CR LF of theirs either. */
    public interface PayloadLength {
        int of(String[] words) throws MalformedMessageException;
    }

    /** One message: its words, and its payload or null. */
    public record Line(String[] words, byte[] payload) {
    }

    private final int maxLineBytes;
    private final PayloadLength payloadLength;
    private final ReceiveBuffer received = new ReceiveBuffer();
    private String[] words; // of the line whose payload has not all come, or null
    private int payloadBytes;

    /** @param maxLineBytes past which a line without an end is malformed; without its CR LF and payload */
    public LineReader(int maxLineBytes, PayloadLength payloadLength) {
        this.maxLineBytes = maxLineBytes;
        this.payloadLength = payloadLength;
    }

    /** Adds bytes in the order in which they came. */
    public void feed(byte[] bytes) {
        received.add(bytes);
    }

    /** The memory that unread bytes hold. */
    int bufferedBytes() {
        return received.capacity();
    }

    /** Whether all that came was taken as whole messages. */
    public boolean isEmpty() {
        return words == null && received.size() == 0;
    }

    /**
     * Returns the next whole message, or null until more bytes have come.
     *
     * @throws MalformedMessageException if the bytes are no line; the connection can't be read any further
     */
    public Line next() throws MalformedMessageException {
        Line line = read();
        if (line == null) {
            received.trim();
        }
        return line;
    }

    private Line read() throws MalformedMessageException {
        if (words == null && !readWords()) {
            return null;
        }
        byte[] payload = null;
        if (payloadBytes >= 0) {
            if (received.size() < payloadBytes + 2) {
                return null;
            }
            int end = received.from + payloadBytes;
            if (received.bytes[end] != '\r' || received.bytes[end + 1] != '\n') {
                throw new MalformedMessageException("bytes that do not end in CR LF");
            }
            payload = Arrays.copyOfRange(received.bytes, received.from, end);
            received.from = end + 2;
        }
        Line line = new Line(words, payload);
        words = null;
        return line;
    }

    private boolean readWords() throws MalformedMessageException {
        int end = endOfLine();
        int length = end - received.from;
        if (length > maxLineBytes) {
            throw new MalformedMessageException("a line without an end");
        }
        if (end == received.to) {
            return false;
        }
        if (length == 0 || received.bytes[end - 1] != '\r') {
            throw new MalformedMessageException("a line that does not end in CR LF");
        }
        // The limit keeps empty words: without it a line of spaces alone would have none, not even a first.
        words = new String(received.bytes, received.from, length - 1, StandardCharsets.UTF_8).split(" ", -1);
        received.from = end + 1;
        payloadBytes = payloadLength.of(words);
        if (payloadBytes > MAX_PAYLOAD_BYTES) {
            throw new MalformedMessageException("a length past belief: " + payloadBytes);
        }
        return true;
    }

    private int endOfLine() throws MalformedMessageException {
        int end = received.from;
        while (end < received.to && received.bytes[end] != '\n') {
            // Noise may hold no end of a line for long: it is known by the first byte that no line holds.
            if (received.bytes[end] >= 0 && received.bytes[end] < ' ' && received.bytes[end] != '\r') {
                throw new MalformedMessageException("a line with a control character");
            }
            end++;
        }
        return end;
    }

    /** Reads a word that gives the length of a payload in bytes. */
    public static int length(String word) throws MalformedMessageException {
        return (int) whole(word, Integer.MAX_VALUE);
    }

    static long whole(String word, long max) throws MalformedMessageException {
        try {
            long number = Long.parseLong(word);
            if (number >= 0 && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below, as a number out of bounds is.
        }
        throw new MalformedMessageException("no whole number: " + word);
    }

    static double number(String word) throws MalformedMessageException {
        try {
            double number = Double.parseDouble(word);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below, as a number that is not finite is.
        }
        throw new MalformedMessageException("no number: " + word);
    }
}
