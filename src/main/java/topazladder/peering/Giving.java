package topazladder.peering;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How often a running instance gives what it knows. Its own work goes first: shares come at a bounded rate and take a
 * bounded part of the event loop's time. Who comes between gets a place in a queue of times, and is told when it is
 * its turn; past the queue's end it is told to ask another.
 */
public final class Giving {
    /** Seconds that a place is kept for whoever was told of it. */
    private static final double KEPT = 1;
    /** Further ahead than this nobody comes back: its own knowledge is better by then. */
    private static final double FURTHEST = 5;

    /** @param comeBackIn seconds, or 0 for not at all; empty where the share is given now */
    public record Turn(boolean now, double comeBackIn) {
    }

    private final double period;
    private final double loopShare;
    /** Whose turn comes when; emptied as the times pass, and bounded by the furthest time. */
    private final Map<String, Double> turns = new LinkedHashMap<>();
    private double free;

    public Giving(double sharesPerSecond, double loopShare) {
        period = 1 / sharesPerSecond;
        this.loopShare = loopShare;
    }

    /** @param asker its name and incarnation */
    public Turn ask(double now, String asker) {
        for (Iterator<Double> i = turns.values().iterator(); i.hasNext();) {
            if (i.next() + KEPT < now) {
                i.remove();
            }
        }
        Double turn = turns.get(asker);
        if (turn != null) {
            if (now < turn) {
                return new Turn(false, turn - now); // came early: its place stays
            }
            turns.remove(asker);
            return new Turn(true, 0);
        }
        if (free <= now) {
            free = now + period;
            return new Turn(true, 0);
        }
        if (free - now > FURTHEST) {
            return new Turn(false, 0);
        }
        turns.put(asker, free);
        double in = free - now;
        free += period;
        return new Turn(false, in);
    }

    /** What a share took of the event loop; the next comes no sooner than its part allows. */
    public void took(double now, double seconds) {
        free = Math.max(free, now + seconds / loopShare);
    }

    int waiting() {
        return turns.size();
    }
}
