package topazladder.net;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazladder.below.How;
import topazladder.config.ServiceSettings.Address;
import topazladder.net.codec.IndexLines;
import topazladder.net.codec.LineReader;
import topazladder.net.codec.MalformedMessageException;
import topazladder.request.Outcome;
import topazladder.service.Counters;
import topazladder.service.Counters.Count;
import topazladder.service.DependencyCircuitBreaker;
import topazladder.service.DependencyPort;
import topazladder.service.RequestDispatcher;

/**
 * The connections to the index. One call at a time is on a connection, so that a spoilt reply costs no other
 * call; each call ends by its own time, whatever the index does.
 */
final class DependencyLink implements DependencyPort {
    private static final Logger LOG = LoggerFactory.getLogger(DependencyLink.class);
    /** Sooner than the index does it: of a call that crosses the close nothing is known. */
    private static final long IDLE_MS = 2000;
    /** What a reply in its time may need to come through, past the time that the index was told. */
    private static final long REPLY_SLACK_MS = 20;

    private final Vertx vertx;
    private final int most;
    private final Counters counters;
    private final NetClient client;
    /** By ref; emptied by replies, by calls given up, by their time and by the ends of their connections. */
    private final Map<String, Call> calls = new HashMap<>();
    /** Calls that wait for room among the connections; emptied as any of those ends, and by their own time. */
    private final Deque<Call> queue = new ArrayDeque<>();
    /** Every connection, also one being made; emptied as they close or are refused. */
    private final Set<Line> lines = new LinkedHashSet<>();
    /** The one used last is first; emptied by calls, by the sweep and as they close. */
    private final Deque<Line> idle = new ArrayDeque<>();
    private Address address;
    private RequestDispatcher dispatcher;
    private DependencyCircuitBreaker reach;
    private DependencyEndpointChoice choice; // null where there is one address
    private boolean reached = true;

