package topazladder.service;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import topazladder.service.DependencyCircuitBreaker.State;

/** Whether calls are made to a dependency that can't be reached. */
class DependencyCircuitBreakerTest {

    private static DependencyCircuitBreaker open(long seed, double now) {
        DependencyCircuitBreaker breaker = new DependencyCircuitBreaker(new SplittableRandom(seed));
        for (int i = 0; i < 5; i++) {
            assertThat(breaker.isCallPermitted(now)).isTrue();
            breaker.onConnectionRefused(now);
        }
        assertThat(breaker.state()).isEqualTo(State.OPEN);
        return breaker;
    }

    @Test
    void aFewRefusalsDoNotOpenIt() {
        DependencyCircuitBreaker breaker = new DependencyCircuitBreaker(new SplittableRandom(1));
        for (int i = 0; i < 40; i++) {
            breaker.onConnectionRefused(i);
            if (i % 4 == 3) {
                breaker.onSuccess();
            }
        }
        assertThat(breaker.state()).isEqualTo(State.CLOSED);
    }

    @Test
    void whileOpenOnlyTheProberTriesAndTheInstancesRecoverSpread() {
        List<Double> recoveredAfter = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            DependencyCircuitBreaker breaker = open(i, 0);
            for (double now = 0; now < 20; now += 0.5) {
                breaker.onProbeResult(now, false, 0.1, 3);
                assertThat(breaker.isCallPermitted(now)).isFalse();
            }
            breaker.onProbeResult(20, true, 0.1, 3);
            double now = 20;
            while (!breaker.isCallPermitted(now)) {
                now += 0.01;
            }
            recoveredAfter.add(now - 20);
        }
        assertThat(recoveredAfter).allMatch(t -> t <= 1.02).anyMatch(t -> t < 0.2).anyMatch(t -> t > 0.8);
    }

    @Test
    void withoutAReportOfTheProberItTriesByItselfNowAndThen() {
        DependencyCircuitBreaker breaker = open(1, 0);
        int attempts = 0;
        for (double now = 0.1; now < 15; now += 0.1) {
            attempts += breaker.isCallPermitted(now) ? 1 : 0;
        }
        assertThat(attempts).isBetween(8, 11);
        breaker.onSuccess();
        assertThat(breaker.isCallPermitted(15)).isTrue();
    }

    @Test
    void anOldReportAndOneOfAnEarlierProberSayNothing() {
        DependencyCircuitBreaker breaker = open(1, 0);
        breaker.onProbeResult(1, false, 0, 5);
        breaker.onProbeResult(1.1, true, 60, 5);
        breaker.onProbeResult(1.2, true, 0, 4);
        assertThat(breaker.state()).isEqualTo(State.OPEN);
        breaker.onProbeResult(1.3, true, 0, 6);
        assertThat(breaker.state()).isEqualTo(State.RECOVERING);
        breaker.onProbeResult(1.31, false, 0, 6);
        assertThat(breaker.state()).isEqualTo(State.OPEN);
    }
}
