package topazladder.admission;

import java.util.List;
import topazladder.request.RequestClass;

/**
 * Settings of the admission controller: properties of its machine, its callers and its dependency. Immutable, and
 * validated on construction: no number is negative, and there is a positive number of cores.
 *
 * @param requestClasses all request classes, in any order; none by default
 * @param cores number of cores of the machine; 1 by default
 * @param memoryKilobytes kilobytes of memory for requests and idempotency keys; unbounded by default
 * @param runMemoryFactor memory of a started request, as a multiple of its memory while queued; 1 by default
 * @param idempotencyKeyKilobytes kilobytes of memory that a stored idempotency key occupies; 0 by default
 * @param tickSeconds shortest tick interval that the host supports, in seconds; 0.001 by default
 * @param answerSlackSeconds seconds that an answer may take to reach its caller after the decision; 0 by default
 * @param drainGraceSeconds seconds after the shutdown notice during which callers may not know of it yet, so that their
 *     requests are still admitted; 0 by default
 * @param collapseFactor runs per core at which the throughput of a warm server collapses; 2 by default
 * @param coldStart whether the server starts cold and warms up; false by default
 * @param coldSpeed speed of a cold server at its start, as a fraction of the speed of a warm one; 0 by default
 * @param warmUpSeconds longest time that a cold server needs to warm up, in seconds; 1 by default
 * @param retryAfterAllowed whether callers understand Retry-After advice; false by default
 * @param maxRetryAfterSeconds upper bound of Retry-After, in seconds; 0 by default
 * @param runCancellation whether and how a run can be cancelled; UNSUPPORTED by default
 * @param admissionLevelUnit unit in which callers interpret the posted admission level; NONE by default
 * @param admissionLevelValiditySeconds seconds for which callers apply a posted admission level; 1 by default
 * @param maxConnectionIdleSeconds longest idle time of a connection before it is closed, in seconds; unlimited by
 *     default
 * @param callers number of callers of the whole fleet; 0 by default
 * @param dependencyTopology what the dependency calls are sent to; NONE by default
 * @param dependencyCallQuota dependency calls that this server may have in flight, averaged over
 *     {@code dependencyQuotaSpanSeconds}; 0, which means no quota, by default
 * @param dependencyQuotaSpanSeconds seconds over which the dependency averages the calls in flight; 5 by default
 * @param abandonedCallLingerSeconds seconds for which the dependency keeps working on an abandoned call; 0 by default
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

    /** Whether and how the runtime can cancel a run before it ends. */
    public enum RunCancellation {
        /** A started run cannot be cancelled. */
        UNSUPPORTED,
        /** A cancelled run ends at once. */
        DROP,
        /** A cancelled run is suspended and releases its core. */
        PAUSE
    }

    /** The unit in which callers interpret a posted admission level. */
    public enum AdmissionLevelUnit {
        /** The lowest admitted rank, from 0 to 1. */
        MIN_RANK,
        /** Tokens; this controller does not post levels in this unit. */
        TOKENS,
        /** A bias applied when callers choose a server; this controller does not post levels in this unit. */
        BIAS,
        /** Callers do not understand a level, so it is enforced but not posted. */
        NONE
    }

    /** What dependency calls are sent to. */
    public enum DependencyTopology {
        /** Runs make no dependency calls. */
        NONE,
        /** One dependency shared by all servers of the fleet, with a quota for each server. */
        SHARED,
        /** The next tier, which does its own overload protection. */
        NEXT_HOP
    }

    /**
     * Validates the numbers and copies the list.
     *
     * @throws IllegalArgumentException if a number is out of range; the message begins with the name of the setting
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

    /** Creates a builder in which every setting has its default value. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns a copy of these settings for a server that starts cold or warm. */
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

    /** Builds settings. Each setter is named after the record component whose default it overwrites. */
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

        /**
         * Builds the settings.
         *
         * @throws IllegalArgumentException if a number is out of range
         */
        public AdmissionSettings build() {
            return new AdmissionSettings(requestClasses, cores, memoryKilobytes, runMemoryFactor,
                    idempotencyKeyKilobytes, tickSeconds, answerSlackSeconds, drainGraceSeconds, collapseFactor,
                    coldStart, coldSpeed, warmUpSeconds, retryAfterAllowed, maxRetryAfterSeconds, runCancellation,
                    admissionLevelUnit, admissionLevelValiditySeconds, maxConnectionIdleSeconds, callers,
                    dependencyTopology, dependencyCallQuota, dependencyQuotaSpanSeconds, abandonedCallLingerSeconds);
        }
    }
}
