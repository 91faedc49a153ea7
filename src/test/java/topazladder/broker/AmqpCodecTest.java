package topazladder.broker;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import topazladder.broker.AmqpCodec.Broken;
import topazladder.broker.AmqpCodec.Call;
import topazladder.broker.AmqpCodec.Content;
import topazladder.broker.AmqpCodec.Frame;
import topazladder.broker.AmqpCodec.Reader;
import topazladder.broker.Message.Props;

/** The stand-in's own codec, on bytes that are split, joined and malformed. */
class AmqpCodecTest {
    private static final Props PROPS = new Props("text/plain", 2, 9, "c", "r", "1000", "id", 7L, "t", "u", "a");

    private static byte[] sample() {
        byte[] method = AmqpCodec.frame(AmqpCodec.METHOD, 3, AmqpCodec.method("queue.declare", 0, "orders", true,
                false, true,
                false, true, Map.of("x-message-ttl", 5L, "deep", Map.of("list", List.of("a", 1, true, 2.5)))));
        byte[] head = AmqpCodec.frame(AmqpCodec.HEADER, 3, AmqpCodec.content(4, PROPS, Map.of("offering", "place")));
        byte[] body = AmqpCodec.frame(AmqpCodec.BODY, 3, "body".getBytes());
        byte[] all = Arrays.copyOf(method, method.length + head.length + body.length);
        System.arraycopy(head, 0, all, method.length, head.length);
        System.arraycopy(body, 0, all, method.length + head.length, body.length);
        return all;
    }

    @Test
    void methodsTablesAndPropertiesComeBackAsTheyWere() throws Broken {
        Reader reader = new Reader(4096);
        reader.feed(sample());
        Call call = AmqpCodec.call(reader.next().payload());
        assertThat(call.method().name()).isEqualTo("queue.declare");
        assertThat(List.of(call.bit("passive"), call.bit("durable"), call.bit("exclusive"), call.bit("auto-delete"),
                call.bit("no-wait"))).containsExactly(true, false, true, false, true);
        assertThat(call.table("arguments")).isEqualTo(Map.of("x-message-ttl", 5L, "deep",
                Map.of("list", List.of("a", 1, true, 2.5))));
        Content content = AmqpCodec.content(reader.next().payload());
        assertThat(content).isEqualTo(new Content(4, PROPS, Map.of("offering", "place")));
        assertThat(new String(reader.next().payload())).isEqualTo("body");
        assertThat(reader.next()).isNull();
    }

    @Test
    void bytesInAnyPiecesMakeTheSameFrames() throws Broken {
        byte[] all = sample();
        SplittableRandom chance = new SplittableRandom(1);
        for (int round = 0; round < 300; round++) {
            Reader reader = new Reader(4096);
            int frames = 0;
            for (int i = 0; i < all.length;) {
                int piece = Math.min(all.length - i, 1 + chance.nextInt(40));
                reader.feed(Arrays.copyOfRange(all, i, i + piece));
                i += piece;
                for (Frame f = reader.next(); f != null; f = reader.next()) {
                    assertThat(f.channel()).isEqualTo(3);
                    frames++;
                }
            }
            assertThat(frames).isEqualTo(3);
        }
    }

    @Test
    void changedBytesAreReadOrBrokenAndNothingElse() {
        SplittableRandom chance = new SplittableRandom(20261201);
        int broken = 0;
        for (int round = 0; round < 50_000; round++) {
            byte[] bytes = sample();
            for (int i = chance.nextInt(4); i >= 0; i--) {
                bytes[chance.nextInt(bytes.length)] = (byte) chance.nextInt(256);
            }
            Reader reader = new Reader(4096);
            reader.feed(bytes);
            try {
                for (Frame f = reader.next(); f != null; f = reader.next()) {
                    if (f.type() == AmqpCodec.METHOD) {
                        AmqpCodec.call(f.payload());
                    } else if (f.type() == AmqpCodec.HEADER) {
                        AmqpCodec.content(f.payload());
                    }
                }
            } catch (Broken e) {
                broken++;
            }
        }
        assertThat(broken).isBetween(5_000, 49_000);
    }

    @Test
    void aFrameThatIsTooLongIsToldBeforeItCame() {
        Reader reader = new Reader(4096);
        reader.feed(new byte[] {1, 0, 0, (byte) 0xff, (byte) 0xff, (byte) 0xff, (byte) 0xff});
        assertThatThrownBy(reader::next).isInstanceOf(Broken.class).hasMessage("a frame of 4294967295 bytes");
    }

    @Test
    void topicPatternsMatchWords() {
        assertThat(List.of("a.b", "a.b.c", "a").stream().map(k -> matches("a.#", k))).containsExactly(true, true, true);
        assertThat(List.of("a.b", "a.b.c", "a").stream().map(k -> matches("a.*", k))).containsExactly(true, false,
                false);
        assertThat(List.of("x.b.c", "b").stream().map(k -> matches("#.b.#", k))).containsExactly(true, true);
    }

    private static boolean matches(String pattern, String key) {
        return Broker.topic(pattern.split("\\."), 0, key.split("\\."), 0);
    }
}
