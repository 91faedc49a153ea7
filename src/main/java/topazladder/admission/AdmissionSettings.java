package topazladder.admission;

import java.util.List;
import topazladder.request.RequestClass;

/**
 * What the admission controller is told of its machine, its callers and its dependency. Immutable, and checked when it
 * is built: numbers are not negative, and a server has cores.
 *
 * @param requestClasses the classes of requests that come, in any order; none by default
 * @param cores cores of the machine; 1 by default
 * @param memoryKilobytes kilobytes of memory for requests and idempotency keys; unbounded by default
 * @param runMemoryFactor how many times the memory of a queued request it takes once its run has started; 1 by
 *     default
 * @param idempotencyKeyKilobytes kilobytes that a remembered idempotency key takes; 0 by default
 * @param tickSeconds the shortest time between two ticks that the host can keep, in seconds; 0.001 by default
 * @param answerSlackSeconds seconds that an answer may take to its caller after it was decided; 0 by default
 * @param drainGraceSeconds seconds after the notice to shut down in which requests still arrive in good faith; 0
 *     by default
 * @param collapseFactor runs for each core at which a warm server collapses; 2 by default
 * @param coldStart whether the server starts cold and warms up; false by default
 * @param coldSpeed speed of a cold server at its start, as a fraction of a warm one's; 0 by default
 * @param warmUpSeconds seconds that a cold server takes at most to warm up; 1 by default
 * @param retryAfterAllowed whether callers understand the advice when to retry; false by default
 * @param maxRetryAfterSeconds the longest advice when to retry, in seconds; 0 by default
 * @param runCancellation whether a run can be stopped; UNSUPPORTED by default
 * @param admissionLevelUnit the unit in which callers read the posted level; NONE by default
 * @param admissionLevelValiditySeconds seconds for which callers heed a posted level; 1 by default
 * @param maxConnectionIdleSeconds seconds after which an idle connection is closed in any case; never by default
 * @param callers callers that the whole fleet has; 0 by default
 * @param dependencyTopology what the dependency calls go to; NONE by default
 * @param dependencyCallQuota dependency calls that this server may have in flight, averaged over the quota's span;
 *     0, for no quota, by default
 * @param dependencyQuotaSpanSeconds seconds over which the dependency averages the calls in flight; 5 by default
 * @param abandonedCallLingerSeconds seconds for which the dependency still works on a call that was given up; 0 by
 *     default
 */
