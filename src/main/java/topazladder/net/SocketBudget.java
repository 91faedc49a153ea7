package topazladder.net;

/**
 * How the descriptors of the process are divided.
 *
 * @param callerConnections at once
 * @param dependencyConnections at once
 */
record SocketBudget(int callerConnections, int dependencyConnections) {
    /**
     * Kept back: libraries, event loop and links hold 33, and a closed one is given back only when the event loop comes
     * round again. Were none left, nobody would be accepted for a second.
     */
    private static final int RESERVED_DESCRIPTORS = 128;
    /** One in so many descriptors may be a connection to the dependency. */
    private static final int DEPENDENCY_DIVISOR = 8;
    /** Accepted, and not yet known to the event loop. */
    private static final int UNREGISTERED_CONNECTIONS = 24;

    /** @param descriptors that the process may hold */
    static SocketBudget of(int descriptors) {
        int dependencyConnections = Math.max(1, descriptors / DEPENDENCY_DIVISOR);
        int callerConnections = Math.max(1, descriptors - RESERVED_DESCRIPTORS - dependencyConnections);
        return new SocketBudget(callerConnections, dependencyConnections);
    }

    /** Accepted connections past which the acceptor is held back. */
    int acceptedConnections() {
        return callerConnections + UNREGISTERED_CONNECTIONS;
    }
}
