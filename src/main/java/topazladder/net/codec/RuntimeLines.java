package topazladder.net.codec;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import topazladder.net.codec.LineReader.Line;
import topazladder.request.Outcome;

/** Encodes the commands to the runtime, and decodes its notices. */
public final class RuntimeLines {
    /** The first word of the commands whose rejection has a meaning of its own. */
    public static final String START = "start";
    public static final String SELF_TEST = "selftest";

    private static final int MAX_LINE_BYTES = 4096;
    private static final byte[] NO_RESULT = {};

    private RuntimeLines() {}

    /** Creates a reader for one link. */
    public static LineReader reader() {
        return new LineReader(MAX_LINE_BYTES, words -> switch (words[0]) {
            case "end" -> words.length == 6 ? LineReader.length(words[5]) : LineReader.NO_PAYLOAD;
            case "wants" -> words.length == 4 ? LineReader.length(words[3]) : LineReader.NO_PAYLOAD;
            default -> LineReader.NO_PAYLOAD;
        });
    }

    /** Decodes a notice; throws if its words are none that the runtime may say. */
    public static RuntimeNotice notice(Line line) throws MalformedMessageException {
        String[] words = line.words();
        return switch (words[0]) {
            case "ready" -> ready(words);
            case "end" -> runEnded(words, line.payload());
            case "wants" -> dependencyCallRequested(words, line.payload());
            case "load" -> gauges(words);
            case "verdict" -> healthCheckCompleted(words);
            case "nack" -> commandRejected(words);
            case "info" -> remark(words);
            default -> throw new MalformedMessageException("no notice of the runtime: " + words[0]);
        };
    }

    private static RuntimeNotice ready(String[] words) throws MalformedMessageException {
        requireWords(words, 3);
        boolean loaded = words[1].equals("LOADED");
        if (!loaded && !words[1].equals("EMPTY")) {
            throw new MalformedMessageException("ready in no known state: " + words[1]);
        }
        return new RuntimeNotice.Ready(loaded, LineReader.number(words[2]) / 1000);
    }

    private static RuntimeNotice runEnded(String[] words, byte[] result) throws MalformedMessageException {
        requireWords(words, 5);
        return new RuntimeNotice.RunEnded(number(words[1]), words[2], outcome(words[3]),
                LineReader.number(words[4]) / 1000, result == null ? NO_RESULT : result);
    }

    private static RuntimeNotice dependencyCallRequested(String[] words, byte[] body)
            throws MalformedMessageException {
        requireWords(words, 4);
        return new RuntimeNotice.DependencyCallRequested(number(words[1]), words[2], body);
    }

    private static RuntimeNotice gauges(String[] words) throws MalformedMessageException {
        requireWords(words, 2);
        double[] values = new double[words.length - 2];
        for (int i = 0; i < values.length; i++) {
            values[i] = LineReader.number(words[i + 2]);
        }
        return new RuntimeNotice.Gauges(words[1], values);
    }

    private static RuntimeNotice healthCheckCompleted(String[] words) throws MalformedMessageException {
        requireWords(words, 3);
        return new RuntimeNotice.HealthCheckCompleted(words[1], words[2].equals("PASS"));
    }

    private static RuntimeNotice commandRejected(String[] words) throws MalformedMessageException {
        requireWords(words, 2);
        return new RuntimeNotice.CommandRejected(words[1], words.length > 2 ? words[2] : "");
    }

    private static RuntimeNotice remark(String[] words) throws MalformedMessageException {
        requireWords(words, 2);
        return new RuntimeNotice.Remark(number(words[1]), String.join(" ", words));
    }

    /**
     * Encodes the first command on a link.
     *
     * @param lastRead number of the last notice that was read, 0 after a start
     */
    public static byte[] sync(long lastRead) {
        return line("sync " + lastRead);
    }

    /** Encodes the command to run a request. */
    public static byte[] start(String reference, String requestClass, byte[] body) {
        return line(START + " " + reference + " " + requestClass + " " + body.length, body);
    }

    /** Encodes the dependency's reply for the run that waits for it. */
    public static byte[] give(String reference, byte[] reply) {
        return line("give " + reference + " " + reply.length, reply);
    }

    /** Encodes the command to go on without the call that a notice asked for. */
    public static byte[] omit(String reference, long notice) {
        return line("omit " + reference + " " + notice);
    }

    /** Encodes the question for the gauges; the tag comes back with them. */
    public static byte[] gauges(String tag) {
        return line("gauges " + tag);
    }

    /** Encodes the command to do the work of a deep health check; the tag comes back with its result. */
    public static byte[] selfTest(String tag) {
        return line(SELF_TEST + " " + tag);
    }

    static byte[] line(String words) {
        return (words + "\r\n").getBytes(StandardCharsets.UTF_8);
    }

    static byte[] line(String words, byte[] payload) {
        byte[] head = line(words);
        byte[] line = Arrays.copyOf(head, head.length + payload.length + 2);
        System.arraycopy(payload, 0, line, head.length, payload.length);
        line[line.length - 2] = '\r';
        line[line.length - 1] = '\n';
        return line;
    }

    private static void requireWords(String[] words, int count) throws MalformedMessageException {
        if (words.length < count) {
            throw new MalformedMessageException(words[0] + " with too few words");
        }
    }

    private static long number(String word) throws MalformedMessageException {
        return LineReader.whole(word, Long.MAX_VALUE);
    }

    private static Outcome outcome(String word) throws MalformedMessageException {
        return switch (word) {
            case "PASS" -> Outcome.SUCCEEDED;
            case "FAIL" -> Outcome.FAILED;
            case "KILLED" -> Outcome.CANCELLED;
            case "NOOP" -> Outcome.NOT_STARTED;
            default -> throw new MalformedMessageException("a run that ended as " + word);
        };
    }
}
