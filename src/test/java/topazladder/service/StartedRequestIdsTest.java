package topazladder.service;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** What is remembered of requests without a key that must run at most once. */
class StartedRequestIdsTest {
    private static final double KEPT_SECONDS = 9.2;

    private final HeapShares heap = HeapShares.of(10 << 20);
    private final StartedRequestIds ids = new StartedRequestIds(heap, KEPT_SECONDS);

    @Test
    void anIdIsKnownUntilItsRequestIsTooOldToComeAgain() {
        ids.remember("a", 1000);
        ids.remember("b", 1005);
        ids.sweep(1000 + KEPT_SECONDS);
        assertThat(ids.contains("a")).isTrue();
        ids.sweep(1000 + KEPT_SECONDS + 0.1);
        assertThat(ids.contains("a")).isFalse();
        assertThat(ids.contains("b")).isTrue();
    }

    @Test
    void anIdThatIsRememberedAgainIsKeptFromThenOn() {
        ids.remember("a", 1000);
        ids.remember("b", 1001);
        ids.remember("a", 1005);
        ids.sweep(1001 + KEPT_SECONDS + 0.1);
        assertThat(ids.contains("a")).isTrue();
        assertThat(ids.contains("b")).isFalse();
    }

    @Test
    void idsTakeTheirShareOfASmallHeapAndNoneIsDroppedForAnother() {
        for (int i = 0; !ids.isFull(); i++) {
            ids.remember("id" + i, 1000);
        }
        assertThat(ids.size()).isEqualTo((10 << 20) * 5 / 100 / 200);
        assertThat(ids.contains("id0")).isTrue();
    }
}
