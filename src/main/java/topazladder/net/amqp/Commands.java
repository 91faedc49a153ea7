package topazladder.net.amqp;

import java.util.concurrent.TimeUnit;
import org.jctools.queues.MpscBlockingConsumerArrayQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One thread for what the client library does by waiting: the event loop hands each command over through a bounded
 * queue without a lock and never waits itself.
 */
final class Commands {
    private static final Logger LOG = LoggerFactory.getLogger(Commands.class);
    private static final int MOST = 16_384;

    /** What may end as an exception of the library, when its channel is gone. */
    interface Command {

        void run() throws Exception;
    }

    private final MpscBlockingConsumerArrayQueue<Command> queue = new MpscBlockingConsumerArrayQueue<>(MOST);
    private final Thread thread;
    private volatile boolean over;

    Commands(String name) {
        thread = new Thread(this::run, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** False if so many wait that the broker can't have taken any for long: its link is to be given up. */
    boolean add(Command command) {
        return queue.offer(command);
    }

    void end() {
        over = true;
    }

    private void run() {
        while (!over || !queue.isEmpty()) {
            try {
                Command next = queue.poll(1, TimeUnit.SECONDS);
                if (next != null) {
                    next.run();
                }
            } catch (InterruptedException e) {
                return;
            } catch (Exception e) {
                // Whoever is concerned hears of it as the end of the channel or of the link.
                LOG.debug("a command to a broker failed", e);
            }
        }
    }
}
