package topazladder.hall;

import java.util.List;
import topazladder.disruption.DisruptionBudget;
import topazladder.lease.LeaseSettings;
import topazladder.membership.Membership;

/**
 * What a hall is, by the settings that all its members share.
 *
 * @param name of this member
 * @param address where it listens for the others, host:port
 * @param hall where it stands, or empty
 * @param seeds addresses of members by which the hall is found
 * @param voters names of those that vote; none means no group, and so no duties
 * @param heartbeat seconds between the leader's heartbeats
 * @param duties there are
 * @param budgets of what may be out at once
 * @param schema of what this member can read
 * @param mayHold whether this member takes duties at all
 */
public record HallTerms(String name, String address, String hall, List<String> seeds, List<String> voters,
        double heartbeat, List<LeaseSettings> duties, boolean mayHold, Membership.Terms membership,
        List<DisruptionBudget> budgets, int schema) {

    public boolean votes() {
        return voters.contains(name);
    }
}
