package topazladder.consensus;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.report.RaftGroupMembers;
import io.microraft.report.RaftNodeReport;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries out changes of the voters at the leader. Invariant: one server is added or removed at a time, and none before
 * the change before it is committed, so that majorities of the old and the new configuration overlap (Raft
 * dissertation, section 4.1).
 */
final class VoterReconfiguration {
    private static final Logger LOG = LoggerFactory.getLogger(VoterReconfiguration.class);

    private final VoterEndpoint here;
    private final RaftTiming timing;
    private final DoubleSupplier clock;
    private final VoterSet voters = new VoterSet();
    private boolean changeInProgress;

    VoterReconfiguration(VoterEndpoint here, RaftTiming timing, DoubleSupplier clock) {
        this.here = here;
        this.timing = timing;
        this.clock = clock;
    }

    /** A voter without a vote asks to be added. */
    void joinRequested(VoterEndpoint endpoint, Collection<String> wanted) {
        voters.joinRequested(clock.getAsDouble(), endpoint, wanted);
    }

    /**
     * Begins the next change, if there is one and none is under way.
     *
     * @param report the library's latest
     * @param wanted names of those that should vote
     */
    void tick(RaftNode node, RaftNodeReport report, Collection<String> wanted) {
        RaftGroupMembers members = node.getCommittedMembers();
        if (changeInProgress || members.getLogIndex() != node.getEffectiveMembers().getLogIndex()) {
            return;
        }
        Collection<VoterEndpoint> voting = endpoints(members.getVotingMembers());
        Optional<VoterSet.Change> next =
                voters.nextChange(clock.getAsDouble(), voting, wanted, heardLately(report, voting));
        next.ifPresent(change -> begin(node, change, members.getLogIndex()));
    }

    private void begin(RaftNode node, VoterSet.Change change, long committedAt) {
        changeInProgress = true;
        boolean adds = change.kind() == VoterSet.Change.Kind.ADD;
        LOG.info("voter change proposed endpoint={} change={}", change.endpoint(), change.kind());
        MembershipChangeMode mode =
                adds ? MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER : MembershipChangeMode.REMOVE_MEMBER;
        node.changeMembership(change.endpoint(), mode, committedAt).whenComplete((done, failure) -> {
            changeInProgress = false;
            if (failure != null) {
                LOG.info("voter change failed endpoint={} error={}", change.endpoint(), failure.toString());
            } else {
                LOG.info("voter {} endpoint={}", adds ? "added" : "removed", change.endpoint());
            }
        });
    }

    /** Voters whose answer came within the time after which the leader would count as lost; this one is one of them. */
    private Collection<VoterEndpoint> heardLately(RaftNodeReport report, Collection<VoterEndpoint> voting) {
        Set<VoterEndpoint> heard = new HashSet<>(Set.of(here));
        long oldestMillis = timing.clock(clock).millis() - timing.config().getLeaderHeartbeatTimeoutSecs() * 1000;
        report.getHeartbeatTimestamps().forEach((endpoint, atMillis) -> {
            if (atMillis >= oldestMillis) {
                heard.add((VoterEndpoint) endpoint);
            }
        });
        heard.retainAll(voting);
        return heard;
    }

    /** The library's endpoints as voters, ordered by identity. */
    static Collection<VoterEndpoint> endpoints(Collection<RaftEndpoint> all) {
        Set<VoterEndpoint> ordered = new TreeSet<>(Comparator.comparing(VoterEndpoint::toString));
        all.forEach(endpoint -> ordered.add((VoterEndpoint) endpoint));
        return ordered;
    }
}
