package topazladder.net;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The bounded pool of connections to the dependency, and the calls that wait for one of them.
 *
 * <p>Invariant: only a retry-safe call gets a connection that was used before. The dependency may have forgotten an
 * idle connection, and a reset of it looks like that of a call that ran.
 */
final class DependencyConnectionPool {
    private final int maxConnections;
    /** Every connection, also one being made; emptied as they close or are refused. */
    private final Set<DependencyConnection> connections = new LinkedHashSet<>();
    /** Most recently used first; emptied by calls, by the sweep and as they close. */
    private final Deque<DependencyConnection> idle = new ArrayDeque<>();
    /** Emptied as connections end or are released, and as the calls end. */
    private final Deque<DependencyCall> waiting = new ArrayDeque<>();

    DependencyConnectionPool(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    boolean hasCapacity() {
        return connections.size() < maxConnections;
    }

    void add(DependencyConnection connection) {
        connections.add(connection);
    }

    boolean contains(DependencyConnection connection) {
        return connections.contains(connection);
    }

    /** Returns whether it was in the pool. */
    boolean remove(DependencyConnection connection) {
        idle.remove(connection);
        return connections.remove(connection);
    }

    /** Takes an idle connection that may carry the call out of the idle ones. */
    Optional<DependencyConnection> takeIdle(DependencyCall call) {
        if (!call.isRetrySafe()) {
            return Optional.empty();
        }
        Optional<DependencyConnection> suitable =
                idle.stream().filter(connection -> connection.suits(call)).findFirst();
        suitable.ifPresent(idle::remove);
        return suitable;
    }

    void addIdle(DependencyConnection connection) {
        idle.addFirst(connection);
    }

    /** Queues a call until there is capacity; the connection that is idle for longest is closed for it. */
    void enqueue(DependencyCall call) {
        waiting.add(call);
        if (!idle.isEmpty()) {
            idle.getLast().close();
        }
    }

    void dequeue(DependencyCall call) {
        waiting.remove(call);
    }

    /** Takes the call that has waited for longest. */
    Optional<DependencyCall> nextWaiting() {
        return Optional.ofNullable(waiting.poll());
    }

    void closeIdle() {
        List.copyOf(idle).forEach(DependencyConnection::close);
    }

    void closeIdleSince(long idleNanos, long nowNanos) {
        List.copyOf(idle).stream().filter(connection -> nowNanos - connection.lastUsedNanos() > idleNanos)
                .forEach(DependencyConnection::close);
    }
}
