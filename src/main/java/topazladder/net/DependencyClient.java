package topazladder.net;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazladder.config.ServiceSettings.Address;
import topazladder.endpoint.CallOutcome;
import topazladder.net.codec.DependencyLines;
import topazladder.request.Outcome;
import topazladder.service.Counters;
import topazladder.service.Counters.Count;
import topazladder.service.DependencyCircuitBreaker;
import topazladder.service.DependencyPort;
import topazladder.service.RequestDispatcher;

/**
 * Makes the calls of runs to the dependency, which the protocol names the index: the calls in flight, and where each
 * goes next.
 *
 * <p>Invariants: each call ends once and by its own timeout, whatever the dependency does; and a call is retried only
 * while nothing of it was written, so that none takes effect twice.
 */
final class DependencyClient implements DependencyPort, DependencyConnection.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(DependencyClient.class);
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    /** Sooner than the dependency closes it: of a call that crosses the close nothing is known. */
    private static final long IDLE_TIMEOUT_MILLIS = 2000;
    private static final long IDLE_SWEEP_MILLIS = IDLE_TIMEOUT_MILLIS / 4;
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** What a reply in its time may need to come through, past the timeout that the dependency was told. */
    private static final long REPLY_SLACK_MILLIS = 20;

    private final Vertx vertx;
    private final Counters counters;
    private final NetClient client;
    private final DependencyEndpoints endpoints;
    private final DependencyConnectionPool pool;
    private final DependencyReachability reachability = new DependencyReachability();
    /** By reference; emptied by replies, by calls given up, by timeouts and by the ends of their connections. */
    private final Map<String, DependencyCall> calls = new HashMap<>();
    private RequestDispatcher dispatcher;

    /**
     * @param address null where there is no dependency, so that no call can be made
     * @param maxConnections at once
     */
    DependencyClient(Vertx vertx, Address address, int maxConnections, Counters counters) {
        this.vertx = vertx;
        this.counters = counters;
        endpoints = new DependencyEndpoints(address);
        pool = new DependencyConnectionPool(maxConnections);
        client = vertx.createNetClient(
                new NetClientOptions().setTcpNoDelay(true).setConnectTimeout(CONNECT_TIMEOUT_MILLIS));
    }

    /** @param circuitBreaker whether a connection is worth an attempt; without one each call tries */
    void guardBy(DependencyCircuitBreaker circuitBreaker) {
        reachability.guardBy(circuitBreaker);
    }

    /** @param choice the endpoints to choose from, in place of the one address */
    void choose(DependencyEndpointChoice choice) {
        endpoints.choose(choice);
    }

    Address address() {
        return endpoints.address();
    }

    void open(RequestDispatcher requestDispatcher) {
        dispatcher = requestDispatcher;
        vertx.setPeriodic(IDLE_SWEEP_MILLIS,
                id -> pool.closeIdleSince(IDLE_TIMEOUT_MILLIS * NANOS_PER_MILLI, System.nanoTime()));
    }

    /** New calls go to another address; those in flight end where they are, if they can. */
    void moveTo(Address address) {
        if (endpoints.isChosenPerCall()) {
            LOG.info("dependency address ignored reason=endpoints-set-by-cluster-settings");
            return;
        }
        if (!Objects.equals(address, endpoints.address())) {
            LOG.info("dependency address changed address={}",
                    address == null ? "none" : address.host() + ":" + address.port());
            endpoints.moveTo(address);
            pool.closeIdle();
        }
    }

    @Override
    public void call(String reference, double timeoutSeconds, boolean retrySafe, byte[] body) {
        cancel(reference);
        DependencyCall call = new DependencyCall(reference, timeoutSeconds, retrySafe, body);
        calls.put(reference, call);
        if (endpoints.isNone()) {
            failLater(call);
            return;
        }
        long timeoutMillis = Math.max(1, Math.round(timeoutSeconds * 1000)) + REPLY_SLACK_MILLIS;
        call.setTimeoutTimer(vertx.setTimer(timeoutMillis, id -> timedOut(call)));
        place(call);
    }

    @Override
    public void cancel(String reference) {
        DependencyCall call = calls.get(reference);
        if (call != null) {
            leave(call);
        }
    }

    /** Gives the call a connection, or its place in the queue for one. */
    private void place(DependencyCall call) {
        if (!endpoints.assign(call)) {
            failLater(call);
            return;
        }
        Optional<DependencyConnection> idle = pool.takeIdle(call);
        if (idle.isPresent()) {
            idle.get().carry(call);
        } else if (!reachability.isAttemptPermitted()) {
            failLater(call);
        } else if (pool.hasCapacity()) {
            connect(call);
        } else {
            pool.enqueue(call);
        }
    }

    private void connect(DependencyCall call) {
        DependencyConnection connection =
                new DependencyConnection(endpoints.addressOf(call.endpoint()), call, this, counters);
        pool.add(connection);
        connection.connect(client);
    }

    private void placeNext() {
        pool.nextWaiting().ifPresent(this::place);
    }

    /** Not at once: whoever makes the call has not finished yet. */
    private void failLater(DependencyCall call) {
        vertx.runOnContext(v -> finish(call, Outcome.UNREACHABLE, null));
    }

    private void finish(DependencyCall call, Outcome outcome, byte[] reply) {
        if (calls.get(call.reference()) == call) {
            leave(call);
            dispatcher.dependencyCallEnded(call.reference(), outcome, reply);
        }
    }

    /** The call ends for this side; a connection that still owes a reply carries no other call. */
    private void leave(DependencyCall call) {
        endpoints.abandon(call);
        vertx.cancelTimer(call.timeoutTimer());
        calls.remove(call.reference(), call);
        pool.dequeue(call);
        DependencyConnection connection = call.connection();
        if (connection != null) {
            connection.takeCall();
            connection.close();
        }
    }

    /** The dependency knows the timeout and says when it is over; silence is the connection's. */
    private void timedOut(DependencyCall call) {
        if (call.connection() != null) {
            endpoints.report(call, CallOutcome.TIMED_OUT);
        }
        counters.add(Count.CALLS_TIMED_OUT);
        finish(call, call.isWritten() ? Outcome.CONNECTION_LOST : Outcome.UNREACHABLE, null);
    }

    @Override
    public void connected(DependencyConnection connection) {
        reachability.connected(connection.address());
        DependencyCall first = connection.takeCall();
        if (first != null && (first.hasEndpoint() || isCurrent(connection))) {
            connection.carry(first);
            return;
        }
        // Given up meanwhile, or the dependency moved: nothing was written, so that the call may go elsewhere.
        connection.close();
        if (first != null) {
            first.detach();
            place(first);
        }
    }

    private boolean isCurrent(DependencyConnection connection) {
        return endpoints.isCurrent(connection.endpoint(), connection.address());
    }

    @Override
    public void refused(DependencyConnection connection) {
        pool.remove(connection);
        DependencyCall refused = connection.takeCall();
        if (refused != null) {
            refused.detach();
            retryOrFail(refused, connection);
        }
        placeNext();
    }

    /** Nothing was written, so that the call surely did not run. */
    private void retryOrFail(DependencyCall refused, DependencyConnection connection) {
        if (refused.hasEndpoint()) {
            retryElsewhere(refused);
        } else if (!isCurrent(connection) && endpoints.address() != null) {
            place(refused);
        } else {
            reachability.refused(connection.address());
            finish(refused, Outcome.UNREACHABLE, null);
        }
    }

    private void retryElsewhere(DependencyCall refused) {
        endpoints.report(refused, CallOutcome.UNREACHABLE);
        if (endpoints.isRetryPermitted(refused)) {
            counters.add(Count.CALLS_RETRIED);
            refused.refused();
            place(refused);
        } else {
            finish(refused, Outcome.UNREACHABLE, null);
        }
    }

    /** The connection is free before the dispatcher hears of it, which may make the next call at once. */
    @Override
    public void replied(DependencyConnection connection, DependencyLines.Reply reply) {
        DependencyCall done = connection.takeCall();
        endpoints.report(done, reply.outcome() == Outcome.FAILED ? CallOutcome.FAILED : CallOutcome.ANSWERED);
        done.detach();
        // What came with the reply may be the start of a copy, which the connection reads before it is released.
        vertx.runOnContext(v -> release(connection));
        finish(done, reply.outcome(), reply.payload());
    }

    private void release(DependencyConnection connection) {
        if (pool.contains(connection) && connection.isFree()) {
            if (isCurrent(connection)) {
                pool.addIdle(connection);
            } else {
                connection.close();
            }
        }
        placeNext();
    }

    /** Of a call that was written nothing is known. */
    @Override
    public void ended(DependencyConnection connection) {
        if (!pool.remove(connection)) {
            return;
        }
        DependencyCall lost = connection.takeCall();
        if (lost != null) {
            counters.add(Count.CALLS_CONNECTION_LOST);
            endpoints.report(lost, CallOutcome.CONNECTION_LOST);
            lost.detach();
            finish(lost, Outcome.CONNECTION_LOST, null);
        }
        placeNext();
    }
}
