package topazladder.net.codec;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import topazladder.net.codec.LineReader.Line;
import topazladder.request.Outcome;

/** The commands to the runtime, and its notices. */
public final class RuntimeLines {
    private static final int LONGEST_LINE = 4096;

    /** What the runtime says. */
    public sealed interface Notice {}

    public record Ready(boolean loaded, double secondsAgo) implements Notice {
    }

    public record Ended(long number, String ref, Outcome how, double elapsed, byte[] result) implements Notice {
    }

    public record Wants(long number, String ref, byte[] body) implements Notice {
    }

    public record Load(String tag, double[] values) implements Notice {
    }

    public record Verdict(String tag, boolean passed) implements Notice {
    }

    public record Nack(String command, String ref) implements Notice {
    }

    public record Info(long number, String text) implements Notice {
    }

    private RuntimeLines() {}

    public static LineReader reader() {
        return new LineReader(LONGEST_LINE, words -> switch (words[0]) {
            case "end" -> words.length == 6 ? LineReader.length(words[5]) : -1;
            case "wants" -> words.length == 4 ? LineReader.length(words[3]) : -1;
            default -> -1;
        });
    }

    public static Notice notice(Line line) throws MalformedMessageException {
        String[] w = line.words();
        switch (w[0]) {
            case "ready" :
                need(w, 3);
                if (!w[1].equals("EMPTY") && !w[1].equals("LOADED")) {
                    throw new MalformedMessageException("ready in no known state: " + w[1]);
                }
                return new Ready(w[1].equals("LOADED"), LineReader.number(w[2]) / 1000);
            case "end" :
                need(w, 5);
                return new Ended(LineReader.whole(w[1], Long.MAX_VALUE), w[2], ending(w[3]),
                        LineReader.number(w[4]) / 1000, line.blob() == null ? new byte[0] : line.blob());
            case "wants" :
                need(w, 4);
                return new Wants(LineReader.whole(w[1], Long.MAX_VALUE), w[2], line.blob());
            case "load" :
                need(w, 2);
                double[] values = new double[w.length - 2];
                for (int i = 0; i < values.length; i++) {
                    values[i] = LineReader.number(w[i + 2]);
                }
                return new Load(w[1], values);
            case "verdict" :
                need(w, 3);
                return new Verdict(w[1], w[2].equals("PASS"));
            case "nack" :
                need(w, 2);
                return new Nack(w[1], w.length > 2 ? w[2] : "");
            case "info" :
                need(w, 2);
                return new Info(LineReader.whole(w[1], Long.MAX_VALUE), String.join(" ", w));
            default :
                throw new MalformedMessageException("no notice of the runtime: " + w[0]);
        }
    }

    public static byte[] sync(long lastRead) {
        return line("sync " + lastRead);
    }

    public static byte[] start(String ref, String requestClass, byte[] body) {
        return line("start " + ref + " " + requestClass + " " + body.length, body);
    }

    public static byte[] give(String ref, byte[] reply) {
        return line("give " + ref + " " + reply.length, reply);
    }

    public static byte[] omit(String ref, long notice) {
        return line("omit " + ref + " " + notice);
    }

    public static byte[] gauges(String tag) {
        return line("gauges " + tag);
    }

    public static byte[] selftest(String tag) {
        return line("selftest " + tag);
    }

    static byte[] line(String words) {
        return (words + "\r\n").getBytes(StandardCharsets.UTF_8);
    }

    static byte[] line(String words, byte[] blob) {
        byte[] head = line(words);
        byte[] all = Arrays.copyOf(head, head.length + blob.length + 2);
        System.arraycopy(blob, 0, all, head.length, blob.length);
        all[all.length - 2] = '\r';
        all[all.length - 1] = '\n';
        return all;
    }

    private static void need(String[] words, int count) throws MalformedMessageException {
        if (words.length < count) {
            throw new MalformedMessageException(words[0] + " with too few words");
        }
    }

    private static Outcome ending(String word) throws MalformedMessageException {
        return switch (word) {
            case "PASS" -> Outcome.SUCCEEDED;
            case "FAIL" -> Outcome.FAILED;
            case "KILLED" -> Outcome.CANCELLED;
            case "NOOP" -> Outcome.NOT_STARTED;
            default -> throw new MalformedMessageException("a run that ended as " + word);
        };
    }
}
