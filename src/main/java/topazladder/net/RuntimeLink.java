package topazladder.net;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazladder.config.ServiceSettings.Address;
import topazladder.net.UnacknowledgedCommands.Command;
import topazladder.net.codec.LineReader;
import topazladder.net.codec.MalformedMessageException;
import topazladder.net.codec.RuntimeLines;
import topazladder.net.codec.RuntimeLines.Ended;
import topazladder.net.codec.RuntimeLines.Load;
import topazladder.net.codec.RuntimeLines.Nack;
import topazladder.net.codec.RuntimeLines.Notice;
import topazladder.net.codec.RuntimeLines.Ready;
import topazladder.net.codec.RuntimeLines.Verdict;
import topazladder.net.codec.RuntimeLines.Wants;
import topazladder.service.Counters;
import topazladder.service.Counters.Count;
import topazladder.service.InstanceLifecycle;
import topazladder.service.RequestDispatcher;
import topazladder.service.RuntimePort;

/** The link to the runtime: taken anew whenever it is lost, with nothing lost or doubled. */
final class RuntimeLink implements RuntimePort {
    private static final Logger LOG = LoggerFactory.getLogger(RuntimeLink.class);

    /**
     * Without a word for so long, and through so many questions: the other end is gone and no packet said so. Both, as
     * after a pause of this machine the time is long and nothing was asked.
     */
    private static final long SILENT_NS = 5_000_000_000L;
    private static final int MOST_UNANSWERED = 100;
    /** An answer to a question takes a few of them at most, unless the link is worth nothing any more. */
    private static final long HAND_OVER_MS = 200;

    private final Vertx vertx;
    private final Counters counters;
    private final NetClient client;
    private final Backoff backoff = new Backoff();
    private final UnacknowledgedCommands unacknowledged = new UnacknowledgedCommands();
    private Address address;
    private RequestDispatcher dispatcher;
    private InstanceLifecycle instance;
    private int attempt; // the latest connect or wait for one; whatever an earlier one leads to is let go
    private NetSocket socket; // null while there is no link
    private NetSocket next; // takes its place as soon as all that was written to it is shown to be read
    private LineReader reader;
    private long lastNotice;
    private boolean caughtUp; // all notices of before are read, so that commands may be given
    private int unanswered; // questions since the runtime said anything
    private long lastWord = System.nanoTime();
    private boolean over;

