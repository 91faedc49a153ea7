package topazladder.net.codec;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import topazladder.cluster.ClusterMessage;
import topazladder.consensus.VoterEndpoint;
import topazladder.hall.proto.AnswerMessage;
import topazladder.hall.proto.AskMessage;
import topazladder.hall.proto.ConductMessage;
import topazladder.hall.proto.ConductedMessage;
import topazladder.hall.proto.FoundMessage;
import topazladder.hall.proto.GoMessage;
import topazladder.hall.proto.GoingMessage;
import topazladder.hall.proto.GossipMessage;
import topazladder.hall.proto.HallMessage;
import topazladder.hall.proto.HeldMessage;
import topazladder.hall.proto.LeaseMessage;
import topazladder.hall.proto.Nothing;
import topazladder.hall.proto.OrderMessage;
import topazladder.hall.proto.StandingMessage;
import topazladder.hall.proto.TakenInMessage;
import topazladder.hall.proto.ToldMessage;
import topazladder.hall.proto.VoterId;
import topazladder.lease.LeaseRequest;
import topazladder.lease.LeaseResponse;
import topazladder.membership.Gossip;
import topazladder.membership.MemberStatus;
import topazladder.membership.Membership;
import topazladder.rollout.RolloutStatus;

/**
 * What members of a hall say to each other, as bytes and back; what comes is bounded and checked before it is a value.
 */
public final class HallMessages {
    /** Of this version; raised when a message changes so that an older reader should know. */
    public static final int SCHEMA = 4;
    /** Written into each message: who has an older schema than this can't read it. */
    private static final int READABLE_FROM = 1;
    private static final int MOST_DUTIES = 4096;

    private HallMessages() {}

    public static byte[] bytes(ClusterMessage what) {
        return bytes(what, SCHEMA, READABLE_FROM);
    }

