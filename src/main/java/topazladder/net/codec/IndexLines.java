package topazladder.net.codec;

import topazladder.net.codec.LineReader.Line;
import topazladder.request.Outcome;

/** The calls to the index, and its replies. */
public final class IndexLines {
    /** An id, a word and a length, with room to spare; past it a line is noise. */
    private static final int LONGEST_LINE = 100;

    /** How a call ended; the reply is null unless it went well. */
    public record Reply(String ref, Outcome how, byte[] reply) {
    }

    private IndexLines() {}

    public static LineReader reader() {
        return new LineReader(LONGEST_LINE, words -> words.length == 3 && words[1].equals("HIT")
                ? LineReader.length(words[2]) : -1);
    }

    public static Reply reply(Line line) throws MalformedMessageException {
        String[] w = line.words();
        if (w.length < 2 || w[1].equals("HIT") != (line.blob() != null)) {
            throw new MalformedMessageException("no reply of the index: " + String.join(" ", w));
        }
        return new Reply(w[0], switch (w[1]) {
            case "HIT" -> Outcome.SUCCEEDED;
            case "SHED" -> Outcome.REJECTED;
            case "BROKEN" -> Outcome.FAILED;
            case "SLOW" -> Outcome.TIMED_OUT;
            case "NOBODY" -> Outcome.NOT_STARTED;
            default -> throw new MalformedMessageException("a call that ended as " + w[1]);
        }, line.blob());
    }

    /** Waits at least a millisecond, as 0 would mean none at all. */
    public static byte[] get(String ref, double patience, byte[] body) {
        long ms = Math.max(1, Math.round(patience * 1000));
        return RuntimeLines.line("GET " + ref + " " + ms + " " + body.length, body);
    }
}
