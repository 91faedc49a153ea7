package topazladder.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import topazladder.admission.AdmissionSettings.AdmissionLevelUnit;
import topazladder.admission.AdmissionSettings.DependencyTopology;
import topazladder.admission.AdmissionSettings.RunCancellation;

/**
 * Guards against refactorings that change a decision unintentionally: the decisions of long random runs, with numbers
 * compared bit for bit, must have the recorded digest, on every processor.
 */
class AdmissionControllerTraceTest {
    private static final List<String> ALL_DECISION_KINDS = List.of("answer-from-original", "call-dependency",
            "cancel-run", "close-idle-connections", "fail", "forget-idempotency-key", "post-admission-level", "reject",
            "remember-idempotency-key", "schedule-tick", "set-health", "skip-dependency-call", "start");

    @Test
    void decisionsOfAColdServerWithASharedDependencyMatchTheRecordedDigest() {
        RandomTraffic traffic = new RandomTraffic(AdmissionSettings.builder().cores(4).memoryKilobytes(6000)
                .runMemoryFactor(8).idempotencyKeyKilobytes(40).tickSeconds(0.02).answerSlackSeconds(0.4)
                .drainGraceSeconds(1).collapseFactor(6).coldStart(true).coldSpeed(0.2).warmUpSeconds(16)
                .retryAfterAllowed(true).maxRetryAfterSeconds(1).runCancellation(RunCancellation.DROP)
                .admissionLevelUnit(AdmissionLevelUnit.MIN_RANK).maxConnectionIdleSeconds(30).callers(1000)
                .dependencyTopology(DependencyTopology.SHARED).dependencyCallQuota(3)
                .abandonedCallLingerSeconds(2), 20_261_201);
        assertThat(traffic.run(40_000)).isEqualTo("066f39ebc11bd7875f8bb1c13d4502e4e89c37fb498c785dec3e0c78d6677e84");
        assertThat(traffic.decisionKinds()).containsExactlyElementsOf(ALL_DECISION_KINDS);
    }

    @Test
    void decisionsOfAWarmServerWithAmpleMemoryMatchTheRecordedDigest() {
        RandomTraffic traffic = new RandomTraffic(AdmissionSettings.builder().cores(2).memoryKilobytes(100_000)
                .runMemoryFactor(2).tickSeconds(0.1).retryAfterAllowed(true).maxRetryAfterSeconds(5)
                .admissionLevelUnit(AdmissionLevelUnit.MIN_RANK).admissionLevelValiditySeconds(2)
                .dependencyTopology(DependencyTopology.NEXT_HOP), 7);
        assertThat(traffic.run(40_000)).isEqualTo("68cd740ef09061a74015c5141c1924f32ed0d309be38c1351b3ee09b48f12b5a");
    }

    @Test
    void decisionsOfAServerWithDefaultSettingsMatchTheRecordedDigest() {
        assertThat(new RandomTraffic(AdmissionSettings.builder(), 11).run(20_000))
                .isEqualTo("fad89877bc485bf271bfe037431be6c0eee69b2ecf5cea108341b70ca98f6a97");
    }
}
