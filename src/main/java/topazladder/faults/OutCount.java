package topazladder.faults;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * Who is out as the world has it, not the program: who went by agreement and is not back, who is down. One may go by
 * agreement only while those out by agreement, and those that have been down for long enough to be known, leave a
 * place.
 */
public final class OutCount {
    private static final double COLD = 0.9;
    private final boolean[] agreed;
    private final double[] downSince;
    private final double[] upAt;
    private final int budget;
    private final double unseen;
    private final List<String> breaks = new ArrayList<>();
    private int went;
    private int most;

    /** @param unseen seconds for which one may be down and not be known to be */
    public OutCount(int members, int budget, double unseen) {
        agreed = new boolean[members];
        downSince = new double[members];
        upAt = new double[members];
        this.budget = budget;
        this.unseen = unseen;
        Arrays.fill(downSince, Double.NaN);
        Arrays.fill(upAt, Double.NaN);
    }

    public void agreed(double now, int who) {
        int others = 0;
        int down = 0;
        for (int i = 0; i < agreed.length; i++) {
            if (i != who) {
                // One that has just come back is still a burden on the others.
                others += agreed[i] && !(now - upAt[i] >= COLD) ? 1 : 0;
                down += !agreed[i] && now - downSince[i] > unseen ? 1 : 0;
            }
        }
        went++;
        most = Math.max(most, others + 1);
        if (others + down + 1 > budget) {
            breaks.add(String.format(Locale.ROOT,
                    "%.3f s: n%d goes out by agreement beside %d others and %d that are"
                            + " down, of %d",
                    now, who, others, down, budget));
        }
        agreed[who] = true;
        upAt[who] = Double.NaN;
    }

    public void down(double now, int who) {
        agreed[who] &= !(now - upAt[who] >= COLD); // it was back: this is another matter
        downSince[who] = now;
        upAt[who] = Double.NaN;
    }

    /** It is back, and cold for a moment. */
    public void up(double now, int who) {
        downSince[who] = Double.NaN;
        upAt[who] = now;
    }

    public List<String> breaks() {
        return List.copyOf(breaks);
    }

    /** Out by agreement and not back now. */
    public int now() {
        int out = 0;
        for (boolean a : agreed) {
            out += a ? 1 : 0;
        }
        return out;
    }

    /** How often one went by agreement. */
    public int went() {
        return went;
    }

    /** By agreement at once, at the most. */
    public int most() {
        return most;
    }
}
