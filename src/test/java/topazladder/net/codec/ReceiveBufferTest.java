package topazladder.net.codec;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

class ReceiveBufferTest {
    private static final int READ_BYTES = 65_536;
    private static final int MAX_SPARE_BYTES = 2048;

    // Each of hundreds of connections kept 4 KB for nothing, and up to twice what its message had so far.
    @Test
    void holdsNothingWhileAllIsReadAndHardlyMoreThanWhatIsNot() throws Exception {
        ReceiveBuffer buffer = new ReceiveBuffer();
        assertThat(buffer.capacity()).isZero();
        buffer.add(new byte[READ_BYTES]);
        buffer.from += READ_BYTES - 10;
        buffer.trim();
        assertThat(buffer.size()).isEqualTo(10);
        assertThat(buffer.capacity()).isLessThanOrEqualTo(10 + MAX_SPARE_BYTES);
        buffer.from += 10;
        buffer.trim();
        assertThat(buffer.capacity()).isZero();
    }

    @Test
    void bytesThatComeInPiecesAreJoinedInTheirOrder() throws Exception {
        ReceiveBuffer buffer = new ReceiveBuffer();
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (int i = 0; i < 5000; i++) {
            byte[] piece = new byte[i % 7];
            Arrays.fill(piece, (byte) i);
            buffer.add(piece);
            all.write(piece);
            buffer.trim();
            assertThat(buffer.capacity()).isLessThanOrEqualTo(buffer.size() + 2 * MAX_SPARE_BYTES);
        }
        assertThat(Arrays.copyOfRange(buffer.bytes, buffer.from, buffer.to)).isEqualTo(all.toByteArray());
    }

    // The buffer of the runtime's link and of each of the index's connections kept the size of its largest burst.
    @Test
    void readerOfLinesGivesBackWhatABurstTook() throws Exception {
        LineReader reader = new LineReader(4096, words -> LineReader.NO_PAYLOAD);
        byte[] burst = "x\r\n".repeat(READ_BYTES).getBytes();
        reader.feed(Arrays.copyOf(burst, burst.length - 1));
        for (LineReader.Line line = reader.next(); line != null; line = reader.next()) {
            assertThat(line.words()).containsExactly("x");
        }
        assertThat(reader.isEmpty()).isFalse();
        assertThat(reader.bufferedBytes()).isLessThanOrEqualTo(3 + MAX_SPARE_BYTES);
    }
}
