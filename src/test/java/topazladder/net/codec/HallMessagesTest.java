package topazladder.net.codec;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import topazladder.cluster.ClusterMessage;
import topazladder.consensus.VoterEndpoint;
import topazladder.disruption.Disruption;
import topazladder.disruption.DisruptionController;
import topazladder.disruption.DisruptionTarget;
import topazladder.disruption.LoadReport;
import topazladder.endpoint.EjectionDirective;
import topazladder.endpoint.EndpointHealth;
import topazladder.endpoint.EndpointReport;
import topazladder.lease.LeaseRequest;
import topazladder.lease.LeaseResponse;
import topazladder.lease.MemberIdentity;
import topazladder.membership.Gossip;
import topazladder.membership.MemberStatus;
import topazladder.membership.Membership;
import topazladder.rollout.CanaryAnalysis;
import topazladder.rollout.Rollout;
import topazladder.rollout.RolloutCommand;
import topazladder.rollout.RolloutPlan;
import topazladder.rollout.RolloutStatus;
import topazladder.rollout.RolloutTarget;

/**
 * What members say comes through as it was said; the group's own messages go through it in the halls of virtual time.
 */
class HallMessagesTest {
    private static final RolloutPlan PLAN =
            new RolloutPlan("b", "A", "B", List.of(new RolloutPlan.Wave("east", 1, 0.5, 60)),
                    CanaryAnalysis.Thresholds.DEFAULT, 120, 2, 1, true);
    private static final RolloutCommand.Proposer BY = new RolloutCommand.Proposer("release", 7, 1_700_000_000_000L);
    private static final RolloutTarget PLACE = new RolloutTarget("n1", "east", true, 1, RolloutTarget.Stage.ASKED, 2);
    private static final Rollout RELEASE = new Rollout(3, PLAN, true, Rollout.Phase.HALTED, "by an operator", 1, 2,
            List.of(PLACE), List.of(new Rollout.Event(5, "starts")));
    private static final List<RolloutCommand> STEPS = List.of(new RolloutCommand.Start(BY, PLAN, List.of(PLACE)),
            new RolloutCommand.RequestGrant(BY, 3, 2, "n1", 1), new RolloutCommand.RecordFailedUpdate(BY, 3, 2, "n1"),
            new RolloutCommand.RecordUpdate(BY, 3, 2, "n1"), new RolloutCommand.AddTarget(BY, 3, 2, "n9", "east", true),
            new RolloutCommand.StartWave(BY, 3, 2, 1), new RolloutCommand.Complete(BY, 3, 2),
            new RolloutCommand.Halt(BY, 3, "why"), new RolloutCommand.Resume(BY, 3),
            new RolloutCommand.RollBack(BY, 3));
    private static final MemberStatus STANDING = new MemberStatus("n1", "127.0.0.1:1", "hala-a", 1L << 60, 4,
            MemberStatus.State.SUSPECTED, true, "n2");

