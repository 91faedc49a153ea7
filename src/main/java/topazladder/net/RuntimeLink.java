package topazladder.net;

import io.vertx.core.Vertx;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazladder.config.ServiceSettings.Address;
import topazladder.net.UnacknowledgedCommands.Command;
import topazladder.net.codec.LineReader;
import topazladder.net.codec.MalformedMessageException;
import topazladder.net.codec.RuntimeLines;
import topazladder.net.codec.RuntimeNotice;
import topazladder.net.codec.RuntimeNotice.CommandRejected;
import topazladder.net.codec.RuntimeNotice.DependencyCallRequested;
import topazladder.net.codec.RuntimeNotice.Gauges;
import topazladder.net.codec.RuntimeNotice.HealthCheckCompleted;
import topazladder.net.codec.RuntimeNotice.Ready;
import topazladder.net.codec.RuntimeNotice.RunEnded;
import topazladder.service.Counters;
import topazladder.service.Counters.Count;
import topazladder.service.InstanceLifecycle;
import topazladder.service.RequestDispatcher;
import topazladder.service.RuntimePort;

/**
 * The link to the runtime: commands out, notices in, over a connection that is taken anew whenever it is lost.
 *
 * <p>Invariants: each command takes effect once, though the link is lost, and each notice is handled once, though the
 * runtime repeats it on a new connection. On a new connection no command is written before the answer to the first
 * question came: all notices that were missed come before it, and only then is it known what ran.
 */
