package topazladder.net.codec;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import topazladder.below.Look;
import topazladder.below.Report;
import topazladder.below.Word;
import topazladder.consensus.VoterEndpoint;
import topazladder.disruption.Disruption;
import topazladder.disruption.DisruptionController;
import topazladder.disruption.DisruptionTarget;
import topazladder.disruption.LoadReport;
import topazladder.hall.Saying;
import topazladder.lease.LeaseRequest;
import topazladder.lease.LeaseResponse;
import topazladder.lease.MemberIdentity;
import topazladder.membership.Gossip;
import topazladder.membership.Membership;
import topazladder.membership.Standing;
import topazladder.release.Judge;
import topazladder.release.Place;
import topazladder.release.Plan;
import topazladder.release.Release;
import topazladder.release.ReleaseOp;
import topazladder.release.View;

/**
 * What members say comes through as it was said; the group's own messages go through it in the halls of virtual time.
 */
class HallMessagesTest {
    private static final Plan PLAN = new Plan("b", "A", "B", List.of(new Plan.Wave("east", 1, 0.5, 60)),
            Judge.Terms.USUAL, 120, 2, 1, true);
    private static final ReleaseOp.By BY = new ReleaseOp.By("release", 7, 1_700_000_000_000L);
    private static final Place PLACE = new Place("n1", "east", true, 1, Place.Stage.ASKED, 2);
    private static final Release RELEASE = new Release(3, PLAN, true, Release.Phase.HALTED, "by an operator", 1, 2,
            List.of(PLACE), List.of(new Release.Event(5, "starts")));
    private static final List<ReleaseOp> STEPS = List.of(new ReleaseOp.Start(BY, PLAN, List.of(PLACE)),
            new ReleaseOp.Ask(BY, 3, 2, "n1", 1), new ReleaseOp.Missed(BY, 3, 2, "n1"),
            new ReleaseOp.Moved(BY, 3, 2, "n1"), new ReleaseOp.AddPlace(BY, 3, 2, "n9", "east", true),
            new ReleaseOp.Next(BY, 3, 2, 1), new ReleaseOp.Done(BY, 3, 2),
            new ReleaseOp.Halt(BY, 3, "why"), new ReleaseOp.Resume(BY, 3), new ReleaseOp.Back(BY, 3));
    private static final Standing STANDING = new Standing("n1", "127.0.0.1:1", "hala-a", 1L << 60, 4,
            Standing.State.SUSPECTED, true, "n2");

    private static List<Saying> all() {
        List<Standing> news = List.of(STANDING, STANDING.as(Standing.State.LEFT));
        return List.of(new Saying.Membership(new Gossip.Ping(7, news)),
                new Saying.Membership(new Gossip.PingFor(7, "n3", List.of())),
                new Saying.Membership(new Gossip.Ack(7, news)), new Saying.Membership(new Gossip.Nack(7, news)),
                new Saying.Membership(new Gossip.Sync(true, news)),
                new Saying.Asking(
                        new LeaseRequest(new MemberIdentity("n1", 5), 9, true,
                                List.of(new LeaseRequest.Held("probe", 3)),
                                List.of(new LeaseRequest.Stopped("sweep", 4, null),
                                        new LeaseRequest.Stopped("sweep", 5, "no file"))),
                        "127.0.0.1:4200", HallMessages.SCHEMA,
                        new LoadReport("B", 3, 10, 9.5, 0.25, 12, 40)),
                new Saying.Asking(new LeaseRequest(new MemberIdentity("n1", 5), 9, true, List.of(), List.of()),
                        "127.0.0.1:4200",
                        HallMessages.SCHEMA,
                        LoadReport.NOTHING,
                        List.of(new Report("i1", Look.ILL, 4.5, 4), new Report("i2", Look.UNTRIED, 0,
                                0))),
                new Saying.Belows(7, List.of(new Word("i1", Word.Kind.RETURNING, 9, 2.5), new Word("i2",
                        Word.Kind.AVOID, 0, 0))),
                new Saying.Go(9, "B"),
                new Saying.Conduct(new MemberIdentity("n1", 5), 4, STEPS, "wave 1: 2 left"),
                new Saying.Conducted(4, new View(RELEASE, List.of(
                        new View.Sight("n2", "east", DisruptionController.Look.STEADY, 7,
                                new Disruption(new DisruptionTarget(DisruptionTarget.Kind.INSTANCE, "n2", "east"),
                                        Disruption.Why.RELEASE, Disruption.Phase.GONE, "r",
                                        3,
                                        7, 2, "release x"),
                                "hall: 1 of 1 are out", new LoadReport("A", 3, 10, 10, 0, 12, 40)),
                        new View.Sight("n3", "", DisruptionController.Look.GONE, 1, null, null, null)))),
                new Saying.Conducted(5, new View(null, List.of(), "n2", false)),
                new Saying.Answering(
                        new LeaseResponse(9, List.of(new LeaseResponse.Grant("probe", 3, 2.5, true)), 1.25)),
                new Saying.LeaderIs("n4", "127.0.0.1:4"), new Saying.LeaderIs(""), new Saying.Nudge(),
                new Saying.AsksToVote(new VoterEndpoint("n1", 77)),
                new Saying.TakenIn(new VoterEndpoint("n1", 77),
                        List.of(new VoterEndpoint("n1", 0), new VoterEndpoint("n2", 0)), 3),
                new Saying.Order(1, new Saying.Command(Saying.Command.Kind.HALT, "probe", "by hand")),
                new Saying.Told(1, false, "no"), new Saying.Found("index", true, 0.5, 12));
    }

