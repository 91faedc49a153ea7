package topazladder;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import topazladder.config.ExtensionSettings;
import topazladder.config.ExtensionSettingsFile;
import topazladder.config.InvalidSettingsException;

/** What may stand in the settings of a hall. */
class ClusterSettingsTest {
    private static final byte[] KEY = "sixteen or more bytes".getBytes(StandardCharsets.US_ASCII);

    @TempDir
    private Path folder;

    private ExtensionSettings settings(String hall) throws IOException {
        Files.write(folder.resolve("key"), KEY);
        return ExtensionSettingsFile.of(
                "peering { key_file: \"key\" listen: \"127.0.0.1:4200\" } hall { " + hall + " }",
                folder);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
            "voters: 'n1' voters: 'n2' | hall.voters",
            "voters: 'n1' voters: 'n1' voters: 'n1' | hall.voters",
            "duties { name: 'a' touch { address: '127.0.0.1:1' } } | hall.duties need hall.voters",
            "voters: 'n1' duties { name: 'a b' touch { address: '127.0.0.1:1' } } | duties[0].name",
            "voters: 'n1' duties { name: 'a' } | duties[0].should say what it is",
            "voters: 'n1' duties { name: 'a' lease: 1 touch { address: '127.0.0.1:1' } } | at least four heartbeats",
            "voters: 'n1' duties { name: 'a' probe { service: 'runtime' } } | probe.service",
            "voters: 'n1' duties { name: 'a' consume { broker: 'b' queue: 'q' } } | consume",
            "clock_rate: 3 | hall.clock_rate",
            "heartbeat: 0 | hall.heartbeat",
            "seeds: 'nowhere' | hall.seeds",
            "voters: 'n1' below { } | hall.below.servers should be 1 to",
            "below { servers { name: 'a' address: '127.0.0.1:1' } } | hall.below needs hall.voters",
            "voters: 'n1' below { servers { name: 'a b' address: '127.0.0.1:1' } } | hall.below.servers[0].name",
            "voters: 'n1' below { alone: 0.9 servers { name: 'a' address: '127.0.0.1:1' } } | hall.below.alone",
    })
    void whatIsWrongInItsSettingsIsToldByItsKey(String hall, String told) {
        assertThatThrownBy(() -> settings(hall.replace('\'', '"'))).isInstanceOf(InvalidSettingsException.class)
                .hasMessageContaining(told);
    }

    @Test
    void aHallNeedsAPeersAddress() throws IOException {
        Files.write(folder.resolve("key"), KEY);
        assertThatThrownBy(() -> ExtensionSettingsFile.of("hall { }", folder))
                .hasMessageContaining("hall needs peering");
    }
}
