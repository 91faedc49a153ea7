package topazladder.service;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import topazladder.request.Request;
import topazladder.request.RequestClass;
import topazladder.request.RequestClass.Repeats;

/** What is remembered of runs, beside the decisions of the module. */
class IdempotencyStoreTest {
    private static final RequestClass PLACE =
            new RequestClass("place", Repeats.IDEMPOTENT_BY_KEY, 2, 5, 10, 0, 12, true, 0);

    @Test
    void resultsTakeTheirShareOfASmallHeapAndNoMore() {
        IdempotencyStore kept = new IdempotencyStore(10 << 20);
        int results = 0;
        for (int i = 0; i < 1000; i++) {
            InFlightRequest h = run(kept, "F" + i, new byte[4096]);
            results += h.kept.result != null ? 1 : 0;
        }
        assertThat(kept.size()).as("all are remembered, or they would run again").isEqualTo(1000);
        assertThat(results).isEqualTo(512);
    }

    @Test
    void whatIsSweptGivesItsBytesBack() {
        IdempotencyStore kept = new IdempotencyStore(10 << 20);
        for (int i = 0; i < 600; i++) {
            run(kept, "F" + i, new byte[4096]);
        }
        kept.sweep(1012 + 5.1, 5);
        assertThat(kept.size()).isZero();
        assertThat(run(kept, "G", new byte[2 << 20]).kept.result).isNotNull();
    }

    private static InFlightRequest run(IdempotencyStore kept, String fingerprint, byte[] result) {
        IncomingRequest a =
                new IncomingRequest(fingerprint, "place", "acme", 1000, false, 10, 0.5, fingerprint, new byte[4]);
        InFlightRequest h =
                new InFlightRequest(a, null, new Request(PLACE, null, 0.5, 10, 0, 0, false, false, null), null,
                        kept.digest(a));
        kept.remember(h, 1012);
        kept.runOver(h.kept, result);
        return h;
    }
}
