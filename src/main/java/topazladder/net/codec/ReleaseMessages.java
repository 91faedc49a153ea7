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
import topazladder.release.Judge;
import topazladder.release.Place;
import topazladder.release.Plan;
import topazladder.release.Release;
import topazladder.release.ReleaseOp;
import topazladder.release.ReleaseOp.By;
import topazladder.release.View;

/** What the group agrees on about releases, and what a conductor is shown, as messages and back. */
final class ReleaseMessages {
    private static final int MOST_PLACES = 4096;
    private static final int MOST_WAVES = 64;

    private ReleaseMessages() {}

    // ---- plans

    private static PlanMessage plan(Plan p) {
        PlanMessage.Builder b = PlanMessage.newBuilder().setName(p.name()).setFrom(p.from()).setTo(p.to())
                .setPayoff(p.judge().payoff()).setBrokenOff(p.judge().failed()).setMemory(p.judge().memory())
                .setError(p.judge().error()).setPatience(p.patience()).setTries(p.tries()).setMostOut(p.mostOut())
                .setOneWay(p.oneWay());
        p.waves().forEach(w -> b.addWaves(PlanMessage.WaveMessage.newBuilder().setZone(w.zone()).setMost(w.most())
                .setShare(w.share()).setSoak(w.soak())));
        return b.build();
    }

    private static Plan plan(PlanMessage m) throws MalformedMessageException {
        if (m.getWavesCount() > MOST_WAVES) {
            throw new MalformedMessageException("a plan of " + m.getWavesCount() + " waves");
        }
        return new Plan(m.getName(), m.getFrom(), m.getTo(), m.getWavesList().stream().map(w -> new Plan.Wave(
                w.getZone(), w.getMost(), w.getShare(), w.getSoak())).toList(), new Judge.Terms(m.getPayoff(),
                        m.getBrokenOff(), m.getMemory(), m.getError()),
                m.getPatience(), m.getTries(), m.getMostOut(),
                m.getOneWay());
    }

    private static PlaceMessage place(Place p) {
        return PlaceMessage.newBuilder().setName(p.name()).setZone(p.zone()).setVotes(p.votes()).setWave(p.wave())
                .setStage(p.stage().ordinal()).setAttempt(p.attempt()).build();
    }

    private static List<Place> places(List<PlaceMessage> all) throws MalformedMessageException {
        if (all.size() > MOST_PLACES) {
            throw new MalformedMessageException("a release of " + all.size() + " places");
        }
        List<Place> places = new ArrayList<>();
        for (PlaceMessage m : all) {
            places.add(new Place(IdentityMessages.name(m.getName()), m.getZone(), m.getVotes(), m.getWave(),
                    OutMessages.one(Place.Stage.values(), m.getStage()), m.getAttempt()));
        }
        return List.copyOf(places);
    }

    // ---- releases

    static ReleaseMessage release(Release r) {
        ReleaseMessage.Builder b = ReleaseMessage.newBuilder().setId(r.id()).setPlan(plan(r.plan())).setBack(r.back())
                .setPhase(r.phase().ordinal()).setWhy(r.why()).setWave(r.wave()).setStarted(r.started())
                .addAllPlaces(r.places().stream().map(ReleaseMessages::place).toList());
        r.history().forEach(e -> b.addEvents(ReleaseMessage.EventMessage.newBuilder().setAtMillis(e.atMillis())
                .setWhat(e.what())));
        return b.build();
    }

    static Release release(ReleaseMessage m) throws MalformedMessageException {
        return new Release(m.getId(), plan(m.getPlan()), m.getBack(), OutMessages.one(Release.Phase.values(),
                m.getPhase()), m.getWhy(), m.getWave(), m.getStarted(), places(m.getPlacesList()),
                m.getEventsList().stream().map(e -> new Release.Event(e.getAtMillis(), e.getWhat())).toList());
    }

