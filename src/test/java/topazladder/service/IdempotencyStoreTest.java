package topazladder.service;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import topazladder.request.IdempotencyKeys;
import topazladder.request.Request;
import topazladder.request.RequestClass;
import topazladder.request.RequestClass.Idempotency;

/** What is remembered of runs, apart from the admission controller's decisions. */
class IdempotencyStoreTest {
    private static final RequestClass PLACE =
            new RequestClass("place", Idempotency.IDEMPOTENT_BY_KEY, 2, 5, 10, 0, 12, true, 0);

    private final IdempotencyStore store = new IdempotencyStore(HeapShares.of(10 << 20));

    @Test
    void resultsTakeTheirShareOfASmallHeapAndNoMore() {
        int results = 0;
        for (int i = 0; i < 1000; i++) {
            results += run("F" + i, new byte[4096]).result() != null ? 1 : 0;
        }
        assertThat(store.size()).as("all are remembered, or they would run again").isEqualTo(1000);
        assertThat(results).isEqualTo(512);
    }

    @Test
    void sweptRecordsGiveTheirBytesBack() {
        for (int i = 0; i < 600; i++) {
            run("F" + i, new byte[4096]);
        }
        store.sweep(1012 + 5.1, 5);
        assertThat(store.size()).isZero();
        assertThat(run("G", new byte[2 << 20]).result()).isNotNull();
    }

    // Ever new keys at full speed filled the heap, as each is remembered for its window after its run.
    @Test
    void keysTakeTheirShareOfASmallHeapAndNoMore() {
        int keys = 0;
        while (!store.isFull()) {
            run("F" + keys++, new byte[1]);
        }
        assertThat(keys).isEqualTo((10 << 20) * 15 / 100 / 1000);
        store.sweep(1012 + 5.1, 5);
        assertThat(store.isFull()).isFalse();
    }

    @Test
    void longKeysAreRememberedByTheirDigest() {
        String key = "0".repeat(14_000);
        assertThat(run(key + "1", new byte[1]).key()).hasSize(64);
        assertThat(store.find(IdempotencyKeys.shortened(key + "1"), 1000)).isNotNull();
        assertThat(store.find(IdempotencyKeys.shortened(key + "2"), 1000)).isNull();
    }

    private IdempotencyRecord run(String key, byte[] result) {
        IncomingRequest incoming =
                new IncomingRequest(key, "place", "acme", 1000, false, 10, 0.5, key, new byte[4]);
        InFlightRequest attempt =
                new InFlightRequest(incoming, null, new Request(PLACE, null, 0.5, 10, 0, 0, false, false, null), null,
                        store.digest(incoming));
        store.remember(attempt, 1012);
        store.endRun(attempt.idempotencyRecord(), result);
        return attempt.idempotencyRecord();
    }
}