final class RuntimeLink implements RuntimePort, RuntimeConnection.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(RuntimeLink.class);
    /** Before the number of the last command written: what the tag of a question for the gauges is made of. */
    private static final String ACKNOWLEDGEMENT_TAG_PREFIX = "c";
    private static final long NO_TAG = -1;

    private final Counters counters;
    private final RuntimeConnection connection;
    private final UnacknowledgedCommands unacknowledged = new UnacknowledgedCommands();
    private final SilenceDetector silence = new SilenceDetector();
    private RequestDispatcher dispatcher;
    private InstanceLifecycle instance;
    private long lastNotice;
    private boolean caughtUp; // all missed notices were read, so that commands may be written

    RuntimeLink(Vertx vertx, Address address, Counters counters) {
        this.counters = counters;
        connection = new RuntimeConnection(vertx, address, counters, this);
    }

    void open(RequestDispatcher requestDispatcher, InstanceLifecycle instanceLifecycle) {
        dispatcher = requestDispatcher;
        instance = instanceLifecycle;
        connection.connect();
    }

    void close() {
        connection.close();
    }

    /** The connection to the old address is left once there is one to the new; it is of use until then. */
    void moveTo(Address address) {
        if (address.equals(connection.address())) {
            return;
        }
        LOG.info("runtime address changed address={}:{}", address.host(), address.port());
        connection.moveTo(address);
        if (dispatcher != null && !connection.isClosed()) {
            connection.connect();
        }
    }

    // ---- What becomes of the connection

    @Override
    public void opened() {
        caughtUp = false;
        connection.write(RuntimeLines.sync(lastNotice));
    }

    @Override
    public void lost(boolean closed) {
        caughtUp = false;
        dispatcher.runtimeDisconnected();
        if (!closed) {
            counters.add(Count.LINKS_LOST);
            LOG.warn("runtime link lost last_notice={}", lastNotice);
        }
    }

    @Override
    public boolean hasUnacknowledgedCommands() {
        return caughtUp && unacknowledged.anyWritten();
    }

    @Override
    public void acknowledgementWanted() {
        askWhatWasRead();
    }

    @Override
    public void bytesReceived() {
        silence.received();
    }

    // ---- Notices

    @Override
    public void received(LineReader.Line line) throws MalformedMessageException {
        RuntimeNotice notice = RuntimeLines.notice(line);
        if (notice instanceof Ready ready) {
            ready(ready);
        } else if (notice instanceof Gauges gauges) {
            gauges(gauges);
        } else if (notice instanceof RunEnded ended) {
            runEnded(ended);
        } else if (notice instanceof DependencyCallRequested requested) {
            dependencyCallRequested(requested);
        } else if (notice instanceof HealthCheckCompleted completed) {
            dispatcher.healthCheckCompleted(tag(completed.tag()), completed.passed());
        } else if (notice instanceof CommandRejected rejected) {
            commandRejected(rejected);
        }
        // A remark has no meaning, so that its number must not pass over a notice that has one.
    }

    private void ready(Ready ready) {
        connection.resetBackoff();
        LOG.info("runtime ready up_seconds={} state={}", ready.upSeconds(), ready.loaded() ? "loaded" : "empty");
        // The answer to a question comes after all missed notices; only then is it known what ran.
        askWhatWasRead();
        instance.runtimeConnected(!ready.loaded());
    }

    private void gauges(Gauges gauges) {
        if (!caughtUp) {
            caughtUp = true;
            resend();
        } else {
            unacknowledged.acknowledgeUpTo(acknowledgedBy(gauges.tag()));
            if (!unacknowledged.anyWritten()) {
                connection.handOver();
            }
        }
        dispatcher.gaugesReceived(gauges.values());
    }

    /** A run that was started and ends in this instant would be started a second time: such starts are in doubt. */
    private void resend() {
        for (Command command : unacknowledged.all()) {
            if (command.start() && unacknowledged.wasWritten(command)) {
                unacknowledged.acknowledge(command.reference());
                dispatcher.startUncertain(command.reference());
            } else {
                write(command);
            }
        }
    }

    private void runEnded(RunEnded ended) {
        if (isNew(ended.number())) {
            unacknowledged.acknowledge(ended.reference());
            dispatcher.runEnded(ended.reference(), ended.outcome(), ended.elapsedSeconds(), ended.result());
        }
    }

    private void dependencyCallRequested(DependencyCallRequested requested) {
        if (isNew(requested.number())) {
            unacknowledged.acknowledge(requested.reference());
            dispatcher.dependencyCallRequested(requested.reference(), requested.number(), requested.body());
        }
    }

    private void commandRejected(CommandRejected rejected) {
        unacknowledged.acknowledge(rejected.reference());
        switch (rejected.command()) {
            case RuntimeLines.START -> dispatcher.commandRefused(rejected.reference());
            case RuntimeLines.SELF_TEST -> dispatcher.healthCheckCompleted(tag(rejected.reference()), false);
            default -> counters.add(Count.COMMANDS_REFUSED);
        }
    }

    /** A notice that was read before the link was lost may come again. */
    private boolean isNew(long number) {
        boolean isNew = number > lastNotice;
        lastNotice = Math.max(lastNotice, number);
        return isNew;
    }

    private static long acknowledgedBy(String tag) {
        return tag(tag.startsWith(ACKNOWLEDGEMENT_TAG_PREFIX) ? tag.substring(ACKNOWLEDGEMENT_TAG_PREFIX.length())
                : tag);
    }

    private static long tag(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return NO_TAG; // no question of this side: it acknowledges nothing
        }
    }

    // ---- Commands

    private void send(String reference, boolean start, byte[] encoded) {
        if (connection.isClosed()) {
            return; // what is read after the shutdown is never forwarded
        }
        Command command = unacknowledged.add(reference, start, encoded);
        if (caughtUp && !connection.isHandingOver()) {
            write(command);
        }
    }

    private void write(Command command) {
        unacknowledged.markWritten(command);
        connection.write(command.encoded());
    }

    /** Asks for the gauges, under a tag by which their answer acknowledges all commands written before. */
    private void askWhatWasRead() {
        connection.write(RuntimeLines.gauges(ACKNOWLEDGEMENT_TAG_PREFIX + unacknowledged.lastWritten()));
    }

    @Override
    public void start(String reference, String requestClass, byte[] body) {
        send(reference, true, RuntimeLines.start(reference, requestClass, body));
    }

    @Override
    public void resumeWithReply(String reference, byte[] reply) {
        send(reference, false, RuntimeLines.give(reference, reply));
    }

    @Override
    public void resumeWithoutReply(String reference, long notice) {
        send(reference, false, RuntimeLines.omit(reference, notice));
    }

    @Override
    public void requestGauges() {
        if (connection.isOpen() && silence.isSilentAtQuestion()) {
            counters.add(Count.LINKS_STALLED);
            LOG.warn("runtime link silent last_notice={}", lastNotice);
            connection.connect();
        }
        if (caughtUp) {
            askWhatWasRead();
        }
    }

    @Override
    public void requestHealthCheck(long checkId) {
        if (!connection.isOpen()) {
            dispatcher.healthCheckCompleted(checkId, false); // nobody would ever tell
        }
        connection.write(RuntimeLines.selfTest(String.valueOf(checkId)));
    }
}