    @Test
    void whatIsSaidComesThroughAsItWasSaid() throws MalformedMessageException {
        for (Saying s : all()) {
            assertThat(HallMessages.saying(HallMessages.bytes(s))).isEqualTo(s);
        }
    }

    @Test
    void whatANewerVersionSaysIsReadWhereItSaysThatItMayBe() throws MalformedMessageException {
        Saying nudge = new Saying.Nudge();
        assertThat(HallMessages.saying(HallMessages.bytes(nudge, 9, 1))).isEqualTo(nudge);
        assertThatThrownBy(() -> HallMessages.saying(HallMessages.bytes(nudge, 9, 9)))
                .isInstanceOf(MalformedMessageException.class)
                .hasMessageContaining("needs schema 9");
        assertThat(HallMessages.saying(HallMessages.bytes(nudge, 0, 0))).as("an older one").isEqualTo(nudge);
    }

    @Test
    void moreThanAMessageMayBearIsRefused() {
        List<Standing> many = new ArrayList<>();
        for (int i = 0; i <= Membership.MOST_NEWS; i++) {
            many.add(STANDING);
        }
        assertThatThrownBy(() -> HallMessages.saying(HallMessages.bytes(
                new Saying.Membership(new Gossip.Ping(1, many))))).isInstanceOf(MalformedMessageException.class);
        assertThatThrownBy(() -> HallMessages.saying(HallMessages.bytes(new Saying.Answering(
                new LeaseResponse(1, List.of(new LeaseResponse.Grant("probe", 1, -2, false)), 1)))))
                        .isInstanceOf(MalformedMessageException.class);
        assertThatThrownBy(() -> HallMessages.saying(HallMessages.bytes(new Saying.Answering(
                new LeaseResponse(1, List.of(), Double.NaN))))).isInstanceOf(MalformedMessageException.class);
    }

    @Test
    void noiseIsRefusedOrReadAndNeverAFault() {
        SplittableRandom chance = new SplittableRandom(20261201);
        List<Saying> all = all();
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = HallMessages.bytes(all.get(chance.nextInt(all.size())));
            for (int flips = 1 + chance.nextInt(4); flips > 0 && bytes.length > 0; flips--) {
                bytes[chance.nextInt(bytes.length)] = (byte) chance.nextInt(256);
            }
            try {
                HallMessages.saying(bytes);
            } catch (MalformedMessageException e) {
                assertThat(e).hasMessageMatching("(?s).+");
            }
        }
    }
}
