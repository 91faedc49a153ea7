package topazladder.replication;

/** Messages for operators whose command has no outcome. */
final class ProposalFailures {
    static final String NOT_LEADER = "this voter is not the leader and proposed nothing; repeat the command";

    private ProposalFailures() {}

    /** For a command that failed at this voter but may still be committed. */
    static String indeterminate(Throwable failure) {
        return "outcome unknown, the command may still be committed: " + failure.getMessage();
    }
}
