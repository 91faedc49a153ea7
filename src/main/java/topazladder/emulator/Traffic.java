package topazladder.emulator;

import java.util.List;
import java.util.random.RandomGenerator;
import topazladder.ticket.Offering;

/**
 * Tickets as they come to one instance: at random times of a rate, of offerings by shares, each with its work. What a
 * seed gives is the same whoever serves it.
 */
public final class Traffic {

    /**
     * @param share of the tickets
     * @param run mean core-seconds
     * @param callShare of its tickets that make a call
     * @param call mean server-seconds of a call
     */
    public record Kind(Offering offering, double share, double run, double callShare, double call) {
    }

    /** One ticket that somebody wants answered. */
    public record Wanted(Kind kind, double rank, Work work) {
    }

    private final RandomGenerator chance;
    private final List<Kind> kinds;

    public Traffic(RandomGenerator chance, List<Kind> kinds) {
        this.chance = chance;
        this.kinds = kinds;
    }

    /** Seconds to the next ticket. */
    public double gap(double rate) {
        return -Math.log(1 - chance.nextDouble()) / rate;
    }

    public Wanted next() {
        double at = chance.nextDouble();
        Kind kind = kinds.get(kinds.size() - 1);
        for (Kind k : kinds) {
            if (at < k.share()) {
                kind = k;
                break;
            }
            at -= k.share();
        }
        // Ranks by payoff, each offering in its band, so that the cut turns the cheapest away first.
        final double payoff = kind.offering().payoff();
        long lower = kinds.stream().filter(k -> k.offering().payoff() < payoff).count();
        double rank = (lower + chance.nextDouble()) / kinds.size();
        boolean calls = chance.nextDouble() < kind.callShare();
        double run = kind.run() * (0.5 + chance.nextDouble());
        double call = kind.call() * (0.5 + chance.nextDouble());
        return new Wanted(kind, Math.min(0.9999, rank), new Work(run, calls ? call : 0));
    }
}
