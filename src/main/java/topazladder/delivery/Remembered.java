package topazladder.delivery;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What became of messages lately, so that one whose acknowledgement was lost is settled when it comes again, and not
 * run. A message is known by its id, its try and its body: a copy is another try, and two bodies under one id are two
 * messages. Where the same message is published twice, one may be settled and the other not: those that ended here
 * unsettled are counted. Without an id nothing is remembered.
 */
final class Remembered {
    /** Seconds; a broker that was gone for longer brings back messages of which nothing is known any more. */
    static final double KEPT = 300;
    /** A hundred bytes each; past it the oldest go first, and theirs are judged as unknown. */
    static final int MOST = 20_000;

    /**
     * How a message was settled.
     *
     * @param outcome what became of it; {@code ACKNOWLEDGE} where it ran
     * @param rejections how often it had been rejected elsewhere when it was settled, by x-death
     */
    record Settlement(Outcomes.What outcome, int rejections) {
    }

    private static final class Entry {
        double since;
        Settlement settlement; // null until it is settled
        int returns;
        int unsettled; // deliveries that ended here unsettled, each of which comes again once at most
    }

    private record Key(String queue, String id, int tries, long body) {
    }

    /** Emptied by age and by the bound. */
    private final Map<Key, Entry> entries = new LinkedHashMap<>();

    private static Key key(Delivery d, int tries) {
        return d.properties().messageId() == null ? null
                : new Key(d.queue(), d.properties().messageId(), tries, Hashing.komihash5_0()
                        .hashBytesToLong(d.body()));
    }

    private Entry entry(Delivery d, int tries, double now) {
        Key key = key(d, tries);
        if (key == null) {
            return new Entry();
        }
        Entry e = entries.remove(key);
        if (e == null) {
            e = new Entry();
        }
        e.since = now;
        entries.put(key, e);
        for (Iterator<Entry> i = entries.values().iterator(); i.hasNext();) {
            if (i.next().since >= now - KEPT && entries.size() <= MOST) {
                break;
            }
            i.remove();
        }
        return e;
    }

    /** Nothing more is to be done for it but to acknowledge it. */
    void settled(Delivery d, int tries, Settlement settlement, double now) {
        Entry e = entry(d, tries, now);
        e.settlement = settlement;
        e.returns = 0;
    }

    /** It ended here without an outcome that settles it: it may come again, and is not the one that was settled. */
    void unsettled(Delivery d, int tries, double now) {
        entry(d, tries, now).unsettled++;
    }

    /** It came again, or what became of it is known after all. */
    void noLongerUnsettled(Delivery d, int tries) {
        Entry e = entries.get(key(d, tries));
        if (e != null && e.unsettled > 0) {
            e.unsettled--;
        }
    }

    void returned(Delivery d, int tries, double now) {
        entry(d, tries, now).returns++;
    }

    /**
     * How it was settled lately, or null where that is not known, or where one that is known by the same key ended here
     * unsettled: this may be that one.
     */
    Settlement settlement(Delivery d, int tries, double now) {
        Entry e = entries.get(key(d, tries));
        return e == null || e.since < now - KEPT || e.unsettled > 0 ? null : e.settlement;
    }

    /** How often it went back to its queue from here. */
    int returns(Delivery d, int tries) {
        Entry e = entries.get(key(d, tries));
        return e == null ? 0 : e.returns;
    }

    int size() {
        return entries.size();
    }
}