    private static List<ClusterMessage> all() {
        List<MemberStatus> news = List.of(STANDING, STANDING.withState(MemberStatus.State.LEFT));
        return List.of(new ClusterMessage.MembershipGossip(new Gossip.Ping(7, news)),
                new ClusterMessage.MembershipGossip(new Gossip.PingRequest(7, "n3", List.of())),
                new ClusterMessage.MembershipGossip(new Gossip.Ack(7, news)),
                new ClusterMessage.MembershipGossip(new Gossip.Nack(7, news)),
                new ClusterMessage.MembershipGossip(new Gossip.Sync(true, news)),
                new ClusterMessage.LeasePoll(
                        new LeaseRequest(new MemberIdentity("n1", 5), 9, true,
                                List.of(new LeaseRequest.Held("probe", 3)),
                                List.of(new LeaseRequest.Stopped("sweep", 4, null),
                                        new LeaseRequest.Stopped("sweep", 5, "no file"))),
                        "127.0.0.1:4200", HallMessages.SCHEMA,
                        new LoadReport("B", 3, 10, 9.5, 0.25, 12, 40)),
                new ClusterMessage.LeasePoll(
                        new LeaseRequest(new MemberIdentity("n1", 5), 9, true, List.of(), List.of()),
                        "127.0.0.1:4200",
                        HallMessages.SCHEMA,
                        LoadReport.EMPTY,
                        List.of(new EndpointReport("i1", EndpointHealth.ILL, 4.5, 4),
                                new EndpointReport("i2", EndpointHealth.UNTRIED, 0,
                                        0))),
                new ClusterMessage.DependencyDecisions(7,
                        List.of(new EjectionDirective("i1", EjectionDirective.Kind.RETURNING, 9, 2.5),
                                new EjectionDirective("i2",
                                        EjectionDirective.Kind.MAY_EJECT, 0, 0))),
                new ClusterMessage.ShutdownApproval(9, "B"),
                new ClusterMessage.RolloutProposal(new MemberIdentity("n1", 5), 4, STEPS, "wave 1: 2 left"),
                new ClusterMessage.RolloutState(4, new RolloutStatus(RELEASE, List.of(
                        new RolloutStatus.InstanceStatus("n2", "east", DisruptionController.Health.STEADY, 7,
                                new Disruption(new DisruptionTarget(DisruptionTarget.Kind.INSTANCE, "n2", "east"),
                                        Disruption.Reason.RELEASE, Disruption.Phase.GONE, "r",
                                        3,
                                        7, 2, "release x"),
                                "hall: 1 of 1 are out", new LoadReport("A", 3, 10, 10, 0, 12, 40)),
                        new RolloutStatus.InstanceStatus("n3", "", DisruptionController.Health.GONE, 1, null, null,
                                null)))),
                new ClusterMessage.RolloutState(5, new RolloutStatus(null, List.of(), "n2", false)),
                new ClusterMessage.LeasePollResponse(
                        new LeaseResponse(9, List.of(new LeaseResponse.Grant("probe", 3, 2.5, true)), 1.25)),
                new ClusterMessage.LeaderHint("n4", "127.0.0.1:4"), new ClusterMessage.LeaderHint(""),
                new ClusterMessage.WakeUp(),
                new ClusterMessage.JoinRequest(new VoterEndpoint("n1", 77)),
                new ClusterMessage.JoinConfirmation(new VoterEndpoint("n1", 77),
                        List.of(new VoterEndpoint("n1", 0), new VoterEndpoint("n2", 0)), 3),
                new ClusterMessage.CommandRequest(1,
                        new ClusterMessage.Command(ClusterMessage.Command.Kind.HALT, "probe", "by hand")),
                new ClusterMessage.CommandResponse(1, false, "no"),
                new ClusterMessage.ProbeResult("index", true, 0.5, 12));
    }

    @Test
    void whatIsSaidComesThroughAsItWasSaid() throws MalformedMessageException {
        for (ClusterMessage s : all()) {
            assertThat(HallMessages.saying(HallMessages.bytes(s))).isEqualTo(s);
        }
    }

    @Test
    void whatANewerVersionSaysIsReadWhereItSaysThatItMayBe() throws MalformedMessageException {
        ClusterMessage nudge = new ClusterMessage.WakeUp();
        assertThat(HallMessages.saying(HallMessages.bytes(nudge, 9, 1))).isEqualTo(nudge);
        assertThatThrownBy(() -> HallMessages.saying(HallMessages.bytes(nudge, 9, 9)))
                .isInstanceOf(MalformedMessageException.class)
                .hasMessageContaining("needs schema 9");
        assertThat(HallMessages.saying(HallMessages.bytes(nudge, 0, 0))).as("an older one").isEqualTo(nudge);
    }

    @Test
    void moreThanAMessageMayBearIsRefused() {
        List<MemberStatus> many = new ArrayList<>();
        for (int i = 0; i <= Membership.MAX_UPDATES_PER_MESSAGE; i++) {
            many.add(STANDING);
        }
        assertThatThrownBy(() -> HallMessages.saying(HallMessages.bytes(
                new ClusterMessage.MembershipGossip(new Gossip.Ping(1, many)))))
                        .isInstanceOf(MalformedMessageException.class);
        assertThatThrownBy(() -> HallMessages.saying(HallMessages.bytes(new ClusterMessage.LeasePollResponse(
                new LeaseResponse(1, List.of(new LeaseResponse.Grant("probe", 1, -2, false)), 1)))))
                        .isInstanceOf(MalformedMessageException.class);
        assertThatThrownBy(() -> HallMessages.saying(HallMessages.bytes(new ClusterMessage.LeasePollResponse(
                new LeaseResponse(1, List.of(), Double.NaN))))).isInstanceOf(MalformedMessageException.class);
    }

    @Test
    void noiseIsRefusedOrReadAndNeverAFault() {
        SplittableRandom chance = new SplittableRandom(20261201);
        List<ClusterMessage> all = all();
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