    RuntimeLink(Vertx vertx, Address address, Counters counters) {
        this.vertx = vertx;
        this.address = address;
        this.counters = counters;
        client = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true).setConnectTimeout(1000));
    }

    void open(RequestDispatcher dispatcher, InstanceLifecycle instance) {
        this.dispatcher = dispatcher;
        this.instance = instance;
        connect();
    }

    void close() {
        over = true;
        if (next != null) {
            next.close();
        }
        if (socket != null) {
            socket.close();
        }
    }

    /** The link at the old address is left once there is one at the new; it is of use until then. */
    void move(Address to) {
        if (!to.equals(address)) {
            LOG.info("the runtime is at another address");
            address = to;
            backoff.reset();
            if (dispatcher != null && !over) {
                connect();
            }
        }
    }

    private void connect() {
        int mine = ++attempt;
        client.connect(address.port(), address.host()).onComplete(s -> {
            if (mine == attempt && !over) {
                connected(s);
            } else {
                s.close();
            }
        }, e -> {
            if (mine == attempt) {
                again();
            }
        });
    }

    /**
     * A link in use is left once the runtime has shown to have read all that was written to it: of a start that it has
     * not, nobody could tell whether it was. One that is silent or stalled is left all the same.
     */
    private void connected(NetSocket s) {
        if (next != null) {
            next.close();
        }
        next = null;
        if (caughtUp && unacknowledged.anyWritten()) {
            next = s;
            s.exceptionHandler(e -> s.close());
            s.closeHandler(v -> {
                if (next == s) {
                    next = null;
                    again();
                }
            });
            write(RuntimeLines.gauges("c" + unacknowledged.lastWritten()));
            vertx.setTimer(HAND_OVER_MS, id -> takeNext(s));
        } else {
            use(s);
        }
    }

    private void takeNext(NetSocket s) {
        if (next != null && next == s && !over) {
            next = null;
            use(s);
        }
    }

    private void use(NetSocket s) {
        NetSocket old = socket;
        socket = s;
        caughtUp = false;
        if (old != null) {
            old.close();
        }
        reader = RuntimeLines.reader();
        s.handler(more -> read(s, more));
        s.exceptionHandler(e -> s.close());
        s.closeHandler(v -> lost(s));
        write(RuntimeLines.sync(lastNotice));
    }

    private void lost(NetSocket s) {
        if (socket == s) {
            socket = null;
            caughtUp = false;
            dispatcher.runtimeDisconnected();
            if (!over) {
                counters.add(Count.LINKS_LOST);
                LOG.warn("the link to the runtime is lost after notice {}", lastNotice);
            }
            if (next != null) {
                takeNext(next);
            } else {
                again();
            }
        }
    }

    private void again() {
        if (!over) {
            int mine = ++attempt;
            vertx.setTimer(backoff.next(), id -> {
                if (mine == attempt) {
                    connect();
                }
            });
        }
    }

    private void read(NetSocket from, Buffer more) {
        if (socket != from) {
            // One left with bytes that could not go out is still open: what comes late on it would tear a line here.
            return;
        }
        unanswered = 0;
        lastWord = System.nanoTime();
        try {
            reader.feed(more.getBytes());
            for (LineReader.Line l = reader.next(); l != null && socket == from; l = reader.next()) {
                take(RuntimeLines.notice(l));
            }
        } catch (MalformedMessageException e) {
            counters.add(Count.LINES_MALFORMED);
            LOG.warn("the runtime sent what can't be read: {}", e.getMessage());
            from.close();
        }
    }

    private void take(Notice notice) {
        if (notice instanceof Ready ready) {
            backoff.reset();
            LOG.info("the runtime is up since {} s, {}", ready.secondsAgo(), ready.loaded() ? "loaded" : "empty");
            // The answer to a question comes after all notices of before; only then is it known what ran.
            write(RuntimeLines.gauges("c" + unacknowledged.lastWritten()));
            instance.runtimeConnected(!ready.loaded());
        } else if (notice instanceof Load load) {
            load(load);
        } else if (notice instanceof Ended e) {
            if (isNew(e.number())) {
                unacknowledged.heardOf(e.ref());
                dispatcher.runEnded(e.ref(), e.how(), e.elapsed(), e.result());
            }
        } else if (notice instanceof Wants w) {
            if (isNew(w.number())) {
                unacknowledged.heardOf(w.ref());
                dispatcher.dependencyCallRequested(w.ref(), w.number(), w.body());
            }
        } else if (notice instanceof Verdict v) {
            dispatcher.healthCheckCompleted(tag(v.tag()), v.passed());
        } else if (notice instanceof Nack n) {
            unacknowledged.heardOf(n.ref());
            if (n.command().equals("start")) {
                dispatcher.commandRefused(n.ref());
            } else if (n.command().equals("selftest")) {
                dispatcher.healthCheckCompleted(tag(n.ref()), false);
            } else {
                counters.add(Count.COMMANDS_REFUSED);
            }
        }
        // A remark has no meaning, so that its number must not pass over a notice that has one.
    }

    /** A notice that was read before the link was lost may come again. */
    private boolean isNew(long number) {
        boolean is = number > lastNotice;
        lastNotice = Math.max(lastNotice, number);
        return is;
    }

    private void load(Load load) {
        if (!caughtUp) {
            caughtUp = true;
            for (Command c : unacknowledged.all()) {
                if (c.start() && unacknowledged.wasWritten(c)) {
                    // A run that was started and ends in this instant would be started a second time.
                    unacknowledged.heardOf(c.ref());
                    dispatcher.startUncertain(c.ref());
                } else {
                    write(c);
                }
            }
        } else {
            unacknowledged.readUpTo(tag(load.tag().replaceFirst("^c", "")));
            if (!unacknowledged.anyWritten()) {
                takeNext(next);
            }
        }
        dispatcher.gaugesReceived(load.values());
    }

    private static long tag(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return -1; // no question of ours: it acknowledges nothing
        }
    }

    private void command(String ref, boolean start, byte[] bytes) {
        if (over) {
            return; // what is read after the shutdown is never sent on
        }
        Command c = unacknowledged.add(ref, start, bytes);
        if (caughtUp && next == null) {
            write(c);
        }
    }

    private void write(Command c) {
        unacknowledged.written(c);
        write(c.bytes());
    }

    private void write(byte[] bytes) {
        if (socket != null) {
            socket.write(Buffer.buffer(bytes));
        }
    }

    @Override
    public void start(String ref, String requestClass, byte[] body) {
        command(ref, true, RuntimeLines.start(ref, requestClass, body));
    }

    @Override
    public void resumeWithReply(String ref, byte[] reply) {
        command(ref, false, RuntimeLines.give(ref, reply));
    }

    @Override
    public void resumeWithoutReply(String ref, long notice) {
        command(ref, false, RuntimeLines.omit(ref, notice));
    }

    @Override
    public void requestGauges() {
        if (socket != null && ++unanswered > MOST_UNANSWERED && System.nanoTime() - lastWord > SILENT_NS) {
            unanswered = 0;
            lastWord = System.nanoTime();
            counters.add(Count.LINKS_STALLED);
            LOG.warn("the link to the runtime is silent after notice {}", lastNotice);
            connect();
        }
        if (caughtUp) {
            write(RuntimeLines.gauges("c" + unacknowledged.lastWritten()));
        }
    }

    @Override
    public void requestHealthCheck(long tag) {
        if (socket == null) {
            dispatcher.healthCheckCompleted(tag, false); // nobody would ever tell
        }
        write(RuntimeLines.selftest(String.valueOf(tag)));
    }
}