    static ReleaseOpMessage op(ReleaseOp op) {
        ReleaseOpMessage.Builder b = ReleaseOpMessage.newBuilder().setDuty(op.by().duty()).setToken(op.by().token())
                .setAtMillis(op.by().atMillis());
        if (op instanceof ReleaseOp.Start s) {
            b.setKind(Kind.START).setPlan(plan(s.plan())).addAllPlaces(s.places().stream().map(ReleaseMessages::place)
                    .toList());
        } else if (op instanceof ReleaseOp.Ask a) {
            step(b, Kind.ASK, a.id(), a.started()).setPlace(a.place()).setNumber(a.attempt());
        } else if (op instanceof ReleaseOp.Missed m) {
            step(b, Kind.MISSED, m.id(), m.started()).setPlace(m.place());
        } else if (op instanceof ReleaseOp.Moved m) {
            step(b, Kind.MOVED, m.id(), m.started()).setPlace(m.place());
        } else if (op instanceof ReleaseOp.Next n) {
            step(b, Kind.NEXT, n.id(), n.started()).setNumber(n.wave());
        } else if (op instanceof ReleaseOp.AddPlace a) {
            step(b, Kind.ADD_PLACE, a.id(), a.started()).setPlace(a.place()).setZone(a.zone()).setVotes(a.votes());
        } else if (op instanceof ReleaseOp.Done d) {
            step(b, Kind.DONE, d.id(), d.started());
        } else if (op instanceof ReleaseOp.Halt h) {
            step(b, Kind.HALT, h.id(), 0).setWhy(h.why());
        } else if (op instanceof ReleaseOp.Resume r) {
            step(b, Kind.RESUME, r.id(), 0);
        } else if (op instanceof ReleaseOp.Back k) {
            step(b, Kind.BACK, k.id(), 0);
        }
        return b.build();
    }

    private static ReleaseOpMessage.Builder step(ReleaseOpMessage.Builder b, Kind kind, long id, int started) {
        return b.setKind(kind).setId(id).setStarted(started);
    }

    static ReleaseOp op(ReleaseOpMessage m) throws MalformedMessageException {
        By by = new By(m.getDuty(), m.getToken(), m.getAtMillis());
        long id = m.getId();
        int started = m.getStarted();
        return switch (m.getKind()) {
            case START -> new ReleaseOp.Start(by, plan(m.getPlan()), places(m.getPlacesList()));
            case ASK -> new ReleaseOp.Ask(by, id, started, m.getPlace(), m.getNumber());
            case MISSED -> new ReleaseOp.Missed(by, id, started, m.getPlace());
            case MOVED -> new ReleaseOp.Moved(by, id, started, m.getPlace());
            case NEXT -> new ReleaseOp.Next(by, id, started, m.getNumber());
            case ADD_PLACE -> new ReleaseOp.AddPlace(by, id, started, IdentityMessages.name(m.getPlace()), m.getZone(),
                    m.getVotes());
            case DONE -> new ReleaseOp.Done(by, id, started);
            case HALT -> new ReleaseOp.Halt(by, id, m.getWhy());
            case RESUME -> new ReleaseOp.Resume(by, id);
            case BACK -> new ReleaseOp.Back(by, id);
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

    static List<ReleaseOp> ops(List<ReleaseOpMessage> all) throws MalformedMessageException {
        List<ReleaseOp> ops = new ArrayList<>();
        for (ReleaseOpMessage m : all) {
            ops.add(op(m));
        }
        return List.copyOf(ops);
    }

    static SightMessage sight(View.Sight s) {
        SightMessage.Builder b = SightMessage.newBuilder().setName(s.name()).setZone(s.zone())
                .setLook(s.look().ordinal()).setLife(s.life()).setWaits(s.waits() == null ? "" : s.waits());
        if (s.out() != null) {
            b.setOut(OutMessages.out(s.out()));
        }
        if (s.serving() != null) {
            b.setServing(serving(s.serving()));
        }
        return b.build();
    }

    static List<View.Sight> sights(List<SightMessage> all) throws MalformedMessageException {
        List<View.Sight> sights = new ArrayList<>();
        for (SightMessage m : all) {
            sights.add(new View.Sight(IdentityMessages.name(m.getName()), m.getZone(),
                    OutMessages.one(Health.values(), m.getLook()), m.getLife(),
                    m.hasOut() ? OutMessages.out(m.getOut()) : null, m.getWaits().isEmpty() ? null : m.getWaits(),
                    m.hasServing() ? serving(m.getServing()) : null));
        }
        return List.copyOf(sights);
    }
}
