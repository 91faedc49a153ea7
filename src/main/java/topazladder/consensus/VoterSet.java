package topazladder.consensus;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Which change of the voters comes next, decided by the leader: one at a time, and never one that leaves fewer voters
 * heard than a majority needs. Who is named by the settings and has lost its folder comes back under another birth.
 */
public final class VoterSet {
    /** Seconds within which a voter or one that would be one was heard. */
    private static final double HEARD = 5;

    /** @param in whether the endpoint is taken in, or taken out */
    public record Change(VoterEndpoint endpoint, boolean in) {
    }

    private final Map<String, VoterEndpoint> asking = new TreeMap<>(); // by name: no more than are wanted
    private final Map<String, Double> askedAt = new TreeMap<>();

    /** Somebody who does not vote asks to; only those that the settings name are heard. */
    public void asked(double now, VoterEndpoint who, Collection<String> wanted) {
        if (wanted.contains(who.name())) {
            asking.put(who.name(), who);
            askedAt.put(who.name(), now);
        }
    }

    /**
     * The next change, if any.
     *
     * @param voting who votes now
     * @param wanted names of those who should
     * @param heard voters whose answer to the leader came lately, itself among them
     */
    public Optional<Change> next(double now, Collection<VoterEndpoint> voting, Collection<String> wanted,
            Collection<VoterEndpoint> heard) {
        asking.keySet().removeIf(name -> now - askedAt.get(name) > HEARD);
        askedAt.keySet().retainAll(asking.keySet());
        int sound = (int) voting.stream().filter(heard::contains).count();
        for (VoterEndpoint v : voting) {
            VoterEndpoint other = asking.get(v.name());
            boolean replaced = other != null && !other.equals(v);
            boolean stays = wanted.contains(v.name()) && !replaced;
            int left = sound - (heard.contains(v) ? 1 : 0);
            // After it is out, those that are left must still be a majority of those that are left to vote.
            if (!stays && voting.size() > 1 && left > (voting.size() - 1) / 2) {
                return Optional.of(new Change(v, false));
            }
        }
        for (VoterEndpoint e : asking.values()) {
            boolean there = voting.stream().anyMatch(v -> v.name().equals(e.name()));
            // It has heard nothing yet, so for a while it is one that votes and does not count as sound.
            if (!there && sound > (voting.size() + 1) / 2) {
                return Optional.of(new Change(e, true));
            }
        }
        return Optional.empty();
    }
}
