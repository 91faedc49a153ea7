package topazladder.service;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import topazladder.service.DependencyCircuitBreaker.State;

/** Whether a service below that all hold for dead is worth a try. */
class DependencyCircuitBreakerTest {

    private static DependencyCircuitBreaker dead(long seed, double now) {
        DependencyCircuitBreaker r = new DependencyCircuitBreaker(new SplittableRandom(seed));
        for (int i = 0; i < 5; i++) {
            assertThat(r.isCallPermitted(now)).isTrue();
            r.onConnectionRefused(now);
        }
        assertThat(r.state()).isEqualTo(State.OPEN);
        return r;
    }

    @Test
    void aFewRefusalsAreNotDeath() {
        DependencyCircuitBreaker r = new DependencyCircuitBreaker(new SplittableRandom(1));
        for (int i = 0; i < 40; i++) {
            r.onConnectionRefused(i);
            if (i % 4 == 3) {
                r.onSuccess();
            }
        }
        assertThat(r.state()).isEqualTo(State.CLOSED);
    }

    @Test
    void heldForDeadOnlyTheProberTriesAndTheOthersComeBackSpread() {
        List<Double> back = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            DependencyCircuitBreaker r = dead(i, 0);
            for (double t = 0; t < 20; t += 0.5) {
                r.onProbeResult(t, false, 0.1, 3);
                assertThat(r.isCallPermitted(t)).isFalse();
            }
            r.onProbeResult(20, true, 0.1, 3);
            double t = 20;
            while (!r.isCallPermitted(t)) {
                t += 0.01;
            }
            back.add(t - 20);
        }
        assertThat(back).allMatch(t -> t <= 1.02).anyMatch(t -> t < 0.2).anyMatch(t -> t > 0.8);
    }

    @Test
    void withoutAWordOfTheProberItTriesByItselfNowAndThen() {
        DependencyCircuitBreaker r = dead(1, 0);
        int tries = 0;
        for (double t = 0.1; t < 15; t += 0.1) {
            tries += r.isCallPermitted(t) ? 1 : 0;
        }
        assertThat(tries).isBetween(8, 11);
        r.onSuccess();
        assertThat(r.isCallPermitted(15)).isTrue();
    }

    @Test
    void anOldWordAndOneOfAnEarlierProberSayNothing() {
        DependencyCircuitBreaker r = dead(1, 0);
        r.onProbeResult(1, false, 0, 5);
        r.onProbeResult(1.1, true, 60, 5);
        r.onProbeResult(1.2, true, 0, 4);
        assertThat(r.state()).isEqualTo(State.OPEN);
        r.onProbeResult(1.3, true, 0, 6);
        assertThat(r.state()).isEqualTo(State.RECOVERING);
        r.onProbeResult(1.31, false, 0, 6);
        assertThat(r.state()).isEqualTo(State.OPEN);
    }
}
