package topazladder.service;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The fingerprints that the module ruled to remember, with what became of the run. */
final class IdempotencyStore {
    /** Of the heap, which is small on a day of 32 MB: the rest is for the requests in hand and their connections. */
    private static final double SHARE = 0.2;
    private static final long ENOUGH_BYTES = 8 << 20;

    /** One remembered request: whichever try has the entry, and the result of the run once that is over. */
    static final class Kept {
        final String fingerprint;
        final byte[] digest;
        InFlightRequest holder; // null once the run is over: its body and its caller's connection are not kept
        double until;
        boolean over;
        byte[] result; // null if the run came to nothing, or was let go
        final List<InFlightRequest> joined = new ArrayList<>(0); // wait for the end of the run; emptied by it

        Kept(String fingerprint, byte[] digest) {
            this.fingerprint = fingerprint;
            this.digest = digest;
        }
    }

    /** Emptied by FORGET, and by the sweep once no try of the window can still be unread. */
    private final Map<String, Kept> entries = new HashMap<>();
    private final MessageDigest hash;
    private final long most;
    private long bytes;

    IdempotencyStore() {
        this(Runtime.getRuntime().maxMemory());
    }

    /** @param heap bytes; results past a share of it are not kept, and their repeats are broken off */
    IdempotencyStore(long heap) {
        most = Math.min(ENOUGH_BYTES, (long) (SHARE * heap));
        try {
            hash = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** The same for all tries of one request, and no other: kept in place of the body. */
    byte[] digest(IncomingRequest a) {
        hash.update(a.requestClass().getBytes(StandardCharsets.UTF_8));
        hash.update((byte) 0);
        return hash.digest(a.body());
    }

    /** A try counts by when it came, not by when it is read: a pause may lie between. */
    Kept find(String fingerprint, double since) {
        Kept kept = entries.get(fingerprint);
        return kept == null || since > kept.until ? null : kept;
    }

    void remember(InFlightRequest holder, double until) {
        String fingerprint = holder.arrival.idempotencyKey();
        if (fingerprint == null) {
            return;
        }
        Kept old = entries.get(fingerprint);
        if (old != null && old != holder.kept) {
            bytes -= size(old);
        }
        if (holder.kept == null) {
            holder.kept = new Kept(fingerprint, holder.digest);
        }
        holder.kept.holder = holder;
        holder.kept.until = until;
        entries.put(fingerprint, holder.kept);
    }

    void forget(InFlightRequest holder) {
        Kept kept = holder.kept;
        if (kept != null && kept.holder == holder && entries.remove(kept.fingerprint, kept)) {
            bytes -= size(kept);
        }
    }

    void runOver(Kept kept, byte[] result) {
        kept.over = true;
        kept.holder = null;
        if (entries.get(kept.fingerprint) == kept && result != null && bytes + result.length <= most) {
            kept.result = result;
            bytes += result.length;
        }
    }

    /** What came within the window and lay unread through the longest outer limit is past answering. */
    void sweep(double now, double longestLimit) {
        entries.values().removeIf(kept -> {
            boolean past = now > kept.until + longestLimit && kept.joined.isEmpty();
            bytes -= past ? size(kept) : 0;
            return past;
        });
    }

    int size() {
        return entries.size();
    }

    private static int size(Kept kept) {
        return kept.result == null ? 0 : kept.result.length;
    }
}
