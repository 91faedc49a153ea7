package topazladder.net;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Commands that the runtime has not shown to have read: sent again on a new link, and no others. Sent twice, one
 * could start again what has ended, or answer the wrong call; never sent, a run would hang.
 */
final class Unacknowledged {

    record Command(long number, String ref, byte[] bytes) {
    }

    /** Emptied by whatever the runtime says later on the same link, and by a notice on the same ticket. */
    private final Deque<Command> commands = new ArrayDeque<>();
    private long last;

    void add(String ref, byte[] bytes) {
        commands.add(new Command(++last, ref, bytes));
    }

    /** The number of the last command so far: what answers a question asked now has read all up to it. */
    long last() {
        return last;
    }

    void readUpTo(long number) {
        while (!commands.isEmpty() && commands.peek().number() <= number) {
            commands.poll();
        }
    }

    /** A notice on a ticket comes after all that it was told before. */
    void heardOf(String ref) {
        commands.removeIf(c -> c.ref().equals(ref));
    }

    List<Command> all() {
        return List.copyOf(commands);
    }
}
