package topazladder.consensus;

import java.util.Optional;

/**
 * The first entry of a leader's term. A leader commits one of its own term before it serves, as only then it knows
 * which entries of earlier terms are committed (Raft dissertation, sections 3.6.2 and 6.4).
 *
 * @param leader identity of the voter that appended it
 * @param nonce tells the leader its own entry from one of an earlier term
 */
public record TermStart(String leader, long nonce) {

    /** The form that the entry has among the commands of a registered state machine. */
    public interface Codec {

        Object toCommand(TermStart start);

        /** What a committed command says, where it starts a term. */
        Optional<TermStart> fromCommand(Object command);
    }
}
