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
 * Carries out changes of the voters at the leader. Invariant: voters are added or removed one at a time, each after the
 * previous change is committed, so that majorities of the old and the new configuration overlap (Raft dissertation,
 * section 4.1).
 */
final class VoterReconfiguration {
    private static final Logger LOG = LoggerFactory.getLogger(VoterReconfiguration.class);

    private final VoterEndpoint here;
    private final RaftTiming timing;
    private final DoubleSupplier clock;
    private final VoterChangePlanner planner = new VoterChangePlanner();
    private boolean changeInProgress;

    VoterReconfiguration(VoterEndpoint here, RaftTiming timing, DoubleSupplier clock) {
        this.here = here;
        this.timing = timing;
        this.clock = clock;
    }

    /** Handles the request of an endpoint that does not vote yet to be added. */
    void joinRequested(VoterEndpoint endpoint, Collection<String> wanted) {
        planner.joinRequested(clock.getAsDouble(), endpoint, wanted);
    }

    /**
     * Starts the next change, if one is due and none is in progress.
     *
     * @param report the library's latest report
     * @param wanted names of the members that should vote
     */
    void tick(RaftNode node, RaftNodeReport report, Collection<String> wanted) {
        RaftGroupMembers members = node.getCommittedMembers();
        if (changeInProgress || members.getLogIndex() != node.getEffectiveMembers().getLogIndex()) {
            return;
        }
        Collection<VoterEndpoint> voting = endpoints(members.getVotingMembers());
        Optional<VoterChangePlanner.Change> next =
                planner.nextChange(clock.getAsDouble(), voting, wanted, recentlyHeard(report, voting));
        next.ifPresent(change -> start(node, change, members.getLogIndex()));
    }

    private void start(RaftNode node, VoterChangePlanner.Change change, long committedAt) {
        changeInProgress = true;
        boolean adds = change.kind() == VoterChangePlanner.Change.Kind.ADD;
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

    /** This voter and all voters that answered the leader within the heartbeat timeout. */
    private Collection<VoterEndpoint> recentlyHeard(RaftNodeReport report, Collection<VoterEndpoint> voting) {
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
