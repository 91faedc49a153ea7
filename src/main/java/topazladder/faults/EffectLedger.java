package topazladder.faults;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * What a service that duties touch writes down: which effect came when, under which token, from whom. The world keeps
 * it, not the program. With tokens checked, an effect under a lower token than one before is refused, as a service
 * should.
 *
 * <p>Where looks are told as well (the moments at which a holder asked its clock and was told that it may go on), they
 * are judged by the world's own time: no holder may be told so after a later token's holder was.
 */
public final class EffectLedger {
    private static final int MOST_BREAKS = 20;

    private static final class Line {
        private final Map<Long, String> holders = new HashMap<>(); // as many as grants in one play
        private long highest;
        private double highestSince;
        private long looked;
        private double lookedAt;
        private String lookedBy = "";
        private long effects;
        private double first = Double.POSITIVE_INFINITY;
        private long late;
        private double lateFor;
        private double last = Double.NEGATIVE_INFINITY;
        private double longestGap;
    }

    private final boolean checks;
    private final Map<String, Line> lines = new HashMap<>();
    private final List<String> breaks = new ArrayList<>();

    /** @param checks whether lower tokens are refused */
    public EffectLedger(boolean checks) {
        this.checks = checks;
    }

    /** Gaps and overlaps are measured anew from here; what was seen of tokens is kept. */
    public void measureAnew() {
        lines.values().forEach(l -> {
            l.longestGap = 0;
            l.lateFor = 0;
        });
    }

    /** An effect comes; false where it is refused. */
    public boolean effect(double at, String duty, long token, String holder) {
        Line line = lines.computeIfAbsent(duty, d -> new Line());
        String other = line.holders.putIfAbsent(token, holder);
        if (other != null && !other.equals(holder)) {
            broken(at, duty, "token " + token + " is used by " + other + " and by " + holder);
        }
        if (token < line.highest) {
            line.late++;
            line.lateFor = Math.max(line.lateFor, at - line.highestSince);
            if (checks) {
                return false;
            }
        } else if (token > line.highest) {
            line.highest = token;
            line.highestSince = at;
        }
        line.effects++;
        line.first = Math.min(line.first, at);
        if (line.last > Double.NEGATIVE_INFINITY) {
            line.longestGap = Math.max(line.longestGap, at - line.last);
        }
        line.last = at;
        return true;
    }

    /** A holder was told that it may go on. */
    public void look(double at, String duty, long token, String holder) {
        Line line = lines.computeIfAbsent(duty, d -> new Line());
        if (token < line.looked) {
            broken(at, duty, String.format(Locale.ROOT,
                    "%s may go on under token %d, %.3f s after %s was told so under %d", holder, token,
                    at - line.lookedAt, line.lookedBy, line.looked));
        } else if (token == line.looked && !holder.equals(line.lookedBy)) {
            broken(at, duty, holder + " may go on under token " + token + ", which " + line.lookedBy + " holds");
        } else if (token > line.looked) {
            line.looked = token;
            line.lookedAt = at;
            line.lookedBy = holder;
        }
    }

    private void broken(double at, String duty, String what) {
        if (breaks.size() < MOST_BREAKS) {
            breaks.add(String.format(Locale.ROOT, "%.3f s, %s: %s", at, duty, what));
        }
    }

    /** Empty where all held. */
    public List<String> breaks() {
        return List.copyOf(breaks);
    }

    public long effects() {
        return lines.values().stream().mapToLong(l -> l.effects).sum();
    }

    /** Effects that came under a lower token than one before. */
    public long late() {
        return lines.values().stream().mapToLong(l -> l.late).sum();
    }

    /** Seconds between a later holder's first effect and the last one of an earlier holder, at the most. */
    public double longestOverlap() {
        return lines.values().stream().mapToDouble(l -> l.lateFor).max().orElse(0);
    }

    /** Seconds without an effect, at the most, between two effects of one duty. */
    public double longestGap() {
        return lines.values().stream().mapToDouble(l -> l.longestGap).max().orElse(0);
    }

    public double lastEffect(String duty) {
        Line line = lines.get(duty);
        return line == null ? Double.NEGATIVE_INFINITY : line.last;
    }

    /** When the last of so many duties was first done; NaN where not all were. */
    public double firstOfAll(int duties) {
        return lines.size() < duties ? Double.NaN : lines.values().stream().mapToDouble(l -> l.first).max().orElse(0);
    }

    public long tokens() {
        return lines.values().stream().mapToLong(l -> l.holders.size()).sum();
    }
}
