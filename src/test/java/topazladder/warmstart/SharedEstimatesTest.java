package topazladder.warmstart;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;
import topazladder.request.LearnedEstimate;
import topazladder.request.LearnedEstimate.Kind;

/** The laws of merging and ageing for any facts, in any order and number, and the hard cases by name. */
class SharedEstimatesTest {
    private static final Origin HERE = new Origin("n0", 7, 4, 1, 99);

    @Provide
    Arbitrary<SharedEstimates> knowledge() {
        Arbitrary<Origin> origins = Combinators.combine(Arbitraries.of("n0", "n1", "n2"),
                Arbitraries.longs().between(6, 8), Arbitraries.of(0.0, 2.0, 4.0), Arbitraries.of(0.0, 1.0, 2.0),
                Arbitraries.longs().between(98, 99)).as(Origin::new);
        // From few values, so that facts of one version and different contents occur as well.
        Arbitrary<SharedEstimate> facts = Combinators.combine(Arbitraries.of(Kind.class), Arbitraries.of("", "read"),
                origins,
                Arbitraries.of(0.0, 0.5, 1.0, 30.0), Arbitraries.of(1.0, 10.0, 40.0), Arbitraries.of(0.0, 50.0, 100.0),
                Arbitraries.longs().between(1, 3)).as(SharedEstimate::new);
        return facts.list().ofMaxSize(30).map(SharedEstimates::of);
    }

    @Property(seed = "20261201", tries = 300)
    void mergeIsCommutative(@ForAll("knowledge") SharedEstimates a, @ForAll("knowledge") SharedEstimates b) {
        assertThat(a.merge(b)).isEqualTo(b.merge(a));
    }

    @Property(seed = "20261201", tries = 300)
    void mergeIsAssociative(@ForAll("knowledge") SharedEstimates a, @ForAll("knowledge") SharedEstimates b,
            @ForAll("knowledge") SharedEstimates c) {
        assertThat(a.merge(b).merge(c)).isEqualTo(a.merge(b.merge(c)));
    }

    @Property(seed = "20261201", tries = 300)
    void aShareThatIsReceivedTwiceOrThroughTwoPeersCountsOnce(@ForAll("knowledge") SharedEstimates a,
            @ForAll("knowledge") SharedEstimates b) {
        assertThat(a.merge(a)).isEqualTo(a);
        assertThat(a.merge(b).merge(a.merge(b)).merge(b)).isEqualTo(a.merge(b));
        assertThat(a.merge(b).merge(b).estimatesFor(HERE, 100)).isEqualTo(a.merge(b).estimatesFor(HERE, 100));
    }

    @Property(seed = "20261201", tries = 300)
    void theOrderOfFactsMakesNoDifference(@ForAll("knowledge") SharedEstimates a, @ForAll Random random) {
        List<SharedEstimate> shuffled = new ArrayList<>(a.facts());
        Collections.shuffle(shuffled, random);
        assertThat(SharedEstimates.of(shuffled)).isEqualTo(a);
    }

    @Property(seed = "20261201", tries = 300)
    void weightsNeverGrowWithAgeAndStayUnderTheirLimit(@ForAll("knowledge") SharedEstimates a,
            @ForAll @DoubleRange(min = 100, max = 5000) double now,
            @ForAll @DoubleRange(max = 5000) double later) {
        List<LearnedEstimate> older = a.estimatesFor(HERE, now + later);
        for (LearnedEstimate estimate : older) {
            assertThat(estimate.weight()).isLessThanOrEqualTo(TransferPolicy.of(estimate.kind()).maxWeight());
            assertThat(estimate.weight()).isGreaterThanOrEqualTo(
                    Math.min(1, TransferPolicy.of(estimate.kind()).minWeight()));
            LearnedEstimate before = a.estimatesFor(HERE, now).stream()
                    .filter(e -> e.kind() == estimate.kind() && e.subject().equals(estimate.subject()))
                    .findFirst().orElseThrow();
            assertThat(estimate.weight()).isLessThanOrEqualTo(before.weight());
        }
    }

    @Property(seed = "20261201", tries = 300)
    void anEstimateIsOneOfTheScaledValues(@ForAll("knowledge") SharedEstimates a) {
        for (LearnedEstimate estimate : a.estimatesFor(HERE, 100)) {
            assertThat(a.facts()).anySatisfy(fact -> {
                assertThat(fact.kind()).isEqualTo(estimate.kind());
                assertThat(TransferPolicy.of(fact.kind()).scaledValue(fact.value(), fact.origin(), HERE))
                        .hasValue(estimate.value());
            });
        }
    }

    @Property(seed = "20261201", tries = 300)
    void boundingKeepsAtMostTheLimitOfOriginsAndIsIdempotent(@ForAll("knowledge") SharedEstimates a) {
        SharedEstimates bounded = a.bounded(100);
        assertThat(bounded.facts().stream().map(f -> f.origin().name() + f.origin().incarnation()).distinct())
                .hasSizeLessThanOrEqualTo(SharedEstimates.MAX_ORIGINS);
        assertThat(bounded.bounded(100)).isEqualTo(bounded);
        assertThat(a.facts()).containsAll(bounded.facts());
    }