    /** As a version of another schema would write it; for tests of mixed halls. */
    static byte[] bytes(ClusterMessage what, int schema, int readableFrom) {
        HallMessage.Builder b = HallMessage.newBuilder().setSchema(schema).setReadableFrom(readableFrom);
        if (what instanceof ClusterMessage.MembershipGossip m) {
            b.setGossip(gossip(m.gossip()));
        } else if (what instanceof ClusterMessage.Consensus c) {
            b.setConsensus(RaftMessages.message(c.message()));
        } else if (what instanceof ClusterMessage.LeasePoll a) {
            b.setAsk(ask(a.request()).setAddress(a.address()).setServing(ReleaseMessages.serving(a.loadReport()))
                    .addAllBelow(a.dependencyReports().stream().map(BelowMessages::report).toList()));
        } else if (what instanceof ClusterMessage.LeasePollResponse a) {
            AnswerMessage.Builder answer = AnswerMessage.newBuilder().setNumber(a.response().sequence())
                    .setAskAgainIn(a.response().pollAfterSeconds());
            a.response().grants().forEach(g -> answer.addLeases(LeaseMessage.newBuilder().setDuty(g.leaseName())
                    .setToken(g.fencingToken()).setLease(g.durationSeconds()).setStop(g.stopRequested())));
            b.setAnswer(answer);
        } else if (what instanceof ClusterMessage.LeaderHint l) {
            b.setLeaderIs(l.name()).setLeaderAt(l.address());
        } else if (what instanceof ClusterMessage.WakeUp) {
            b.setNudge(Nothing.getDefaultInstance());
        } else if (what instanceof ClusterMessage.JoinRequest v) {
            b.setAsksToVote(voter(v.endpoint()));
        } else if (what instanceof ClusterMessage.JoinConfirmation t) {
            b.setTakenIn(TakenInMessage.newBuilder().setWho(voter(t.endpoint()))
                    .addAllFirst(t.voters().stream().map(HallMessages::voter).toList()).setFormed(t.groupGeneration()));
        } else if (what instanceof ClusterMessage.CommandRequest o) {
            b.setOrder(OrderMessage.newBuilder().setNumber(o.requestId()).setKind(o.command().kind().ordinal())
                    .setDuty(o.command().leaseName()).setText(o.command().text()));
        } else if (what instanceof ClusterMessage.CommandResponse t) {
            b.setTold(ToldMessage.newBuilder().setNumber(t.requestId()).setDone(t.done()).setText(t.text()));
        } else if (what instanceof ClusterMessage.ShutdownPermission m) {
            b.setMayGo(m.token());
        } else if (what instanceof ClusterMessage.ShutdownRequest g) {
            b.setGoing(GoingMessage.newBuilder().setFrom(IdentityMessages.member(g.from())).setToken(g.token()));
        } else if (what instanceof ClusterMessage.ShutdownApproval g) {
            // As before where there is no version, so that an older one goes too.
            if (g.version().isEmpty()) {
                b.setGo(g.token());
            } else {
                b.setGoFor(GoMessage.newBuilder().setToken(g.token()).setVersion(g.version()));
            }
        } else if (what instanceof ClusterMessage.RolloutProposal c) {
            b.setConduct(ConductMessage.newBuilder().setFrom(IdentityMessages.member(c.from())).setNumber(c.sequence())
                    .addAllOps(c.operations().stream().map(ReleaseMessages::op).toList()).setDoing(c.activity()));
        } else if (what instanceof ClusterMessage.RolloutState c) {
            ConductedMessage.Builder view = ConductedMessage.newBuilder().setNumber(c.sequence())
                    .setLeader(c.view().leader()).setTakesAdditions(c.view().supportsAdditions())
                    .addAllMembers(c.view().members().stream().map(ReleaseMessages::sight).toList());
            if (c.view().rollout() != null) {
                view.setRelease(ReleaseMessages.release(c.view().rollout()));
            }
            b.setConducted(view);
        } else if (what instanceof ClusterMessage.DependencyDecisions w) {
            b.setBelows(BelowMessages.belows(w));
        } else if (what instanceof ClusterMessage.LeaveNotice l) {
            b.setLeaving(GoingMessage.newBuilder().setFrom(IdentityMessages.member(l.from())).setBy(l.by()));
        } else if (what instanceof ClusterMessage.ProbeResult f) {
            b.setFound(FoundMessage.newBuilder().setSubject(f.target()).setWell(f.reachable()).setAge(f.ageSeconds())
                    .setToken(f.fencingToken()));
        }
        return b.build().toByteArray();
    }

