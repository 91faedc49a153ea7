package topazladder.net.codec;

import topazladder.net.codec.LineReader.Line;
import topazladder.request.Outcome;

/** Encodes the calls to the dependency, which the protocol names the index, and decodes its replies. */
public final class DependencyLines {
    /** An id, a word and a length, with bytes to spare; past it a line is noise. */
    private static final int MAX_LINE_BYTES = 100;
    private static final String SUCCEEDED = "HIT";

    /**
     * How a call ended.
     *
     * @param reference of the request that the call was made for
     * @param payload null unless the call succeeded
     */
    public record Reply(String reference, Outcome outcome, byte[] payload) {
    }

    private DependencyLines() {}

    /** Creates a reader for one connection. */
    public static LineReader reader() {
        return new LineReader(MAX_LINE_BYTES, words -> words.length == 3 && words[1].equals(SUCCEEDED)
                ? LineReader.length(words[2]) : LineReader.NO_PAYLOAD);
    }

    /** Decodes a reply; throws if its words are none that the dependency may say. */
    public static Reply reply(Line line) throws MalformedMessageException {
        String[] words = line.words();
        if (words.length < 2 || words[1].equals(SUCCEEDED) != (line.payload() != null)) {
            throw new MalformedMessageException("no reply of the index: " + String.join(" ", words));
        }
        return new Reply(words[0], outcome(words[1]), line.payload());
    }

    private static Outcome outcome(String word) throws MalformedMessageException {
        return switch (word) {
            case SUCCEEDED -> Outcome.SUCCEEDED;
            case "SHED" -> Outcome.REJECTED;
            case "BROKEN" -> Outcome.FAILED;
            case "SLOW" -> Outcome.TIMED_OUT;
            case "NOBODY" -> Outcome.NOT_STARTED;
            default -> throw new MalformedMessageException("a call that ended as " + word);
        };
    }

    /**
     * Encodes a call.
     *
     * @param timeoutSeconds how long this side waits; sent as at least a millisecond, as 0 would mean none at all
     */
    public static byte[] call(String reference, double timeoutSeconds, byte[] body) {
        long timeoutMillis = Math.max(1, Math.round(timeoutSeconds * 1000));
        return RuntimeLines.line("GET " + reference + " " + timeoutMillis + " " + body.length, body);
    }
}
