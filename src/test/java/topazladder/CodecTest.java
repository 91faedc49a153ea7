package topazladder;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import topazladder.net.codec.CallerFrames;
import topazladder.net.codec.CallerMessage;
import topazladder.net.codec.FrameReader;
import topazladder.net.codec.IndexLines;
import topazladder.net.codec.LineReader;
import topazladder.net.codec.MalformedMessageException;
import topazladder.net.codec.RuntimeLines;
import topazladder.service.AdmissionLevel;
import topazladder.service.IncomingRequest;
import topazladder.service.Response;
import topazladder.service.Response.Status;

class CodecTest {
    private static final byte[] REQUEST = Frames.frame(16, 7, Frames.fields("service", "place", "ref",
            "9b1f03aa5c7e2d41", "since", "1764576000123", "sender", "4", "project", "acme", "dup", "1", "room", "24.5",
            "class_rank", "0.6250", "replay", "5c0f"), new byte[] {0, 13, 10, -1});

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 10, 10_000})
    void framesAreReadFromPiecesOfAnySize(int piece) throws MalformedMessageException {
        byte[] gone = Frames.frame(18, 7);
        byte[] check = Frames.frame(32, 1, Frames.fields("inner", "1"));
        byte[] all = Arrays.copyOf(REQUEST, REQUEST.length + gone.length + check.length);
        System.arraycopy(gone, 0, all, REQUEST.length, gone.length);
        System.arraycopy(check, 0, all, REQUEST.length + gone.length, check.length);
        FrameReader reader = new FrameReader();
        List<CallerMessage> read = new ArrayList<>();
        for (int i = 0; i < all.length; i += piece) {
            reader.feed(Arrays.copyOfRange(all, i, Math.min(all.length, i + piece)));
            for (CallerMessage m = reader.next(); m != null; m = reader.next()) {
                read.add(m);
            }
        }
        assertThat(read).hasSize(3);
        CallerMessage.Submitted s = (CallerMessage.Submitted) read.get(0);
        assertThat(s.stream()).isEqualTo(7);
        assertThat(s.arrival()).usingRecursiveComparison().isEqualTo(new IncomingRequest(
                "9b1f03aa5c7e2d41", "place", "acme", 1764576000.123, true, 24.5, 0.625, "5c0f",
                new byte[] {0, 13, 10, -1}));
        assertThat(read.subList(1, 3)).containsExactly(new CallerMessage.GivenUp(7), new CallerMessage.Check(1, true));
    }

    @Test
    void lengthsAreTakenUpToTheirBoundsAndNotPast() throws MalformedMessageException {
        assertThat(read(Frames.frame(16, 1, Frames.fields(), new byte[262_138]))).isInstanceOf(
                CallerMessage.Unusable.class);
        FrameReader pieces = new FrameReader();
        byte[] longest = Frames.frame(16, 9, Frames.fields(), new byte[262_138]);
        pieces.feed(Arrays.copyOf(longest, 100_000));
        assertThat(pieces.next()).isNull();
        pieces.feed(Arrays.copyOfRange(longest, 100_000, longest.length));
        pieces.feed(Frames.frame(18, 3));
        assertThat(pieces.next()).isEqualTo(new CallerMessage.Unusable(9, "body"));
        assertThat(pieces.next()).isEqualTo(new CallerMessage.GivenUp(3));
        malformed(Frames.frame(18, 1, new byte[20_000]), "a frame of 20005 bytes that is no request");
        malformed(new byte[] {0, 0, 0, 4, 18, 0, 0, 0}, "a frame of 4 bytes");
        malformed(new byte[] {0, 4, 0, 1}, "a frame of 262145 bytes");
        malformed(new byte[] {-1, -1, -1, -1}, "a frame of 4294967295 bytes");
    }

    @Test
    void malformedFramesAreToldFromBadRequests() throws MalformedMessageException {
        malformed(Frames.frame(17, 1), "a frame of type 17");
        malformed(Frames.frame(16, 0, Frames.fields()), "a request on stream 0");
        malformed(Frames.frame(16, 1), "fields cut short");
        malformed(Frames.frame(16, 1, new byte[] {1, 9, 'r'}), "fields cut short");
        malformed(Frames.frame(16, 1, Frames.fields("ref", "a", "ref", "b")), "a field given twice: ref");
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
        assertThat(((CallerMessage.Unusable) read(Frames.frame(16, 1, fields("ref", "9b1f03aa5c7e2d41"),
                new byte[2049]))).why()).isEqualTo("body");
    }

    @Test
    void answersCarryWhatWasRuled() {
        assertThat(Frames.text(cut(CallerFrames.answer(3, new Response(Status.SERVED, AdmissionLevel.of(0.25), 0, false,
                "result".getBytes(StandardCharsets.UTF_8)))))).isEqualTo("17 on 3 code 0 pressure=0.25 result");
        assertThat(
                Frames.text(cut(CallerFrames.answer(4,
                        new Response(Status.REJECTED, AdmissionLevel.NONE, 0.2501, true, new byte[0])))))
                                .isEqualTo("17 on 4 code 1 cooldown=251 nowhere=1");
        assertThat(Frames.text(
                cut(CallerFrames.answer(5, new Response(Status.FAILED, AdmissionLevel.NONE, 0, false, new byte[0])))))
                        .isEqualTo("17 on 5 code 2");
        assertThat(Frames.text(cut(CallerFrames.health(1, false, AdmissionLevel.of(0.5)))))
                .isEqualTo("33 on 1 code 1 pressure=0.5");
        assertThat(Frames.text(cut(CallerFrames.noNewRequest()))).isEqualTo("48 on 0");
        assertThat(Frames.text(cut(CallerFrames.error("why")))).isEqualTo("17 on 0 code 2 why");
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
            for (LineReader.Line l = reader.next(); l != null; l = reader.next()) {
                read.add(text(RuntimeLines.notice(l)));
            }
        }
        assertThat(read).containsExactly("Ready[loaded=false, secondsAgo=0.12]",
                "Ended[number=1, ref=9b1f, how=OK, elapsed=0.0315, result=a\r\nb]",
                "Ended[number=2, ref=9b20, how=MOOT, elapsed=0.0, result=]", "Wants[number=3, ref=9b21, body=\r\n]",
                "Load[tag=c5, values=[0.5, 3.0, 0.25, 7.0]]", "Verdict[tag=8, passed=false]",
                "Nack[command=start, ref=9b22]", "Info[number=4, text=info 4 a b]");
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
        LineReader reader = IndexLines.reader();
        reader.feed("a HIT 3\r\nx\r\n\r\nb SHED\r\nc BROKEN\r\nd SLOW\r\ne NOBODY\r\n"
                .getBytes(StandardCharsets.UTF_8));
        List<String> read = new ArrayList<>();
        for (LineReader.Line l = reader.next(); l != null; l = reader.next()) {
            IndexLines.Reply r = IndexLines.reply(l);
            read.add(r.ref() + " " + r.how() + (r.reply() == null ? "" : " " + r.reply().length));
        }
        assertThat(read).containsExactly("a SUCCEEDED 3", "b REJECTED", "c FAILED", "d TIMED_OUT", "e NOT_STARTED");
        LineReader worse = IndexLines.reader();
        worse.feed("a HIT\r\n".getBytes(StandardCharsets.UTF_8));
        assertThatThrownBy(() -> IndexLines.reply(worse.next())).isInstanceOf(MalformedMessageException.class);
        assertThat(new String(IndexLines.get("9b1f", 0.0001, new byte[] {'x'}), StandardCharsets.UTF_8))
                .isEqualTo("GET 9b1f 1 1\r\nx\r\n");
    }

    private static CallerMessage read(byte[] bytes) throws MalformedMessageException {
        FrameReader reader = new FrameReader();
        reader.feed(bytes);
        return reader.next();
    }

    private static void malformed(byte[] bytes, String why) {
        assertThatThrownBy(() -> read(bytes)).isInstanceOf(MalformedMessageException.class).hasMessage(why);
    }

    private static byte[] fields(String name, String value) {
        List<String> fields = new ArrayList<>(List.of("service", "read", "ref", "9b1f03aa5c7e2d41",
                "since", "1764576000123", "room", "24.5", "class_rank", "0.5"));
        int at = fields.indexOf(name);
        if (at >= 0) {
            fields.subList(at, at + 2).clear();
        }
        if (value != null) {
            fields.addAll(List.of(name, value));
        }
        return Frames.fields(fields.toArray(String[]::new));
    }

    private static String why(String name, String value) throws MalformedMessageException {
        return ((CallerMessage.Unusable) read(Frames.frame(16, 1, fields(name, value)))).why();
    }

    private static byte[] cut(byte[] frame) {
        return Arrays.copyOfRange(frame, 4, frame.length);
    }

    private static String text(RuntimeLines.Notice n) {
        if (n instanceof RuntimeLines.Ended e) {
            return "Ended[number=" + e.number() + ", ref=" + e.ref() + ", how=" + e.how() + ", elapsed=" + e.elapsed()
                    + ", result=" + new String(e.result()) + "]";
        } else if (n instanceof RuntimeLines.Wants w) {
            return "Wants[number=" + w.number() + ", ref=" + w.ref() + ", body=" + new String(w.body()) + "]";
        } else if (n instanceof RuntimeLines.Load l) {
            return "Load[tag=" + l.tag() + ", values=" + Arrays.toString(l.values()) + "]";
        }
        return n.toString();
    }
}
