package topazladder.consensus;

import java.util.Optional;

/**
 * The first entry of a leader's term. A leader must commit an entry of its own term before it serves, because only then
 * does it know which entries of earlier terms are committed (Raft dissertation, sections 3.6.2 and 6.4).
 *
 * @param leader identity of the voter that appended the entry
 * @param nonce random; lets the leader distinguish the entry from the ones it appended in earlier terms
 */
public record TermStart(String leader, long nonce) {

    /** Converts the entry to and from a command of a registered state machine. */
    public interface Codec {

        Object toCommand(TermStart start);

        /** The start of a term that a committed command stands for; empty for any other command. */
        Optional<TermStart> fromCommand(Object command);
    }
}
