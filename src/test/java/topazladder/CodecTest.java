package topazladder;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static topazladder.CallerFrameBuilder.deepHealthCheck;
import static topazladder.CallerFrameBuilder.fields;
import static topazladder.CallerFrameBuilder.frame;
import static topazladder.CallerFrameBuilder.text;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import topazladder.net.codec.CallerFrameEncoder;
import topazladder.net.codec.CallerFrameReader;
import topazladder.net.codec.CallerMessage;
import topazladder.net.codec.DependencyLines;
import topazladder.net.codec.LineReader;
import topazladder.net.codec.MalformedMessageException;
import topazladder.net.codec.RuntimeLines;
import topazladder.net.codec.RuntimeNotice;
import topazladder.service.AdmissionLevel;
import topazladder.service.IncomingRequest;
import topazladder.service.Response;
import topazladder.service.Response.Status;

/** What callers, runtime and dependency write is read from any pieces, and what is no message is told from that. */
class CodecTest {
    private static final byte[] REQUEST = frame(16, 7, fields("service", "place", "ref",
            "9b1f03aa5c7e2d41", "since", "1764576000123", "sender", "4", "project", "acme", "dup", "1", "room", "24.5",
            "class_rank", "0.6250", "replay", "5c0f"), new byte[] {0, 13, 10, -1});

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 10, 10_000})
    void framesAreReadFromPiecesOfAnySize(int piece) throws MalformedMessageException {
        byte[] gone = frame(18, 7);
        byte[] check = deepHealthCheck(1);
        byte[] all = Arrays.copyOf(REQUEST, REQUEST.length + gone.length + check.length);
        System.arraycopy(gone, 0, all, REQUEST.length, gone.length);
        System.arraycopy(check, 0, all, REQUEST.length + gone.length, check.length);
        CallerFrameReader reader = new CallerFrameReader();
        List<CallerMessage> read = new ArrayList<>();
        for (int i = 0; i < all.length; i += piece) {
            reader.feed(Arrays.copyOfRange(all, i, Math.min(all.length, i + piece)));
            for (CallerMessage message = reader.next(); message != null; message = reader.next()) {
                read.add(message);
            }
        }
        assertThat(read).hasSize(3);
        CallerMessage.RequestSubmitted submitted = (CallerMessage.RequestSubmitted) read.get(0);
        assertThat(submitted.stream()).isEqualTo(7);
        assertThat(submitted.request()).usingRecursiveComparison().isEqualTo(new IncomingRequest(
                "9b1f03aa5c7e2d41", "place", "acme", 1764576000.123, true, 24.5, 0.625, "5c0f",
                new byte[] {0, 13, 10, -1}));
        assertThat(read.subList(1, 3)).containsExactly(new CallerMessage.RequestCancelled(7),
                new CallerMessage.HealthCheck(1, true));
    }

    @Test
    void lengthsAreTakenUpToTheirBoundsAndNotPast() throws MalformedMessageException {
        assertThat(read(frame(16, 1, fields(), new byte[262_138]))).isInstanceOf(
                CallerMessage.InvalidRequest.class);
        CallerFrameReader pieces = new CallerFrameReader();
        byte[] longest = frame(16, 9, fields(), new byte[262_138]);
        pieces.feed(Arrays.copyOf(longest, 100_000));
        assertThat(pieces.next()).isNull();
        pieces.feed(Arrays.copyOfRange(longest, 100_000, longest.length));
        pieces.feed(frame(18, 3));
        assertThat(pieces.next()).isEqualTo(new CallerMessage.InvalidRequest(9, "body"));
        assertThat(pieces.next()).isEqualTo(new CallerMessage.RequestCancelled(3));
        malformed(frame(18, 1, new byte[20_000]), "a frame of 20005 bytes that is no request");
        malformed(new byte[] {0, 0, 0, 4, 18, 0, 0, 0}, "a frame of 4 bytes");
        malformed(new byte[] {0, 4, 0, 1}, "a frame of 262145 bytes");
        malformed(new byte[] {-1, -1, -1, -1}, "a frame of 4294967295 bytes");
    }

    @Test
    void malformedFramesAreToldFromBadRequests() throws MalformedMessageException {
        malformed(frame(17, 1), "a frame of type 17");
        malformed(frame(16, 0, fields()), "a request on stream 0");
        malformed(frame(16, 1), "fields cut short");
        malformed(frame(16, 1, new byte[] {1, 9, 'r'}), "fields cut short");
        malformed(frame(16, 1, fields("ref", "a", "ref", "b")), "a field given twice: ref");
        assertThat(why("service", null)).isEqualTo("service");
        assertThat(why("ref", "9b1f")).isEqualTo("ref");
        assertThat(why("ref", "9b1f03aa5c7e2d4 ")).isEqualTo("ref");
        assertThat(why("since", "soon")).isEqualTo("since");
        assertThat(why("room", "0")).isEqualTo("room");
        assertThat(why("room", "2000")).isEqualTo("room");
        assertThat(why("room", "NaN")).isEqualTo("room");
        assertThat(why("class_rank", "1")).isEqualTo("class_rank");
        assertThat(why("dup", "2")).isEqualTo("dup");
        assertThat(why("colour", "red")).isEqualTo("unknown field");
        assertThat(((CallerMessage.InvalidRequest) read(frame(16, 1, requestFields("ref", "9b1f03aa5c7e2d41"),
                new byte[2049]))).reason()).isEqualTo("body");
    }

    @Test
    void answersCarryWhatWasRuled() {
        assertThat(text(cut(CallerFrameEncoder.answer(3, new Response(Status.SERVED, AdmissionLevel.of(0.25), 0, false,
                "result".getBytes(StandardCharsets.UTF_8)))))).isEqualTo("17 on 3 code 0 pressure=0.25 result");
        assertThat(
                text(cut(CallerFrameEncoder.answer(4,
                        new Response(Status.REJECTED, AdmissionLevel.NONE, 0.2501, true, new byte[0])))))
                                .isEqualTo("17 on 4 code 1 cooldown=251 nowhere=1");
        assertThat(text(cut(
                CallerFrameEncoder.answer(5, new Response(Status.FAILED, AdmissionLevel.NONE, 0, false, new byte[0])))))
                        .isEqualTo("17 on 5 code 2");
        assertThat(text(cut(CallerFrameEncoder.health(1, false, AdmissionLevel.of(0.5)))))
                .isEqualTo("33 on 1 code 1 pressure=0.5");
        assertThat(text(cut(CallerFrameEncoder.noNewRequest()))).isEqualTo("48 on 0");
        assertThat(text(cut(CallerFrameEncoder.error("why")))).isEqualTo("17 on 0 code 2 why");
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 7, 1000})
    void linesAreReadFromPiecesOfAnySize(int piece) throws MalformedMessageException {
        String said = "ready EMPTY 120\r\nend 1 9b1f PASS 31.5 4\r\na\r\nb\r\nend 2 9b20 NOOP 0 0\r\n\r\n"
                + "wants 3 9b21 2\r\n\r\n\r\nload c5 0.5 3 0.25 7\r\nverdict 8 FAIL\r\n"
                + "nack start 9b22\r\ninfo 4 a b\r\n";
        LineReader reader = RuntimeLines.reader();
        List<String> read = new ArrayList<>();
        byte[] all = said.getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < all.length; i += piece) {
            reader.feed(Arrays.copyOfRange(all, i, Math.min(all.length, i + piece)));
            for (LineReader.Line line = reader.next(); line != null; line = reader.next()) {
                read.add(describe(RuntimeLines.notice(line)));
            }
        }
        assertThat(read).containsExactly("Ready[loaded=false, upSeconds=0.12]",
                "RunEnded[number=1, reference=9b1f, outcome=SUCCEEDED, elapsedSeconds=0.0315, result=a\r\nb]",
                "RunEnded[number=2, reference=9b20, outcome=NOT_STARTED, elapsedSeconds=0.0, result=]",
                "DependencyCallRequested[number=3, reference=9b21, body=\r\n]",
                "Gauges[tag=c5, values=[0.5, 3.0, 0.25, 7.0]]", "HealthCheckCompleted[tag=8, passed=false]",
                "CommandRejected[command=start, reference=9b22]", "Remark[number=4, text=info 4 a b]");
    }

    @ParameterizedTest
    @ValueSource(strings = {"hello\r\n", "ready FULL 3\r\n", "ready EMPTY\r\n", "end 1 9b1f GOOD 3 0\r\n\r\n",
            "end x 9b1f PASS 3 0\r\n\r\n", "end 1 9b1f PASS 3 2\r\nabc\r\n", "wants 1 9b1f -2\r\n", "load c1 NaN\r\n",
            "ready EMPTY 3\n", "\r\n", " \r\n", "  \r\n", "wants 1 9b1f 99999999\r\n"})
    void linesThatAreNoNoticeAreMalformed(String said) {
        LineReader reader = RuntimeLines.reader();
        reader.feed(said.getBytes(StandardCharsets.UTF_8));
        assertThatThrownBy(() -> RuntimeLines.notice(reader.next())).isInstanceOf(MalformedMessageException.class);
    }

    @Test
    void repliesOfTheIndexAreTold() throws MalformedMessageException {
        LineReader reader = DependencyLines.reader();
        reader.feed("a HIT 3\r\nx\r\n\r\nb SHED\r\nc BROKEN\r\nd SLOW\r\ne NOBODY\r\n"
                .getBytes(StandardCharsets.UTF_8));
        List<String> read = new ArrayList<>();
        for (LineReader.Line line = reader.next(); line != null; line = reader.next()) {
            DependencyLines.Reply reply = DependencyLines.reply(line);
            read.add(reply.reference() + " " + reply.outcome()
                    + (reply.payload() == null ? "" : " " + reply.payload().length));
        }
        assertThat(read).containsExactly("a SUCCEEDED 3", "b REJECTED", "c FAILED", "d TIMED_OUT", "e NOT_STARTED");
        LineReader worse = DependencyLines.reader();
        worse.feed("a HIT\r\n".getBytes(StandardCharsets.UTF_8));
        assertThatThrownBy(() -> DependencyLines.reply(worse.next())).isInstanceOf(MalformedMessageException.class);
        assertThat(new String(DependencyLines.call("9b1f", 0.0001, new byte[] {'x'}), StandardCharsets.UTF_8))
                .isEqualTo("GET 9b1f 1 1\r\nx\r\n");
    }

    private static CallerMessage read(byte[] bytes) throws MalformedMessageException {
        CallerFrameReader reader = new CallerFrameReader();
        reader.feed(bytes);
        return reader.next();
    }

    private static void malformed(byte[] bytes, String why) {
        assertThatThrownBy(() -> read(bytes)).isInstanceOf(MalformedMessageException.class).hasMessage(why);
    }

    private static byte[] requestFields(String name, String value) {
        List<String> fields = new ArrayList<>(List.of("service", "read", "ref", "9b1f03aa5c7e2d41",
                "since", "1764576000123", "room", "24.5", "class_rank", "0.5"));
        int at = fields.indexOf(name);
        if (at >= 0) {
            fields.subList(at, at + 2).clear();
        }
        if (value != null) {
            fields.addAll(List.of(name, value));
        }
        return fields(fields.toArray(String[]::new));
    }

    private static String why(String name, String value) throws MalformedMessageException {
        return ((CallerMessage.InvalidRequest) read(frame(16, 1, requestFields(name, value)))).reason();
    }

    private static byte[] cut(byte[] frame) {
        return Arrays.copyOfRange(frame, 4, frame.length);
    }

    private static String describe(RuntimeNotice notice) {
        if (notice instanceof RuntimeNotice.RunEnded ended) {
            return "RunEnded[number=" + ended.number() + ", reference=" + ended.reference() + ", outcome="
                    + ended.outcome() + ", elapsedSeconds=" + ended.elapsedSeconds() + ", result="
                    + new String(ended.result()) + "]";
        } else if (notice instanceof RuntimeNotice.DependencyCallRequested requested) {
            return "DependencyCallRequested[number=" + requested.number() + ", reference=" + requested.reference()
                    + ", body=" + new String(requested.body()) + "]";
        } else if (notice instanceof RuntimeNotice.Gauges gauges) {
            return "Gauges[tag=" + gauges.tag() + ", values=" + Arrays.toString(gauges.values()) + "]";
        }
        return notice.toString();
    }
}
