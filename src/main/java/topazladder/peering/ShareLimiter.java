package topazladder.peering;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Limits how often a running instance gives shares of its learned estimates, so that its own requests come first: by a
 * rate, and by the part of the event loop's time that shares may take. A peer that asks too early gets a reserved time
 * and is told when to come back; when the reservations reach too far ahead, it is told to ask another peer.
 */
public final class ShareLimiter {
    /** For which a reservation is kept after its time. */
    private static final double RESERVATION_GRACE_SECONDS = 1;
    /** No reservation is made further ahead: by then the peer's own estimates are better. */
    private static final double MAX_RESERVATION_SECONDS = 5;

    /**
     * The answer to a peer that asks.
     *
     * @param isGranted whether the share is given now
     * @param retryAfterSeconds seconds after which the peer may ask again; 0 if the share is given now, or not at all
     */
    public record Decision(boolean isGranted, double retryAfterSeconds) {
    }

    private final double period;
    private final double loopShare;
    /** Reserved times by peer; removed as they pass, and none is further ahead than the limit. */
    private final Map<String, Double> reservations = new LinkedHashMap<>();
    private double nextFreeAt;

    /**
     * Creates a limiter without reservations.
     *
     * @param loopShare part of the event loop's time that shares may take
     */
    public ShareLimiter(double sharesPerSecond, double loopShare) {
        period = 1 / sharesPerSecond;
        this.loopShare = loopShare;
    }

    /**
     * Decides whether a peer gets a share now.
     *
     * @param asker name and incarnation of the peer
     */
    public Decision request(double now, String asker) {
        for (Iterator<Double> i = reservations.values().iterator(); i.hasNext();) {
            if (i.next() + RESERVATION_GRACE_SECONDS < now) {
                i.remove();
            }
        }
        Double reservedAt = reservations.get(asker);
        if (reservedAt != null) {
            if (now < reservedAt) {
                return new Decision(false, reservedAt - now); // too early: the reservation stays
            }
            reservations.remove(asker);
            return new Decision(true, 0);
        }
        if (nextFreeAt <= now) {
            nextFreeAt = now + period;
            return new Decision(true, 0);
        }
        if (nextFreeAt - now > MAX_RESERVATION_SECONDS) {
            return new Decision(false, 0);
        }
        reservations.put(asker, nextFreeAt);
        double wait = nextFreeAt - now;
        nextFreeAt += period;
        return new Decision(false, wait);
    }

    /** Records the event loop's time that a share took, and delays the next one so that the part is kept. */
    public void recordCost(double now, double seconds) {
        nextFreeAt = Math.max(nextFreeAt, now + seconds / loopShare);
    }

    int reservationCount() {
        return reservations.size();
    }
}
