package topazladder.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import topazladder.lease.LeaseHolder;
import topazladder.lease.MemberIdentity;
import topazladder.membership.Gossip;
import topazladder.membership.MemberStatus;
import topazladder.membership.Membership;

/** One member with a manual clock, whose messages are recorded. */
class ClusterMemberTest {
    private record Sent(String to, String address, ClusterMessage message) {
    }

    private final List<Sent> sent = new ArrayList<>();
    private final List<Runnable> timers = new ArrayList<>();
    private double now = 1;
    private final ClusterMember member = new ClusterMember(
            new MemberSettings("c1", "127.0.0.1:9", "", List.of("127.0.0.1:1"),
                    List.of("n0", "n1", "n2"), 0.15, List.of(), false, new Membership.Settings(2, 3, 3600), List.of(),
                    3),
            new LeaseHolder(new MemberIdentity("c1", 7)), (delaySeconds, task) -> timers.add(task), () -> now,
            new SplittableRandom(1),
            new ClusterMember.Environment() {
                @Override
                public void sendMessage(String to, String address, ClusterMessage message) {
                    sent.add(new Sent(to, address, message));
                }

                @Override
                public void startTask(String leaseName, long token) {
                    throw new AssertionError("the member holds no lease, but starts " + leaseName);
                }

                @Override
                public void stopTask(String leaseName, long token, double withinSeconds) {
                    throw new AssertionError("the member holds no lease, but stops " + leaseName);
                }
            });

    private void learnOf(String name, String address) {
        member.handle(name,
                new ClusterMessage.MembershipGossip(new Gossip.Ping(1, List.of(new MemberStatus(name, address, "", 1, 0,
                        MemberStatus.State.ALIVE, true, "")))));
    }

    private void advance(double seconds) {
        for (double end = now + seconds; now < end; now += 0.1) {
            List<Runnable> due = List.copyOf(timers);
            timers.clear();
            due.forEach(Runnable::run);
        }
    }

    /**
     * In a cluster of 500 members one or two reached no voter for minutes: they were told the leader by name alone, and
     * gossip had not brought its address yet.
     */
    @Test
    void pollsALeaderUnknownToGossipAtTheAddressInTheHint() {
        member.open();
        learnOf("n1", "127.0.0.1:1");
        member.setHealthy(true);
        advance(5);
        sent.clear();
        member.handle("n1", new ClusterMessage.LeaderHint("n0", "127.0.0.1:4"));
        advance(1);
        assertThat(sent).filteredOn(s -> s.message() instanceof ClusterMessage.LeasePoll).isNotEmpty()
                .allMatch(s -> s.to().equals("n0") && "127.0.0.1:4".equals(s.address()));
    }

    /**
     * In a run with 500 members one got no response for a minute: it had sent 55 polls, 16 of them were unanswered, and
     * while it knew of 189 members and of no leader, it knew no voter's address. It has to poll
     * a seed instead, which hints at the leader.
     */
    @Test
    void pollsASeedWhereNoVotersAddressIsKnown() {
        member.open();
        learnOf("c2", "127.0.0.1:22");
        member.setHealthy(true);
        sent.clear();
        advance(5);
        assertThat(sent).filteredOn(s -> s.message() instanceof ClusterMessage.LeasePoll).isNotEmpty()
                .allMatch(s -> s.to().isEmpty() && "127.0.0.1:1".equals(s.address()));
        // The seed does not vote, and answers with a hint.
        sent.clear();
        member.handle("c3", new ClusterMessage.LeaderHint("n0", "127.0.0.1:4"));
        advance(3);
        assertThat(sent).filteredOn(s -> s.message() instanceof ClusterMessage.LeasePoll).extracting(Sent::address)
                .contains("127.0.0.1:4");
        member.handle("n0", new ClusterMessage.WakeUp());
        assertThat(member.leaderHint()).isEqualTo(new ClusterMessage.LeaderHint("n0", "127.0.0.1:4"));
    }

    @Test
    void triesTheOtherVotersWhereTheHintedLeaderNeverAnswers() {
        member.open();
        for (int i = 0; i < 3; i++) {
            learnOf("n" + i, "127.0.0.1:" + i);
        }
        member.setHealthy(true);
        advance(3);
        sent.clear();
        // Every hint names n9, which does not answer.
        for (int i = 0; i < 20; i++) {
            member.handle("n0", new ClusterMessage.LeaderHint("n9", "127.0.0.1:99"));
            advance(2);
        }
        assertThat(sent.stream().filter(s -> s.message() instanceof ClusterMessage.LeasePoll).map(Sent::to).distinct())
                .contains("n0", "n1", "n2", "n9");
    }

    @Test
    void addsTheLeadersAddressToAHintWhereItIsKnown() {
        learnOf("n2", "127.0.0.1:22");
        assertThat(member.withLeaderAddress(new ClusterMessage.LeaderHint("n2")))
                .isEqualTo(new ClusterMessage.LeaderHint("n2", "127.0.0.1:22"));
        assertThat(member.withLeaderAddress(new ClusterMessage.LeaderHint("n0")))
                .isEqualTo(new ClusterMessage.LeaderHint("n0"));
        assertThat(member.withLeaderAddress(new ClusterMessage.WakeUp())).isEqualTo(new ClusterMessage.WakeUp());
    }
}