    /** Null for one of a newer version that this one needs not understand. */
    public static ClusterMessage saying(byte[] bytes) throws MalformedMessageException {
        HallMessage m;
        try {
            m = HallMessage.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw new MalformedMessageException("no message between members of a hall");
        }
        if (m.getReadableFrom() > SCHEMA) {
            throw new MalformedMessageException(
                    "a message that needs schema " + m.getReadableFrom() + ", this is " + SCHEMA);
        }
        return switch (m.getWhatCase()) {
            case GOSSIP -> new ClusterMessage.MembershipGossip(gossip(m.getGossip()));
            case CONSENSUS -> new ClusterMessage.Consensus(RaftMessages.message(m.getConsensus()));
            case ASK -> new ClusterMessage.LeasePoll(ask(m.getAsk()), m.getAsk().getAddress(), m.getSchema(),
                    ReleaseMessages.serving(m.getAsk().getServing()),
                    BelowMessages.reports(m.getAsk().getBelowList()));
            case BELOWS -> BelowMessages.belows(m.getBelows());
            case ANSWER -> new ClusterMessage.LeasePollResponse(answer(m.getAnswer()));
            case LEADER_IS -> new ClusterMessage.LeaderHint(m.getLeaderIs(), m.getLeaderAt());
            case NUDGE -> new ClusterMessage.WakeUp();
            case ASKS_TO_VOTE -> new ClusterMessage.JoinRequest(voter(m.getAsksToVote()));
            case TAKEN_IN -> takenIn(m.getTakenIn());
            case ORDER -> {
                ClusterMessage.Command.Kind[] kinds = ClusterMessage.Command.Kind.values();
                if (m.getOrder().getKind() < 0 || m.getOrder().getKind() >= kinds.length) {
                    throw new MalformedMessageException("a command that this version does not know");
                }
                yield new ClusterMessage.CommandRequest(m.getOrder().getNumber(),
                        new ClusterMessage.Command(kinds[m.getOrder().getKind()],
                                m.getOrder().getDuty(), m.getOrder().getText()));
            }
            case TOLD -> new ClusterMessage.CommandResponse(m.getTold().getNumber(), m.getTold().getDone(),
                    m.getTold().getText());
            case FOUND -> {
                double age = m.getFound().getAge();
                if (!(age >= 0)) {
                    throw new MalformedMessageException("an age of " + age);
                }
                yield new ClusterMessage.ProbeResult(m.getFound().getSubject(), m.getFound().getWell(), age,
                        m.getFound().getToken());
            }
            case MAY_GO -> new ClusterMessage.ShutdownPermission(m.getMayGo());
            case GOING -> new ClusterMessage.ShutdownRequest(IdentityMessages.member(m.getGoing().getFrom()),
                    m.getGoing().getToken());
            case GO -> new ClusterMessage.ShutdownApproval(m.getGo(), "");
            case GO_FOR -> new ClusterMessage.ShutdownApproval(m.getGoFor().getToken(), m.getGoFor().getVersion());
            case CONDUCT -> new ClusterMessage.RolloutProposal(IdentityMessages.member(m.getConduct().getFrom()),
                    m.getConduct().getNumber(), ReleaseMessages.ops(m.getConduct().getOpsList()),
                    m.getConduct().getDoing());
            case CONDUCTED -> new ClusterMessage.RolloutState(m.getConducted().getNumber(), new RolloutStatus(
                    m.getConducted().hasRelease() ? ReleaseMessages.release(m.getConducted().getRelease()) : null,
                    ReleaseMessages.sights(m.getConducted().getMembersList()), m.getConducted().getLeader(),
                    m.getConducted().getTakesAdditions()));
            case LEAVING -> new ClusterMessage.LeaveNotice(IdentityMessages.member(m.getLeaving().getFrom()),
                    m.getLeaving().getBy());
            case WHAT_NOT_SET -> null;
        };
    }

    private static ClusterMessage.JoinConfirmation takenIn(TakenInMessage m) throws MalformedMessageException {
        List<VoterEndpoint> first = new ArrayList<>();
        for (VoterId v : m.getFirstList()) {
            first.add(voter(v));
        }
        return new ClusterMessage.JoinConfirmation(voter(m.getWho()), List.copyOf(first), m.getFormed());
    }

    private static VoterId voter(VoterEndpoint e) {
        return VoterId.newBuilder().setName(e.name()).setBirth(e.folderId()).build();
    }

    private static VoterEndpoint voter(VoterId v) throws MalformedMessageException {
        return new VoterEndpoint(IdentityMessages.name(v.getName()), v.getBirth());
    }

    // ---- duties

    private static AskMessage.Builder ask(LeaseRequest a) {
        AskMessage.Builder b = AskMessage.newBuilder().setFrom(IdentityMessages.member(a.member()))
                .setNumber(a.sequence()).setSteady(a.eligible());
        a.held().forEach(h -> b.addHeld(HeldMessage.newBuilder().setDuty(h.leaseName()).setToken(h.fencingToken())));
        a.stopped().forEach(s -> {
            HeldMessage.Builder held = HeldMessage.newBuilder().setDuty(s.leaseName()).setToken(s.fencingToken());
            b.addStopped(s.failure() == null ? held : held.setFailed(s.failure().isEmpty() ? "failed" : s.failure()));
        });
        return b;
    }