    /**
     * @param address null where nothing lies below, so that no call can be made
     * @param most connections at once
     */
    DependencyLink(Vertx vertx, Address address, int most, Counters counters) {
        this.vertx = vertx;
        this.address = address;
        this.most = most;
        this.counters = counters;
        client = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true).setConnectTimeout(1000));
    }

    /** @param whether it is worth a try; without one each call tries */
    void tryBy(DependencyCircuitBreaker whether) {
        reach = whether;
    }

    /** @param among the servers to choose from, in place of the one address */
    void choose(DependencyEndpointChoice among) {
        choice = among;
    }

    Address address() {
        return address;
    }

    private static double seconds() {
        return System.nanoTime() / 1e9;
    }

    void open(RequestDispatcher dispatcher) {
        this.dispatcher = dispatcher;
        vertx.setPeriodic(IDLE_MS / 4, id -> {
            long now = System.nanoTime();
            List.copyOf(idle).stream().filter(l -> now - l.lastUsed > IDLE_MS * 1_000_000).forEach(Line::end);
        });
    }

    /** New calls go to another address; those under way end where they are, if they can. */
    void move(Address to) {
        if (choice != null) {
            LOG.info("the index's address says nothing here: its servers are named by the hall's settings");
            return;
        }
        if (to == null ? address != null : !to.equals(address)) {
            LOG.info("the index is at another address");
            address = to;
            List.copyOf(idle).forEach(Line::end);
        }
    }

    @Override
    public void call(String ref, double patience, boolean repeatable, byte[] body) {
        cancel(ref);
        Call call = new Call(ref, repeatable, patience, body);
        calls.put(ref, call);
        if (address == null && choice == null) {
            vertx.runOnContext(v -> call.over(Outcome.UNREACHABLE, null));
            return;
        }
        call.timer = vertx.setTimer(Math.max(1, Math.round(patience * 1000)) + REPLY_SLACK_MS, id -> call.tooLong());
        place(call);
    }

    @Override
    public void cancel(String ref) {
        Call call = calls.get(ref);
        if (call != null) {
            call.leave();
        }
    }

    private void place(Call call) {
        // An idle connection may have been forgotten: a reset then looks like that of a call that ran. And a copy of
        // a reply may come late, so that no request gets the connection it had before.
        if (choice != null && call.server < 0) {
            call.server = choice.pick(call.refusedBy);
            call.told = false;
            if (call.server < 0) {
                vertx.runOnContext(v -> call.over(Outcome.UNREACHABLE, null));
                return;
            }
        }
        Line line = call.repeatable ? idle.stream().filter(l -> !l.lastRef.equals(call.ref)
                && l.server == call.server).findFirst().orElse(null) : null;
        if (line != null) {
            idle.remove(line);
            line.carry(call);
        } else if (reach != null && !reach.isCallPermitted(seconds())) {
            vertx.runOnContext(v -> call.over(Outcome.UNREACHABLE, null));
        } else if (lines.size() < most) {
            new Line(call).connect();
        } else {
            queue.add(call);
            if (!idle.isEmpty()) {
                idle.getLast().end();
            }
        }
    }

    private void placeNext() {
        Call next = queue.poll();
        if (next != null) {
            place(next);
        }
    }

    /** One call, from the decision to its end. */
    private final class Call {
        private final String ref;
        private final boolean repeatable;
        private final byte[] get;
        private Line line; // null while it waits
        private boolean written;
        private long timer;
        private int server = -1;
        private int refusedBy = -1;
        private boolean told; // what it tells of the server

        Call(String ref, boolean repeatable, double patience, byte[] body) {
            this.ref = ref;
            this.repeatable = repeatable;
            get = IndexLines.get(ref, patience, body);
        }

        /** It ends for this side; a connection that still owes a reply carries no other call. */
        void leave() {
            if (server >= 0 && !told) {
                told = true;
                choice.dropped(server);
            }
            vertx.cancelTimer(timer);
            calls.remove(ref, this);
            queue.remove(this);
            if (line != null) {
                line.call = null;
                line.end();
            }
        }

        void over(Outcome how, byte[] reply) {
            if (calls.get(ref) == this) {
                leave();
                dispatcher.dependencyCallEnded(ref, how, reply);
            }
        }

        void tells(How how) {
            if (server >= 0 && !told) {
                told = true;
                choice.ended(server, how);
            }
        }

        void tooLong() {
            if (line != null) {
                tells(How.SILENT);
            }
            counters.add(Count.CALLS_TIMED_OUT);
            // The index knows how long it is waited for and says when that is over; silence is the connection's.
            over(written ? Outcome.CONNECTION_LOST : Outcome.UNREACHABLE, null);
        }
    }

    /** One connection, with at most one call on it. */
    private final class Line {
        private final int server;
        private final Address to;
        private final LineReader reader = IndexLines.reader();
        private Call call;
        private NetSocket socket; // null until it is connected
        private String lastRef = "";
        private long lastUsed = System.nanoTime();

        Line(Call call) {
            this.call = call;
            server = call.server;
            to = server < 0 ? address : choice.at(server);
            call.line = this;
            lines.add(this);
        }

        /** Whether new calls may go on it. */
        private boolean current() {
            return server < 0 ? to.equals(address) : choice.uses(server);
        }

        void connect() {
            client.connect(to.port(), to.host()).onComplete(this::connected, e -> refused());
        }

        private void connected(NetSocket s) {
            if (!reached) {
                LOG.info("the index is reached again");
            }
            reached = true;
            if (reach != null) {
                reach.onSuccess();
            }
            socket = s;
            s.handler(this::read);
            s.exceptionHandler(e -> s.close());
            s.closeHandler(v -> broke());
            Call first = call;
            if (first == null || server < 0 && !current()) {
                // Given up meanwhile, or the index moved: nothing was written, so that the call may go elsewhere.
                call = null;
                end();
                if (first != null) {
                    first.line = null;
                    place(first);
                }
            } else {
                carry(first);
            }
        }

        /** Nothing was written, so that the call did not run. */
        private void refused() {
            lines.remove(this);
            Call refused = call;
            call = null;
            if (refused != null) {
                refused.line = null;
                if (server >= 0) {
                    elsewhere(refused);
                } else if (!current() && address != null) {
                    place(refused);
                } else {
                    if (reached) {
                        LOG.warn("the index can't be reached");
                    }
                    reached = false;
                    if (reach != null) {
                        reach.onConnectionRefused(seconds());
                    }
                    refused.over(Outcome.UNREACHABLE, null);
                }
            }
            placeNext();
        }

        /** One that surely did not run may go to another server once, as long as there are not many of them. */
        private void elsewhere(Call refused) {
            refused.tells(How.REFUSED);
            if (refused.refusedBy < 0 && choice.mayRepeat()) {
                counters.add(Count.CALLS_RETRIED);
                refused.refusedBy = server;
                refused.server = -1;
                place(refused);
            } else {
                refused.over(Outcome.UNREACHABLE, null);
            }
        }

        void carry(Call next) {
            call = next;
            next.line = this;
            next.written = true;
            lastRef = next.ref;
            lastUsed = System.nanoTime();
            socket.write(Buffer.buffer(next.get));
        }

        private void read(Buffer more) {
            try {
                reader.feed(more.getBytes());
                for (LineReader.Line l = reader.next(); l != null; l = reader.next()) {
                    IndexLines.Reply r = IndexLines.reply(l);
                    if (call == null) {
                        throw new MalformedMessageException("more than one reply");
                    }
                    if (r.ref().equals(call.ref)) {
                        replied(r);
                    } else {
                        counters.add(Count.REPLIES_UNEXPECTED);
                    }
                }
                if (call == null && !reader.isEmpty()) {
                    throw new MalformedMessageException("the start of another reply");
                }
            } catch (MalformedMessageException e) {
                counters.add(Count.REPLIES_MALFORMED);
                end();
            }
        }

        /** The line is free before the dispatcher hears of it, which may make the next call at once. */
        private void replied(IndexLines.Reply r) {
            Call done = call;
            call = null;
            done.tells(r.how() == Outcome.FAILED ? How.FAILED : How.ANSWERED);
            done.line = null;
            lastUsed = System.nanoTime();
            // What came with the reply may be the start of a copy: seen by the reader of the rest.
            vertx.runOnContext(v -> rest());
            done.over(r.how(), r.reply());
        }

        private void rest() {
            if (lines.contains(this) && call == null) {
                if (current()) {
                    idle.addFirst(this);
                } else {
                    end();
                }
            }
            placeNext();
        }

        /** Ends it, and with it the call on it. */
        void end() {
            idle.remove(this);
            if (socket != null) {
                socket.close();
                broke();
            }
        }

        /** Of a call that was written nothing is known. */
        private void broke() {
            idle.remove(this);
            if (!lines.remove(this)) {
                return;
            }
            Call broken = call;
            call = null;
            if (broken != null) {
                counters.add(Count.CALLS_CONNECTION_LOST);
                broken.tells(How.CUT);
                broken.line = null;
                broken.over(Outcome.CONNECTION_LOST, null);
            }
            placeNext();
        }
    }
}
