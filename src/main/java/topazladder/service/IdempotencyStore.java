package topazladder.service;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.Map;

/**
 * The idempotency keys that the admission controller decided to remember, with what became of their runs. Keys are
 * never dropped for want of memory, as their requests would run again; results are.
 */
final class IdempotencyStore {
    /** By key; emptied as keys are forgotten, and by {@link #sweep}. */
    private final Map<String, IdempotencyRecord> records = new HashMap<>();
    private final MessageDigest sha256;
    private final HeapShares heap;
    private long resultBytes;

    /** A store for its shares of a heap. Results past theirs are not kept, and their duplicates fail. */
    IdempotencyStore(HeapShares heap) {
        this.heap = heap;
        try {
            sha256 = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /**
     * A digest of request class and body, which all attempts of one request have in common; kept in place of the body.
     */
    byte[] digest(IncomingRequest request) {
        sha256.update(request.requestClass().getBytes(StandardCharsets.UTF_8));
        sha256.update((byte) 0);
        return sha256.digest(request.body());
    }

    /**
     * The record of a key, or null where none is remembered. An attempt counts by when it arrived, not by when it is
     * read: a pause may lie between.
     */
    IdempotencyRecord find(String key, double arrivedAtUnixSeconds) {
        IdempotencyRecord record = records.get(key);
        return record == null || arrivedAtUnixSeconds > record.expiresAt() ? null : record;
    }

    /** Remembers the key of an attempt that is about to run; does nothing for one without a key. */
    void remember(InFlightRequest attempt, double untilUnixSeconds) {
        String key = attempt.incoming().idempotencyKey();
        if (key == null) {
            return;
        }
        IdempotencyRecord previous = records.get(key);
        if (previous != null && previous != attempt.idempotencyRecord()) {
            resultBytes -= previous.resultBytes();
        }
        IdempotencyRecord record = attempt.idempotencyRecord();
        if (record == null) {
            record = new IdempotencyRecord(key, attempt.digest());
            attempt.setIdempotencyRecord(record);
        }
        record.assign(attempt, untilUnixSeconds);
        records.put(key, record);
    }

    /** Forgets the key of an attempt that never ran, so that a retry may run. */
    void forget(InFlightRequest attempt) {
        IdempotencyRecord record = attempt.idempotencyRecord();
        if (record != null && record.isOwnedBy(attempt) && records.remove(record.key(), record)) {
            resultBytes -= record.resultBytes();
        }
    }

    /** The run of a key is over; the result is null where there is none. */
    void endRun(IdempotencyRecord record, byte[] result) {
        record.endRun();
        boolean remembered = records.get(record.key()) == record;
        if (remembered && result != null && resultBytes + result.length <= heap.resultBytes()) {
            record.keepResult(result);
            resultBytes += result.length;
        }
    }

    /**
     * Drops the records of which no attempt can come any more: what arrived within the window and lay unread through
     * the longest deadline is past answering.
     */
    void sweep(double nowUnixSeconds, double longestDeadlineSeconds) {
        records.values().removeIf(record -> {
            boolean past = nowUnixSeconds > record.expiresAt() + longestDeadlineSeconds && !record.hasWaiting();
            resultBytes -= past ? record.resultBytes() : 0;
            return past;
        });
    }

    /** Whether no further key fits, so that a request with one must not be admitted. */
    boolean isFull() {
        return records.size() >= heap.idempotencyKeys();
    }

    int size() {
        return records.size();
    }
}