public record AdmissionSettings(
        List<RequestClass> requestClasses,
        double cores,
        double memoryKilobytes,
        double runMemoryFactor,
        double idempotencyKeyKilobytes,
        double tickSeconds,
        double answerSlackSeconds,
        double drainGraceSeconds,
        double collapseFactor,
        boolean coldStart,
        double coldSpeed,
        double warmUpSeconds,
        boolean retryAfterAllowed,
        double maxRetryAfterSeconds,
        RunCancellation runCancellation,
        AdmissionLevelUnit admissionLevelUnit,
        double admissionLevelValiditySeconds,
        double maxConnectionIdleSeconds,
        double callers,
        DependencyTopology dependencyTopology,
        double dependencyCallQuota,
        double dependencyQuotaSpanSeconds,
        double abandonedCallLingerSeconds) {

    /** Whether and how the runtime can take a run off the cores before it ends. */
    public enum RunCancellation {
        /** A run that has started goes on to its end. */
        UNSUPPORTED,
        /** The run ends at once. */
        DROP,
        /** The run stands still and gives up its core. */
        PAUSE
    }

    /** The unit in which callers understand a posted level. */
    public enum AdmissionLevelUnit {
        /** The least rank, from 0 to 1, that is admitted. */
        MIN_RANK,
        /** Tokens; not posted by this controller. */
        TOKENS,
        /** A bias of the callers' choice; not posted by this controller. */
        BIAS,
        /** Callers understand no level: it is only enforced. */
        NONE
    }

    /** What the calls of the runs go to. */
    public enum DependencyTopology {
        /** Runs call nothing. */
        NONE,
        /** One dependency that all servers of the fleet share, each with a quota of its own. */
        SHARED,
        /** The next tier, which protects itself. */
        NEXT_HOP
    }

    /**
     * Checks the numbers and copies the list.
     *
     * @throws IllegalArgumentException that names the setting, its value and what would be right
     */
    public AdmissionSettings {
        requestClasses = List.copyOf(requestClasses);
        if (!(cores > 0)) {
            throw new IllegalArgumentException("cores should be above 0: " + cores);
        }
        requireNotNegative("memoryKilobytes", memoryKilobytes);
        requireNotNegative("runMemoryFactor", runMemoryFactor);
        requireNotNegative("idempotencyKeyKilobytes", idempotencyKeyKilobytes);
        requireNotNegative("tickSeconds", tickSeconds);
        requireNotNegative("answerSlackSeconds", answerSlackSeconds);
        requireNotNegative("drainGraceSeconds", drainGraceSeconds);
        requireNotNegative("collapseFactor", collapseFactor);
        requireNotNegative("coldSpeed", coldSpeed);
        requireNotNegative("warmUpSeconds", warmUpSeconds);
        requireNotNegative("maxRetryAfterSeconds", maxRetryAfterSeconds);
        requireNotNegative("admissionLevelValiditySeconds", admissionLevelValiditySeconds);
        requireNotNegative("maxConnectionIdleSeconds", maxConnectionIdleSeconds);
        requireNotNegative("callers", callers);
        requireNotNegative("dependencyCallQuota", dependencyCallQuota);
        requireNotNegative("dependencyQuotaSpanSeconds", dependencyQuotaSpanSeconds);
        requireNotNegative("abandonedCallLingerSeconds", abandonedCallLingerSeconds);
    }

    private static void requireNotNegative(String name, double value) {
        if (!(value >= 0)) {
            throw new IllegalArgumentException(name + " should not be negative: " + value);
        }
    }

    /** A builder with all defaults. */
    public static Builder builder() {
        return new Builder();
    }

    /** The same settings for a server that starts cold, or for one that is warm already. */
    public AdmissionSettings withColdStart(boolean cold) {
        return toBuilder().coldStart(cold).build();
    }

    private Builder toBuilder() {
        Builder builder = new Builder();
        builder.requestClasses = requestClasses;
        builder.cores = cores;
        builder.memoryKilobytes = memoryKilobytes;
        builder.runMemoryFactor = runMemoryFactor;
        builder.idempotencyKeyKilobytes = idempotencyKeyKilobytes;
        builder.tickSeconds = tickSeconds;
        builder.answerSlackSeconds = answerSlackSeconds;
        builder.drainGraceSeconds = drainGraceSeconds;
        builder.collapseFactor = collapseFactor;
        builder.coldStart = coldStart;
        builder.coldSpeed = coldSpeed;
        builder.warmUpSeconds = warmUpSeconds;
        builder.retryAfterAllowed = retryAfterAllowed;
        builder.maxRetryAfterSeconds = maxRetryAfterSeconds;
        builder.runCancellation = runCancellation;
        builder.admissionLevelUnit = admissionLevelUnit;
        builder.admissionLevelValiditySeconds = admissionLevelValiditySeconds;
        builder.maxConnectionIdleSeconds = maxConnectionIdleSeconds;
        builder.callers = callers;
        builder.dependencyTopology = dependencyTopology;
        builder.dependencyCallQuota = dependencyCallQuota;
        builder.dependencyQuotaSpanSeconds = dependencyQuotaSpanSeconds;
        builder.abandonedCallLingerSeconds = abandonedCallLingerSeconds;
        return builder;
    }

    /** Collects settings; each setter overwrites a default and is named after the record's component. */
    public static final class Builder {
        private List<RequestClass> requestClasses = List.of();
        private double cores = 1;
        private double memoryKilobytes = Double.MAX_VALUE;
        private double runMemoryFactor = 1;
        private double idempotencyKeyKilobytes = 0;
        private double tickSeconds = 0.001;
        private double answerSlackSeconds = 0;
        private double drainGraceSeconds = 0;
        private double collapseFactor = 2;
        private boolean coldStart = false;
        private double coldSpeed = 0;
        private double warmUpSeconds = 1;
        private boolean retryAfterAllowed = false;
        private double maxRetryAfterSeconds = 0;
        private RunCancellation runCancellation = RunCancellation.UNSUPPORTED;
        private AdmissionLevelUnit admissionLevelUnit = AdmissionLevelUnit.NONE;
        private double admissionLevelValiditySeconds = 1;
        private double maxConnectionIdleSeconds = Double.POSITIVE_INFINITY;
        private double callers = 0;
        private DependencyTopology dependencyTopology = DependencyTopology.NONE;
        private double dependencyCallQuota = 0;
        private double dependencyQuotaSpanSeconds = 5;
        private double abandonedCallLingerSeconds = 0;

        private Builder() {}

        /** Sets {@link AdmissionSettings#requestClasses()}. */
        public Builder requestClasses(List<RequestClass> value) {
            requestClasses = value;
            return this;
        }

        /** Sets {@link AdmissionSettings#cores()}. */
        public Builder cores(double value) {
            cores = value;
            return this;
        }

        /** Sets {@link AdmissionSettings#memoryKilobytes()}. */
        public Builder memoryKilobytes(double value) {
            memoryKilobytes = value;
            return this;
        }

        /** Sets {@link AdmissionSettings#runMemoryFactor()}. */
        public Builder runMemoryFactor(double value) {
            runMemoryFactor = value;
            return this;
        }

        /** Sets {@link AdmissionSettings#idempotencyKeyKilobytes()}. */
        public Builder idempotencyKeyKilobytes(double value) {
            idempotencyKeyKilobytes = value;
            return this;
        }

        /** Sets {@link AdmissionSettings#tickSeconds()}. */
        public Builder tickSeconds(double value) {
            tickSeconds = value;
            return this;
        }

        /** Sets {@link AdmissionSettings#answerSlackSeconds()}. */
        public Builder answerSlackSeconds(double value) {
            answerSlackSeconds = value;
            return this;
        }

        /** Sets {@link AdmissionSettings#drainGraceSeconds()}. */
        public Builder drainGraceSeconds(double value) {
            drainGraceSeconds = value;
            return this;
        }

        /** Sets {@link AdmissionSettings#collapseFactor()}. */
        public Builder collapseFactor(double value) {
            collapseFactor = value;
            return this;
        }

        /** Sets {@link AdmissionSettings#coldStart()}. */
        public Builder coldStart(boolean value) {
            coldStart = value;
            return this;
        }

        /** Sets {@link AdmissionSettings#coldSpeed()}. */
        public Builder coldSpeed(double value) {
            coldSpeed = value;
            return this;
        }

        /** Sets {@link AdmissionSettings#warmUpSeconds()}. */
        public Builder warmUpSeconds(double value) {
            warmUpSeconds = value;
            return this;
        }

        /** Sets {@link AdmissionSettings#retryAfterAllowed()}. */
        public Builder retryAfterAllowed(boolean value) {
            retryAfterAllowed = value;
            return this;
        }

        /** Sets {@link AdmissionSettings#maxRetryAfterSeconds()}. */
        public Builder maxRetryAfterSeconds(double value) {
            maxRetryAfterSeconds = value;
            return this;
        }

        /** Sets {@link AdmissionSettings#runCancellation()}. */
        public Builder runCancellation(RunCancellation value) {
            runCancellation = value;
            return this;
        }

        /** Sets {@link AdmissionSettings#admissionLevelUnit()}. */
        public Builder admissionLevelUnit(AdmissionLevelUnit value) {
            admissionLevelUnit = value;
            return this;
        }

        /** Sets {@link AdmissionSettings#admissionLevelValiditySeconds()}. */
        public Builder admissionLevelValiditySeconds(double value) {
            admissionLevelValiditySeconds = value;
            return this;
        }

        /** Sets {@link AdmissionSettings#maxConnectionIdleSeconds()}. */
        public Builder maxConnectionIdleSeconds(double value) {
            maxConnectionIdleSeconds = value;
            return this;
        }

        /** Sets {@link AdmissionSettings#callers()}. */
        public Builder callers(double value) {
            callers = value;
            return this;
        }

        /** Sets {@link AdmissionSettings#dependencyTopology()}. */
        public Builder dependencyTopology(DependencyTopology value) {
            dependencyTopology = value;
            return this;
        }

        /** Sets {@link AdmissionSettings#dependencyCallQuota()}. */
        public Builder dependencyCallQuota(double value) {
            dependencyCallQuota = value;
            return this;
        }

        /** Sets {@link AdmissionSettings#dependencyQuotaSpanSeconds()}. */
        public Builder dependencyQuotaSpanSeconds(double value) {
            dependencyQuotaSpanSeconds = value;
            return this;
        }

        /** Sets {@link AdmissionSettings#abandonedCallLingerSeconds()}. */
        public Builder abandonedCallLingerSeconds(double value) {
            abandonedCallLingerSeconds = value;
            return this;
        }

        /** Throws {@link IllegalArgumentException} where a number is out of its range. */
        public AdmissionSettings build() {
            return new AdmissionSettings(requestClasses, cores, memoryKilobytes, runMemoryFactor,
                    idempotencyKeyKilobytes, tickSeconds, answerSlackSeconds, drainGraceSeconds, collapseFactor,
                    coldStart, coldSpeed, warmUpSeconds, retryAfterAllowed, maxRetryAfterSeconds, runCancellation,
                    admissionLevelUnit, admissionLevelValiditySeconds, maxConnectionIdleSeconds, callers,
                    dependencyTopology, dependencyCallQuota, dependencyQuotaSpanSeconds, abandonedCallLingerSeconds);
        }
    }
}
