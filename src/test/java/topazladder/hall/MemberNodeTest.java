package topazladder.hall;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import topazladder.lease.LeaseHolder;
import topazladder.lease.MemberIdentity;
import topazladder.membership.Gossip;
import topazladder.membership.Membership;
import topazladder.membership.Standing;

/** One member with a manual clock, whose messages are recorded. */
class MemberNodeTest {
    private record Sent(String to, String address, Saying message) {
    }

    private final List<Sent> sent = new ArrayList<>();
    private final List<Runnable> timers = new ArrayList<>();
    private double now = 1;
    private final MemberNode member = new MemberNode(new HallTerms("c1", "127.0.0.1:9", "", List.of("127.0.0.1:1"),
            List.of("n0", "n1", "n2"), 0.15, List.of(), false, new Membership.Terms(2, 3, 3600), List.of(), 3),
            new LeaseHolder(new MemberIdentity("c1", 7)), (delaySeconds, task) -> timers.add(task), () -> now,
            new SplittableRandom(1),
            new MemberNode.World() {
                @Override
                public void say(String to, String address, Saying message) {
                    sent.add(new Sent(to, address, message));
                }

                @Override
                public void start(String leaseName, long token) {
                    throw new AssertionError("the member holds no lease, but starts " + leaseName);
                }

                @Override
                public void stop(String leaseName, long token, double withinSeconds) {
                    throw new AssertionError("the member holds no lease, but stops " + leaseName);
                }
            });

    private void learnOf(String name, String address) {
        member.heard(name, new Saying.Membership(new Gossip.Ping(1, List.of(new Standing(name, address, "", 1, 0,
                Standing.State.ALIVE, true, "")))));
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
        member.well(true);
        advance(5);
        sent.clear();
        member.heard("n1", new Saying.LeaderIs("n0", "127.0.0.1:4"));
        advance(1);
        assertThat(sent).filteredOn(s -> s.message() instanceof Saying.Asking).isNotEmpty()
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
        member.well(true);
        sent.clear();
        advance(5);
        assertThat(sent).filteredOn(s -> s.message() instanceof Saying.Asking).isNotEmpty()
                .allMatch(s -> s.to().isEmpty() && "127.0.0.1:1".equals(s.address()));
        // The seed does not vote, and answers with a hint.
        sent.clear();
        member.heard("c3", new Saying.LeaderIs("n0", "127.0.0.1:4"));
        advance(3);
        assertThat(sent).filteredOn(s -> s.message() instanceof Saying.Asking).extracting(Sent::address)
                .contains("127.0.0.1:4");
        member.heard("n0", new Saying.Nudge());
        assertThat(member.elsewhere()).isEqualTo(new Saying.LeaderIs("n0", "127.0.0.1:4"));
    }

    @Test
    void triesTheOtherVotersWhereTheHintedLeaderNeverAnswers() {
        member.open();
        for (int i = 0; i < 3; i++) {
            learnOf("n" + i, "127.0.0.1:" + i);
        }
        member.well(true);
        advance(3);
        sent.clear();
        // Every hint names n9, which does not answer.
        for (int i = 0; i < 20; i++) {
            member.heard("n0", new Saying.LeaderIs("n9", "127.0.0.1:99"));
            advance(2);
        }
        assertThat(sent.stream().filter(s -> s.message() instanceof Saying.Asking).map(Sent::to).distinct())
                .contains("n0", "n1", "n2", "n9");
    }

    @Test
    void addsTheLeadersAddressToAHintWhereItIsKnown() {
        learnOf("n2", "127.0.0.1:22");
        assertThat(member.located(new Saying.LeaderIs("n2"))).isEqualTo(new Saying.LeaderIs("n2", "127.0.0.1:22"));
        assertThat(member.located(new Saying.LeaderIs("n0"))).isEqualTo(new Saying.LeaderIs("n0"));
        assertThat(member.located(new Saying.Nudge())).isEqualTo(new Saying.Nudge());
    }
}
