package topazladder.emulator;

/**
 * The terms of an instance that every trial of the emulator shares, in the lines of {@code Terms.ofLines}: its machine,
 * what it says to callers and its slack, with times as the operators' brief has them. Each trial adds its request
 * classes and what it changes, so that a difference between trials is one that the trial names.
 */
final class Brief {
    static final String MACHINE = """
        Extra.CallsByClass=true,true,true
        Extra.MemoryKb=200000
        Extra.RunFactor=8
        Extra.KeyKb=10
        Extra.Say=min_rank
        Extra.OwnStats=core_use,on_cores
        PolicyLimits.RetryAfter=true
        PolicyLimits.MaxRetryAfterNs=1000000000
        Safety.AnswerSlackNs=100000000
        Safety.FallMultiple=8
        """;

    private Brief() {}
}
