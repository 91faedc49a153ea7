package topazladder.service;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** One remembered idempotency key, with the attempt that runs it and, once the run is over, its result. */
final class IdempotencyRecord {
    private final String key;
    private final byte[] digest;
    /** Duplicates that wait for the end of the run, which empties this. */
    private final List<InFlightRequest> waiting = new ArrayList<>(0);
    /** The attempt that runs; null once the run is over, so that its body and connection are not retained. */
    private InFlightRequest owner;
    private double expiresAt;
    private boolean runOver;
    /** Null before the run is over, where it failed, and where there was no memory for it. */
    private byte[] result;

    IdempotencyRecord(String key, byte[] digest) {
        this.key = key;
        this.digest = digest;
    }

    String key() {
        return key;
    }

    /** Whether an attempt carries the same request class and body as the first. */
    boolean hasDigest(byte[] other) {
        return Arrays.equals(digest, other);
    }

    void assign(InFlightRequest attempt, double until) {
        owner = attempt;
        expiresAt = until;
    }

    boolean isOwnedBy(InFlightRequest attempt) {
        return owner == attempt;
    }

    /** The attempt that runs, or null. */
    InFlightRequest owner() {
        return owner;
    }

    /** When the window ends, in Unix seconds; attempts that arrive later are new requests. */
    double expiresAt() {
        return expiresAt;
    }

    void endRun() {
        runOver = true;
        owner = null;
    }

    boolean isRunOver() {
        return runOver;
    }

    void keepResult(byte[] bytes) {
        result = bytes;
    }

    /** The result of the run, or null where none is kept. */
    byte[] result() {
        return result;
    }

    int resultBytes() {
        return result == null ? 0 : result.length;
    }

    void addWaiting(InFlightRequest duplicate) {
        waiting.add(duplicate);
    }

    boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    /** A copy, as answering one may add another. */
    List<InFlightRequest> waiting() {
        return List.copyOf(waiting);
    }

    void clearWaiting() {
        waiting.clear();
    }
}
