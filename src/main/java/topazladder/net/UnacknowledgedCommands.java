package topazladder.net;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Commands that the runtime has not shown to have read: sent again on a new link, and no others. Sent twice, one
 * could start again what has ended, or answer the wrong call; never sent, a run would hang. Of a start that was
 * written, the module says whether and when.
 */
final class UnacknowledgedCommands {

    /** @param start whether it starts a run */
    record Command(long number, String ref, boolean start, byte[] bytes) {
    }

    /** Emptied by whatever the runtime says later on the same link, and by a notice on the same request. */
    private final Deque<Command> commands = new ArrayDeque<>();
    private long last;
    private long written;

    Command add(String ref, boolean start, byte[] bytes) {
        Command c = new Command(++last, ref, start, bytes);
        commands.add(c);
        return c;
    }

    /** It was written to some link, and all before it. */
    void written(Command c) {
        written = Math.max(written, c.number());
    }

    /** Whether the runtime may have read it: what was ruled while there was no link it surely has not. */
    boolean wasWritten(Command c) {
        return c.number() <= written;
    }

    boolean anyWritten() {
        return !commands.isEmpty() && wasWritten(commands.peek());
    }

    /** The number of the last command written so far: what answers a question asked now has read all up to it. */
    long lastWritten() {
        return written;
    }

    void readUpTo(long number) {
        while (!commands.isEmpty() && commands.peek().number() <= number) {
            commands.poll();
        }
    }

    /** A notice on a request comes after all that it was told before. */
    void heardOf(String ref) {
        commands.removeIf(c -> c.ref().equals(ref));
    }

    List<Command> all() {
        return List.copyOf(commands);
    }
}
