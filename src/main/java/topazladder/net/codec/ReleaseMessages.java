package topazladder.net.codec;

import java.util.ArrayList;
import java.util.List;
import topazladder.disruption.DisruptionController.Health;
import topazladder.disruption.LoadReport;
import topazladder.hall.proto.PlaceMessage;
import topazladder.hall.proto.PlanMessage;
import topazladder.hall.proto.ReleaseMessage;
import topazladder.hall.proto.ReleaseOpMessage;
import topazladder.hall.proto.ReleaseOpMessage.Kind;
import topazladder.hall.proto.ServingMessage;
import topazladder.hall.proto.SightMessage;
import topazladder.rollout.CanaryAnalysis;
import topazladder.rollout.Rollout;
import topazladder.rollout.RolloutCommand;
import topazladder.rollout.RolloutCommand.Proposer;
import topazladder.rollout.RolloutPlan;
import topazladder.rollout.RolloutStatus;
import topazladder.rollout.RolloutTarget;

/** What the group agrees on about releases, and what a conductor is shown, as messages and back. */
final class ReleaseMessages {
    private static final int MOST_PLACES = 4096;
    private static final int MOST_WAVES = 64;

    private ReleaseMessages() {}

    // ---- plans

    private static PlanMessage plan(RolloutPlan p) {
        PlanMessage.Builder b = PlanMessage.newBuilder().setName(p.name()).setFrom(p.from()).setTo(p.to())
                .setPayoff(p.thresholds().maxServedShareDrop()).setBrokenOff(p.thresholds().maxFailedShareRise())
                .setMemory(p.thresholds().maxMemoryRatio())
                .setError(p.thresholds().errorProbability()).setPatience(p.returnTimeoutSeconds())
                .setTries(p.maxAttempts()).setMostOut(p.maxOtherDisruptions())
                .setOneWay(p.oneWay());
        p.waves().forEach(
                w -> b.addWaves(PlanMessage.WaveMessage.newBuilder().setZone(w.zone()).setMost(w.maxInstances())
                        .setShare(w.share()).setSoak(w.soakSeconds())));
        return b.build();
    }

    private static RolloutPlan plan(PlanMessage m) throws MalformedMessageException {
        if (m.getWavesCount() > MOST_WAVES) {
            throw new MalformedMessageException("a plan of " + m.getWavesCount() + " waves");
        }
        return new RolloutPlan(m.getName(), m.getFrom(), m.getTo(),
                m.getWavesList().stream().map(w -> new RolloutPlan.Wave(
                        w.getZone(), w.getMost(), w.getShare(), w.getSoak())).toList(),
                new CanaryAnalysis.Thresholds(m.getPayoff(),
                        m.getBrokenOff(), m.getMemory(), m.getError()),
                m.getPatience(), m.getTries(), m.getMostOut(),
                m.getOneWay());
    }

    private static PlaceMessage place(RolloutTarget p) {
        return PlaceMessage.newBuilder().setName(p.name()).setZone(p.zone()).setVotes(p.isVoter()).setWave(p.wave())
                .setStage(p.stage().ordinal()).setAttempt(p.attempt()).build();
    }

    private static List<RolloutTarget> places(List<PlaceMessage> all) throws MalformedMessageException {
        if (all.size() > MOST_PLACES) {
            throw new MalformedMessageException("a release of " + all.size() + " places");
        }
        List<RolloutTarget> places = new ArrayList<>();
        for (PlaceMessage m : all) {
            places.add(new RolloutTarget(IdentityMessages.name(m.getName()), m.getZone(), m.getVotes(), m.getWave(),
                    OutMessages.one(RolloutTarget.Stage.values(), m.getStage()), m.getAttempt()));
        }
        return List.copyOf(places);
    }

    // ---- releases

    static ReleaseMessage release(Rollout r) {
        ReleaseMessage.Builder b = ReleaseMessage.newBuilder().setId(r.id()).setPlan(plan(r.plan()))
                .setBack(r.isRollback())
                .setPhase(r.phase().ordinal()).setWhy(r.haltReason()).setWave(r.wave()).setStarted(r.generation())
                .addAllPlaces(r.targets().stream().map(ReleaseMessages::place).toList());
        r.history().forEach(e -> b.addEvents(ReleaseMessage.EventMessage.newBuilder().setAtMillis(e.atMillis())
                .setWhat(e.description())));
        return b.build();
    }

    static Rollout release(ReleaseMessage m) throws MalformedMessageException {
        return new Rollout(m.getId(), plan(m.getPlan()), m.getBack(), OutMessages.one(Rollout.Phase.values(),
                m.getPhase()), m.getWhy(), m.getWave(), m.getStarted(), places(m.getPlacesList()),
                m.getEventsList().stream().map(e -> new Rollout.Event(e.getAtMillis(), e.getWhat())).toList());
    }

