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

/** A member by itself, with a clock in hand and what it says written down. */
class MemberNodeTest {
    private record Said(String to, String address, Saying what) {
    }

    private final List<Said> said = new ArrayList<>();
    private final List<Runnable> timers = new ArrayList<>();
    private double now = 1;
    private final MemberNode member = new MemberNode(new HallTerms("c1", "127.0.0.1:9", "", List.of("127.0.0.1:1"),
            List.of("n0", "n1", "n2"), 0.15, List.of(), false, new Membership.Terms(2, 3, 3600), List.of(), 3),
            new LeaseHolder(new MemberIdentity("c1", 7)), (in, what) -> timers.add(what), () -> now,
            new SplittableRandom(1),
            new MemberNode.World() {
                @Override
                public void say(String to, String address, Saying what) {
                    said.add(new Said(to, address, what));
                }

                @Override
                public void start(String duty, long token) {
                    throw new AssertionError("it holds none");
                }

                @Override
                public void stop(String duty, long token, double within) {
                    throw new AssertionError("it holds none");
                }
            });

    private void knows(String name, String address) {
        member.heard(name, new Saying.Membership(new Gossip.Ping(1, List.of(new Standing(name, address, "", 1, 0,
                Standing.State.ALIVE, true, "")))));
    }

    private void pass(double seconds) {
        for (double end = now + seconds; now < end; now += 0.1) {
            List<Runnable> due = List.copyOf(timers);
            timers.clear();
            due.forEach(Runnable::run);
        }
    }

    /** Of 500 members on sockets one or two asked nobody for minutes: the leader was told to them by its name alone. */
    @Test
    void aLeaderThatItWasNotToldOfIsAskedWhereTheVoterSaysThatItHears() {
        member.open();
        knows("n1", "127.0.0.1:1");
        member.well(true);
        pass(5);
        said.clear();
        member.heard("n1", new Saying.LeaderIs("n0", "127.0.0.1:4"));
        pass(1);
        assertThat(said).filteredOn(s -> s.what() instanceof Saying.Asking).isNotEmpty()
                .allMatch(s -> s.to().equals("n0") && "127.0.0.1:4".equals(s.address()));
    }

    /**
     * In a run with 500 members one got no response for a minute: it had sent 55 polls, 16 of them were unanswered, and
     * while it knew of 189 members and of no leader, it knew no voter's address.
     */
    @Test
    void oneThatKnowsNoVotersAddressAsksWhoeverTheSettingsName() {
        member.open();
        knows("c2", "127.0.0.1:22");
        member.well(true);
        said.clear();
        pass(5);
        assertThat(said).filteredOn(s -> s.what() instanceof Saying.Asking).isNotEmpty()
                .allMatch(s -> s.to().isEmpty() && "127.0.0.1:1".equals(s.address()));
        // That one does not vote, and passes on whom it asks itself.
        said.clear();
        member.heard("c3", new Saying.LeaderIs("n0", "127.0.0.1:4"));
        pass(3);
        assertThat(said).filteredOn(s -> s.what() instanceof Saying.Asking).extracting(Said::address)
                .contains("127.0.0.1:4");
        member.heard("n0", new Saying.Nudge());
        assertThat(member.elsewhere()).isEqualTo(new Saying.LeaderIs("n0", "127.0.0.1:4"));
    }

    @Test
    void whereAVotersWordLeadsNowhereAnotherVoterIsAsked() {
        member.open();
        for (int i = 0; i < 3; i++) {
            knows("n" + i, "127.0.0.1:" + i);
        }
        member.well(true);
        pass(3);
        said.clear();
        // All say that one leads who never answers; still each of them is asked again.
        for (int i = 0; i < 20; i++) {
            member.heard("n0", new Saying.LeaderIs("n9", "127.0.0.1:99"));
            pass(2);
        }
        assertThat(said.stream().filter(s -> s.what() instanceof Saying.Asking).map(Said::to).distinct())
                .contains("n0", "n1", "n2", "n9");
    }

    @Test
    void aVoterSaysWhereTheLeaderHearsThatItNames() {
        knows("n2", "127.0.0.1:22");
        assertThat(member.located(new Saying.LeaderIs("n2"))).isEqualTo(new Saying.LeaderIs("n2", "127.0.0.1:22"));
        assertThat(member.located(new Saying.LeaderIs("n0"))).isEqualTo(new Saying.LeaderIs("n0"));
        assertThat(member.located(new Saying.Nudge())).isEqualTo(new Saying.Nudge());
    }
}
