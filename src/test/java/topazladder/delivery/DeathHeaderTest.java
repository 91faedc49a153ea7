package topazladder.delivery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class DeathHeaderTest {

    @Test
    void rejectionsOfAllQueuesCountAndWhatExpiredDoesNot() {
        List<Map<String, Object>> header = List.of(Map.of("queue", "a", "reason", "rejected", "count", 2L),
                Map.of("queue", "b", "reason", "rejected", "count", 1L),
                Map.of("queue", "b.later", "reason", "expired", "count", 7L));
        assertThat(DeathHeader.rejections(header)).isEqualTo(3);
    }

    @Test
    void headerOfAnotherFormCountsAsNoRejection() {
        assertThat(DeathHeader.rejections(null)).isZero();
        assertThat(DeathHeader.rejections("rejected")).isZero();
        assertThat(DeathHeader.rejections(List.of("rejected", Map.of("reason", "rejected")))).isZero();
    }
}