    @Test
    void originsPastTheLimitAreDroppedOldestFirst() {
        List<SharedEstimate> facts = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            facts.add(fact(Kind.RUN_TIME, "", i + 1, 0.1, 5, 100 - i));
        }
        SharedEstimates bounded = SharedEstimates.of(facts).bounded(100);
        assertThat(bounded.facts()).extracting(f -> f.origin().incarnation()).hasSize(12)
                .allSatisfy(i -> assertThat(i).isLessThanOrEqualTo(12));
    }

    @Test
    void oneOverloadedOriginDoesNotDistortTheMedian() {
        SharedEstimates three = SharedEstimates.of(List.of(fact(Kind.RUN_TIME, "", 1, 0.1, 40, 100),
                fact(Kind.RUN_TIME, "", 2, 0.12, 40, 100), fact(Kind.RUN_TIME, "", 3, 9, 40, 100)));
        assertThat(three.estimatesFor(HERE, 100)).extracting(LearnedEstimate::value).containsExactly(0.12);
    }

    @Test
    void estimatesOfAnHourAgoAreIgnoredAndRatesOfMinutesAgoToo() {
        SharedEstimates old = SharedEstimates.of(List.of(fact(Kind.COMPLETION_RATE, "", 1, 20, 30, 40),
                fact(Kind.CALLS_IN_FLIGHT, "", 1, 3, 40, 40), fact(Kind.RUN_TIME, "read", 1, 0.1, 10, 40)));
        assertThat(old.estimatesFor(HERE, 100)).extracting(LearnedEstimate::kind)
                .containsExactly(Kind.RUN_TIME, Kind.CALLS_IN_FLIGHT, Kind.COMPLETION_RATE);
        assertThat(old.estimatesFor(HERE, 240)).extracting(LearnedEstimate::kind)
                .containsExactly(Kind.RUN_TIME, Kind.CALLS_IN_FLIGHT);
        assertThat(old.estimatesFor(HERE, 3640)).isEmpty();
    }

    @Test
    void runTimesAreScaledByCoreSpeedAndWeighLessWhereItIsUnknown() {
        Origin fast = new Origin("f", 1, 8, 2, 99);
        SharedEstimate run = new SharedEstimate(Kind.RUN_TIME, "read", fast, 0.2, 10, 100, 1);
        SharedEstimate rate = new SharedEstimate(Kind.COMPLETION_RATE, "", fast, 80, 60, 100, 1);
        assertThat(SharedEstimates.of(List.of(run, rate)).estimatesFor(HERE, 100)).extracting(LearnedEstimate::value)
                .containsExactly(0.4, 20.0);
        Origin unknown = new Origin("n0", 7, 4, 0, 99);
        SharedEstimate weak = new SharedEstimate(Kind.RUN_TIME, "read", fast, 0.2, 1.9, 100, 1);
        assertThat(SharedEstimates.of(List.of(weak)).estimatesFor(HERE, 100)).hasSize(1);
        assertThat(SharedEstimates.of(List.of(weak)).estimatesFor(unknown, 100)).isEmpty();
    }

    @Test
    void underOtherSettingsOnlyRunTimesApply() {
        Origin other = new Origin("o", 1, 4, 1, 5);
        List<SharedEstimate> facts = new ArrayList<>();
        for (Kind kind : Kind.values()) {
            facts.add(new SharedEstimate(kind, "", other, 1, 1000, 100, 1));
        }
        assertThat(SharedEstimates.of(facts).estimatesFor(HERE, 100)).extracting(LearnedEstimate::kind)
                .containsExactly(Kind.RUN_TIME);
    }

    @Test
    void ownFactsThatComeBackAreIgnoredButThoseOfAnEarlierIncarnationApply() {
        SharedEstimate own = new SharedEstimate(Kind.RUN_TIME, "", HERE, 0.1, 10, 100, 1);
        SharedEstimate before = new SharedEstimate(Kind.RUN_TIME, "", new Origin("n0", 6, 4, 1, 99), 0.3, 10, 100, 1);
        assertThat(SharedEstimates.of(List.of(own)).estimatesFor(HERE, 100)).isEmpty();
        assertThat(SharedEstimates.of(List.of(own, before)).estimatesFor(HERE, 100)).extracting(LearnedEstimate::value)
                .containsExactly(0.3);
    }

    @Test
    void eachEstimateIsHandedOverOnceAndNoneThatIsExcludedOrImplausible() {
        EstimateExchange learning = new EstimateExchange(HERE, () -> 100, List.of(Kind.CALLS_IN_FLIGHT));
        assertThat(learning.receive(List.of(fact(Kind.RUN_TIME, "", 1, Double.NaN, 10, 100),
                fact(Kind.RUN_TIME, "", 1, -1, 10, 100), fact(Kind.CALLS_IN_FLIGHT, "", 1, 3, 10, 100),
                fact(Kind.RUN_TIME, "", 2, 0.2, 10, 100)))).isEqualTo(2);
        assertThat(learning.newEstimates()).extracting(LearnedEstimate::value).containsExactly(0.2);
        learning.receive(
                List.of(fact(Kind.RUN_TIME, "", 3, 0.9, 10, 100), fact(Kind.COMPLETION_RATE, "", 3, 20, 30, 100)));
        assertThat(learning.newEstimates()).extracting(LearnedEstimate::kind).containsExactly(Kind.COMPLETION_RATE);
    }

    @Test
    void receivedFactsArePassedOnUnderTheirOwnOriginAndAge() {
        EstimateExchange learning = new EstimateExchange(HERE, () -> 160, List.of());
        SharedEstimate heard = fact(Kind.RUN_TIME, "", 1, 0.2, 10, 100);
        learning.receive(List.of(heard));
        SharedEstimates share = learning.createShare(List.of(new LearnedEstimate(Kind.RUN_TIME, "", 0.3, 10, 5)));
        assertThat(share.facts()).hasSize(2).contains(heard)
                .contains(new SharedEstimate(Kind.RUN_TIME, "", HERE, 0.3, 10, 155, 1));
    }

    private static SharedEstimate fact(Kind kind, String subject, long origin, double value, double weight,
            double seenAt) {
        return new SharedEstimate(kind, subject, new Origin("n" + origin, origin, 4, 1, 99), value, weight, seenAt, 1);
    }
}
