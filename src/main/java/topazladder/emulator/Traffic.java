package topazladder.emulator;

import java.util.List;
import java.util.random.RandomGenerator;
import topazladder.request.RequestClass;

/**
 * Requests as they come to one instance: at random times of a rate, of request classes by shares, each with its work.
 * What a seed gives is the same whoever serves it.
 */
public final class Traffic {

    /**
     * @param share of the requests
     * @param run mean core-seconds
     * @param callShare of its requests that make a call
     * @param call mean server-seconds of a call
     */
    public record Kind(RequestClass requestClass, double share, double run, double callShare, double call) {
    }

    /** One request that somebody wants answered. */
    public record Wanted(Kind kind, double rank, Work work) {
    }

    private final RandomGenerator chance;
    private final List<Kind> kinds;

    public Traffic(RandomGenerator chance, List<Kind> kinds) {
        this.chance = chance;
        this.kinds = kinds;
    }

    /** Seconds to the next request. */
    public double gap(double rate) {
        return -StrictMath.log(1 - chance.nextDouble()) / rate;
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
        // Ranks by payoff, each request class in its band, so that the cut turns the cheapest away first.
        final double payoff = kind.requestClass().priorityWeight();
        long lower = kinds.stream().filter(k -> k.requestClass().priorityWeight() < payoff).count();
        double rank = (lower + chance.nextDouble()) / kinds.size();
        boolean calls = chance.nextDouble() < kind.callShare();
        double run = kind.run() * (0.5 + chance.nextDouble());
        double call = kind.call() * (0.5 + chance.nextDouble());
        return new Wanted(kind, Math.min(0.9999, rank), new Work(run, calls ? call : 0));
    }
}
