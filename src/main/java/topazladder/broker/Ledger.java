package topazladder.broker;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The life of each message as the broker saw it, for whoever audits; written by the broker and by nobody else. */
public final class Ledger {

    /** What befell a message, or one delivery of it. */
    public enum What {
        PUBLISHED, DELIVERED, ACKNOWLEDGED, RETURNED, REJECTED, LINK_LOST, EXPIRED, DROPPED,
        DEAD_LETTERED
    }

    /** @param delivery number of the delivery over all, or 0 where none is meant */
    public record Entry(double at, long message, long delivery, What what, String where) {

        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%9.3f  message %d delivery %d %s %s", at, message, delivery,
                    what.name().toLowerCase(Locale.ROOT).replace('_', ' '), where);
        }
    }

    private final List<Entry> entries = new ArrayList<>();
    private final boolean kept;

    public Ledger() {
        this(true);
    }

    /** @param kept false where nobody audits, as a long run would fill the heap */
    public Ledger(boolean kept) {
        this.kept = kept;
    }

    void write(double at, long message, long delivery, What what, String where) {
        if (kept) {
            entries.add(new Entry(at, message, delivery, what, where));
        }
    }

    public List<Entry> entries() {
        return List.copyOf(entries);
    }

    /** By message, in order of their times. */
    public Map<Long, List<Entry>> byMessage() {
        Map<Long, List<Entry>> all = new LinkedHashMap<>();
        entries.forEach(e -> all.computeIfAbsent(e.message(), k -> new ArrayList<>()).add(e));
        return all;
    }

    /** Deliveries with other than one end: settled twice, or neither settled nor lost. */
    public List<String> deliveriesWithoutExactlyOneEnd() {
        Map<Long, List<Entry>> byDelivery = new LinkedHashMap<>();
        entries.stream().filter(e -> e.delivery() > 0)
                .forEach(e -> byDelivery.computeIfAbsent(e.delivery(), k -> new ArrayList<>()).add(e));
        return byDelivery.values().stream()
                .filter(l -> l.stream().filter(e -> e.what() != What.DELIVERED).count() != 1)
                .map(String::valueOf).toList();
    }
}
