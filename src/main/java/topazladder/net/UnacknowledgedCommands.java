package topazladder.net;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The queue of commands that the runtime has not shown to have read, in the order in which they were given. On a new
 * link these are sent again, and no others.
 *
 * <p>Invariant: no command takes effect twice, and none is lost. Sent twice, one could start again what has ended, or
 * answer the wrong call; never sent, a run would hang. Of a start that was written, the dispatcher decides whether and
 * when it is sent again.
 */
final class UnacknowledgedCommands {

    /**
     * One command.
     *
     * @param number counted from 1 in the order of the queue
     * @param reference of the request it is about
     * @param start whether it starts a run
     * @param encoded as it is written
     */
    record Command(long number, String reference, boolean start, byte[] encoded) {
    }

    /** Emptied by whatever the runtime says later on the same link, and by a notice on the same request. */
    private final Deque<Command> commands = new ArrayDeque<>();
    private long lastNumber;
    private long lastWritten;

    Command add(String reference, boolean start, byte[] encoded) {
        Command command = new Command(++lastNumber, reference, start, encoded);
        commands.add(command);
        return command;
    }

    /** It was written on some link, and all before it. */
    void markWritten(Command command) {
        lastWritten = Math.max(lastWritten, command.number());
    }

    /** Whether the runtime may have read it; what was given while there was no link it surely has not. */
    boolean wasWritten(Command command) {
        return command.number() <= lastWritten;
    }

    boolean anyWritten() {
        return !commands.isEmpty() && wasWritten(commands.peek());
    }

    /** The number of the last command written: the answer to a question asked now acknowledges all up to it. */
    long lastWritten() {
        return lastWritten;
    }

    void acknowledgeUpTo(long number) {
        while (!commands.isEmpty() && commands.peek().number() <= number) {
            commands.poll();
        }
    }

    /** A notice on a request comes after all that the runtime was told of it before. */
    void acknowledge(String reference) {
        commands.removeIf(command -> command.reference().equals(reference));
    }

    List<Command> all() {
        return List.copyOf(commands);
    }
}
