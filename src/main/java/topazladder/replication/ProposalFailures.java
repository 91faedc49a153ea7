package topazladder.replication;

/** Why an operator's command has no outcome, in words. */
final class ProposalFailures {
    static final String NOT_LEADER = "this voter does not lead";

    private ProposalFailures() {}

    /** The command may be committed yet. */
    static String indeterminate(Throwable failure) {
        return "nobody knows whether it was done: " + failure.getMessage();
    }
}