    static ReleaseOpMessage op(RolloutCommand op) {
        ReleaseOpMessage.Builder b =
                ReleaseOpMessage.newBuilder().setDuty(op.proposer().leaseName()).setToken(op.proposer().fencingToken())
                        .setAtMillis(op.proposer().atMillis());
        if (op instanceof RolloutCommand.Start s) {
            b.setKind(Kind.START).setPlan(plan(s.plan())).addAllPlaces(s.targets().stream().map(ReleaseMessages::place)
                    .toList());
        } else if (op instanceof RolloutCommand.RequestGrant a) {
            step(b, Kind.ASK, a.rolloutId(), a.generation()).setPlace(a.instance()).setNumber(a.attempt());
        } else if (op instanceof RolloutCommand.RecordFailedUpdate m) {
            step(b, Kind.MISSED, m.rolloutId(), m.generation()).setPlace(m.instance());
        } else if (op instanceof RolloutCommand.RecordUpdate m) {
            step(b, Kind.MOVED, m.rolloutId(), m.generation()).setPlace(m.instance());
        } else if (op instanceof RolloutCommand.StartWave n) {
            step(b, Kind.NEXT, n.rolloutId(), n.generation()).setNumber(n.wave());
        } else if (op instanceof RolloutCommand.AddTarget a) {
            step(b, Kind.ADD_PLACE, a.rolloutId(), a.generation()).setPlace(a.instance()).setZone(a.zone())
                    .setVotes(a.isVoter());
        } else if (op instanceof RolloutCommand.Complete d) {
            step(b, Kind.DONE, d.rolloutId(), d.generation());
        } else if (op instanceof RolloutCommand.Halt h) {
            step(b, Kind.HALT, h.rolloutId(), 0).setWhy(h.reason());
        } else if (op instanceof RolloutCommand.Resume r) {
            step(b, Kind.RESUME, r.rolloutId(), 0);
        } else if (op instanceof RolloutCommand.RollBack k) {
            step(b, Kind.BACK, k.rolloutId(), 0);
        }
        return b.build();
    }

    private static ReleaseOpMessage.Builder step(ReleaseOpMessage.Builder b, Kind kind, long id, int started) {
        return b.setKind(kind).setId(id).setStarted(started);
    }

    static RolloutCommand op(ReleaseOpMessage m) throws MalformedMessageException {
        Proposer by = new Proposer(m.getDuty(), m.getToken(), m.getAtMillis());
        long id = m.getId();
        int started = m.getStarted();
        return switch (m.getKind()) {
            case START -> new RolloutCommand.Start(by, plan(m.getPlan()), places(m.getPlacesList()));
            case ASK -> new RolloutCommand.RequestGrant(by, id, started, m.getPlace(), m.getNumber());
            case MISSED -> new RolloutCommand.RecordFailedUpdate(by, id, started, m.getPlace());
            case MOVED -> new RolloutCommand.RecordUpdate(by, id, started, m.getPlace());
            case NEXT -> new RolloutCommand.StartWave(by, id, started, m.getNumber());
            case ADD_PLACE -> new RolloutCommand.AddTarget(by, id, started, IdentityMessages.name(m.getPlace()),
                    m.getZone(),
                    m.getVotes());
            case DONE -> new RolloutCommand.Complete(by, id, started);
            case HALT -> new RolloutCommand.Halt(by, id, m.getWhy());
            case RESUME -> new RolloutCommand.Resume(by, id);
            case BACK -> new RolloutCommand.RollBack(by, id);
            case UNKNOWN, UNRECOGNIZED -> throw new MalformedMessageException(
                    "a step of a release that this version does not know");
        };
    }

    // ---- what is said

    static ServingMessage serving(LoadReport s) {
        return ServingMessage.newBuilder().setVersion(s.version()).setSpan(s.spanSeconds())
                .setAsked(s.offeredPerSecond())
                .setHonoured(s.servedPerSecond()).setBrokenOff(s.failedPerSecond()).setCapacity(s.capacityPerSecond())
                .setMegabytes(s.memoryMegabytes()).build();
    }

    static LoadReport serving(ServingMessage m) {
        return new LoadReport(m.getVersion(), sane(m.getSpan()), sane(m.getAsked()), sane(m.getHonoured()),
                sane(m.getBrokenOff()), sane(m.getCapacity()), sane(m.getMegabytes()));
    }

    /** What one instance says of itself must not spoil a mean of all. */
    private static double sane(double value) {
        return value >= 0 && value < 1e12 ? value : 0;
    }

    static List<RolloutCommand> ops(List<ReleaseOpMessage> all) throws MalformedMessageException {
        List<RolloutCommand> ops = new ArrayList<>();
        for (ReleaseOpMessage m : all) {
            ops.add(op(m));
        }
        return List.copyOf(ops);
    }

    static SightMessage sight(RolloutStatus.InstanceStatus s) {
        SightMessage.Builder b = SightMessage.newBuilder().setName(s.name()).setZone(s.zone())
                .setLook(s.health().ordinal()).setLife(s.incarnation())
                .setWaits(s.blockedReason() == null ? "" : s.blockedReason());
        if (s.disruption() != null) {
            b.setOut(OutMessages.out(s.disruption()));
        }
        if (s.load() != null) {
            b.setServing(serving(s.load()));
        }
        return b.build();
    }

    static List<RolloutStatus.InstanceStatus> sights(List<SightMessage> all) throws MalformedMessageException {
        List<RolloutStatus.InstanceStatus> sights = new ArrayList<>();
        for (SightMessage m : all) {
            sights.add(new RolloutStatus.InstanceStatus(IdentityMessages.name(m.getName()), m.getZone(),
                    OutMessages.one(Health.values(), m.getLook()), m.getLife(),
                    m.hasOut() ? OutMessages.out(m.getOut()) : null, m.getWaits().isEmpty() ? null : m.getWaits(),
                    m.hasServing() ? serving(m.getServing()) : null));
        }
        return List.copyOf(sights);
    }
}