    private static LeaseRequest ask(AskMessage m) throws MalformedMessageException {
        if (m.getHeldCount() > MOST_DUTIES || m.getStoppedCount() > MOST_DUTIES) {
            throw new MalformedMessageException(
                    "an ask about " + m.getHeldCount() + " and " + m.getStoppedCount() + " duties");
        }
        return new LeaseRequest(IdentityMessages.member(m.getFrom()), m.getNumber(), m.getSteady(),
                m.getHeldList().stream().map(h -> new LeaseRequest.Held(h.getDuty(), h.getToken())).toList(),
                m.getStoppedList().stream().map(h -> new LeaseRequest.Stopped(h.getDuty(), h.getToken(),
                        h.getFailed().isEmpty() ? null : h.getFailed())).toList());
    }

    private static LeaseResponse answer(AnswerMessage m) throws MalformedMessageException {
        if (m.getLeasesCount() > MOST_DUTIES || !(m.getAskAgainIn() > 0)) {
            throw new MalformedMessageException("an answer about " + m.getLeasesCount() + " duties");
        }
        List<LeaseResponse.Grant> grants = new ArrayList<>();
        for (LeaseMessage l : m.getLeasesList()) {
            if (!(l.getLease() > 0)) {
                throw new MalformedMessageException("a lease of " + l.getLease() + " s");
            }
            grants.add(
                    new LeaseResponse.Grant(IdentityMessages.name(l.getDuty()), l.getToken(), l.getLease(),
                            l.getStop()));
        }
        return new LeaseResponse(m.getNumber(), List.copyOf(grants), m.getAskAgainIn());
    }

    // ---- membership

    private static GossipMessage gossip(Gossip g) {
        GossipMessage.Builder b = GossipMessage.newBuilder();
        if (g instanceof Gossip.Ping p) {
            b.setKind(GossipMessage.Kind.PING).setNumber(p.sequenceNumber());
        } else if (g instanceof Gossip.PingRequest p) {
            b.setKind(GossipMessage.Kind.PING_FOR).setNumber(p.sequenceNumber()).setWhom(p.target());
        } else if (g instanceof Gossip.Ack a) {
            b.setKind(GossipMessage.Kind.ACK).setNumber(a.sequenceNumber());
        } else if (g instanceof Gossip.Nack n) {
            b.setKind(GossipMessage.Kind.NACK).setNumber(n.sequenceNumber());
        } else if (g instanceof Gossip.Sync s) {
            b.setKind(GossipMessage.Kind.SYNC).setBack(s.replyRequested());
        }
        g.updates().forEach(s -> b.addNews(StandingMessage.newBuilder().setName(s.name()).setAddress(s.address())
                .setHall(s.zone()).setLife(s.processIncarnation()).setIncarnation(s.incarnation())
                .setState(s.state().ordinal())
                .setSteady(s.steady()).setBy(s.suspectedBy())));
        return b.build();
    }

    private static Gossip gossip(GossipMessage m) throws MalformedMessageException {
        if (m.getNewsCount() > Membership.MAX_UPDATES_PER_MESSAGE) {
            throw new MalformedMessageException(m.getNewsCount() + " standings in one message");
        }
        List<MemberStatus> news = new ArrayList<>();
        for (StandingMessage s : m.getNewsList()) {
            if (s.getState() < 0 || s.getState() >= MemberStatus.State.values().length) {
                continue; // a state of a newer version says nothing here
            }
            news.add(new MemberStatus(IdentityMessages.name(s.getName()), s.getAddress(), s.getHall(), s.getLife(),
                    s.getIncarnation(), MemberStatus.State.values()[s.getState()], s.getSteady(), s.getBy()));
        }
        List<MemberStatus> all = List.copyOf(news);
        return switch (m.getKind()) {
            case PING -> new Gossip.Ping(m.getNumber(), all);
            case PING_FOR -> new Gossip.PingRequest(m.getNumber(), m.getWhom(), all);
            case ACK -> new Gossip.Ack(m.getNumber(), all);
            case NACK -> new Gossip.Nack(m.getNumber(), all);
            case SYNC -> new Gossip.Sync(m.getBack(), all);
            case UNRECOGNIZED -> throw new MalformedMessageException(
                    "a kind of gossip that this version does not know");
        };
    }
}
