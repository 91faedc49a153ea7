package topazladder.rig;

import java.io.IOException;

/**
 * Loopback ports of one rig: three for each process (callers, runtime, other members), and one each for the two
 * ledgers, the index and all relays, each of which has a loopback address of its own.
 */
final class RigPorts {
    private static final int EACH = 3;
    private static final int SHARED = 4;

    private final int count;
    private final int[] ports;

    RigPorts(int count) throws IOException {
        this.count = count;
        ports = Programs.freePorts(EACH * count + SHARED);
    }

    /** Where a process listens for callers. */
    int callers(int process) {
        return ports[EACH * process];
    }

    /** Where the stand-in for its runtime listens. */
    int runtime(int process) {
        return ports[EACH * process + 1];
    }

    /** Where it listens for other members. */
    int members(int process) {
        return ports[EACH * process + 2];
    }

    int checkedLedger() {
        return ports[EACH * count];
    }

    int uncheckedLedger() {
        return ports[EACH * count + 1];
    }

    int index() {
        return ports[EACH * count + 2];
    }

    int relays() {
        return ports[EACH * count + 3];
    }

    /** The address of the relay between two processes. */
    static String relayHost(int from, int to) {
        return "127.1." + (from + 1) + '.' + (to + 1);
    }
}
