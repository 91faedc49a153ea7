package topazladder.cluster;

import java.util.List;
import topazladder.disruption.DisruptionBudget;
import topazladder.lease.LeaseSettings;
import topazladder.membership.Membership;

/**
 * A member's settings of its cluster; those of the cluster as a whole are meant to be the same at all members.
 *
 * @param name of this member
 * @param address where it listens for the others, as host:port
 * @param zone where it runs, or empty
 * @param seeds addresses of members through which the cluster is found
 * @param voters names of the members that vote; none for no consensus group, and so no leases
 * @param heartbeatSeconds between the leader's heartbeats
 * @param leases that the group grants
 * @param eligibleForLeases whether this member takes leases at all
 * @param budgets of what may be disrupted at once
 * @param messageSchema the latest schema of cluster messages that this member can read
 */
public record MemberSettings(String name, String address, String zone, List<String> seeds, List<String> voters,
        double heartbeatSeconds, List<LeaseSettings> leases, boolean eligibleForLeases, Membership.Settings membership,
        List<DisruptionBudget> budgets, int messageSchema) {

    public boolean isVoter() {
        return voters.contains(name);
    }
}
