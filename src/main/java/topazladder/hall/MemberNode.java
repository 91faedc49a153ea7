package topazladder.hall;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.DoubleSupplier;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazladder.below.Use;
import topazladder.disruption.DisruptionController;
import topazladder.disruption.DisruptionTarget;
import topazladder.disruption.LoadReport;
import topazladder.lease.LeaseHolder;
import topazladder.lease.MemberIdentity;
import topazladder.membership.Membership;
import topazladder.membership.Standing;
import topazladder.service.Timers;

/**
 * A member of a hall without I/O: who is there, and what it holds. It never asks the group anything on a request's
 * path. All calls come on one thread.
 */
public final class MemberNode {
    private static final Logger LOG = LoggerFactory.getLogger(MemberNode.class);
    /** A member counts as steady only this long after it began to serve as it should. */
    private static final double STEADY_AFTER = 1;
    /** Unwell past this, it is not steady: it would be the first to be suspected. */
    private static final int MOST_UNWELL = 3;
    /** Seconds between two hints of who leads that are followed at once. */
    private static final double HINTS_APART = 0.2;

    private static final double LEAVING_EVERY = 0.3;

    /** What it needs of the world. */
    public interface World {

        /**
         * To another member, which may not get it.
         *
         * @param to its name, or empty where only its address is known
         * @param address where it was last known to listen, or null
         */
        void say(String to, String address, Saying what);

        /** Begin a duty; {@link MemberNode#token} tells before each effect whether it may be made. */
        void start(String duty, long token);

        /** Stop it within so many seconds, and say {@link MemberNode#stopped}. */
        void stop(String duty, long token, double within);

        /**
         * The hall has agreed that this instance goes out: it drains and ends, by its own status, to be started again
         * as
         * that version; empty for as it is.
         */
        default void drain(long token, String version) {}

        /** What a conductor is shown. */
        default void conducted(Saying.Conducted what) {}

        /** Somebody came, went or changed. */
        default void changed(Standing now, Standing before) {}
    }

    private final HallTerms terms;
    private final Timers timers;
    private final DoubleSupplier clock;
    private final World world;
    private final Membership membership;
    private final LeaseHolder holder;
    private final Guide guide;
    private double lastHint = Double.NEGATIVE_INFINITY;
    private Saying.LeaderIs toldOf;
    private int asked;
    private boolean leaving;
    private boolean agreed;
    private boolean wellSaid;
    private double wellSince;
    private boolean over;
    private long wake;
    private LoadReport serving = LoadReport.NOTHING;
    private double answeredAt = Double.NEGATIVE_INFINITY;
    private Use below; // null where this instance calls no servers below, or only one
    private double lastNews = Double.NEGATIVE_INFINITY;

    /** @param holder made for the same member; handed in so that trials can plant one that errs */
    public MemberNode(HallTerms terms, LeaseHolder holder, Timers timers, DoubleSupplier clock, RandomGenerator chance,
            World world) {
        this.terms = terms;
        this.holder = holder;
        this.timers = timers;
        this.clock = clock;
        this.world = world;
        membership = new Membership(terms.membership(), new Standing(terms.name(), terms.address(), terms.hall(),
                holder.identity().incarnation(), 0, Standing.State.ALIVE, false, ""), chance);
        guide = new Guide(terms.voters(), chance.nextInt(Integer.MAX_VALUE));
    }

    public void open() {
        members(membership.join(clock.getAsDouble(), terms.seeds()));
        wake();
    }

    public MemberIdentity here() {
        return holder.identity();
    }

    public Membership membership() {
        return membership;
    }

    public LeaseHolder holder() {
        return holder;
    }

    /** Whether the instance serves as it should; what it holds is handed over if that lasts. */
    public void well(boolean is) {
        if (is != wellSaid) {
            wellSaid = is;
            wellSince = clock.getAsDouble();
        }
        look();
    }

    /** The token under which an effect may be made now; to be asked before each one. */
    public OptionalLong token(String duty) {
        return holder.fencingToken(clock.getAsDouble(), duty);
    }

    /** The duty has come to its end; {@code failed} says why it could not be done, or is null. */
    public void stopped(String duty, long token, String failed) {
        duties(holder.taskStopped(clock.getAsDouble(), duty, token, failed));
        wake();
    }

    /** The process will end: all duties are handed over in order, and the others are told. */
    public void leave() {
        leaving = true;
        sayLeaving();
        duties(holder.shutDown(clock.getAsDouble()));
        wake();
    }

    /** Best effort: where nobody hears it, its end is found out as that of one that is lost. */
    private void sayLeaving() {
        if (!agreed && !over && guide.whom() != null) {
            world.say(guide.whom(), addressOf(guide.whom()), new Saying.Leaving(here(), "a signal"));
            timers.in(LEAVING_EVERY, this::sayLeaving);
        }
    }

    /** Whether nothing is left to hand over. */
    public boolean clear() {
        return holder.isIdle() || terms.voters().isEmpty();
    }

    /** The last that is done: says good-bye, and does nothing any more. */
    public void close() {
        if (!over) {
            members(membership.leave(clock.getAsDouble()));
            over = true;
        }
    }

    /** Other voters by the settings, which were read anew; whether there is a group at all needs a restart. */
    public void replace(HallTerms next) {
        if (!next.voters().isEmpty() && !terms.voters().isEmpty()) {
            guide.replace(next.voters());
        }
    }

    /** What another member says, or this process's own voter. */
    public void heard(String from, Saying what) {
        if (over) {
            return;
        }
        double now = clock.getAsDouble();
        if (what instanceof Saying.Membership m) {
            members(membership.heard(now, from, m.gossip()));
        } else if (what instanceof Saying.Answering a) {
            guide.answeredBy(from);
            answeredAt = now;
            duties(holder.handleResponse(now, a.answer()));
        } else if (what instanceof Saying.LeaderIs l) {
            // Two that each believe in the other must not be asked in turn as fast as the link can.
            if (!l.address().isEmpty()) {
                toldOf = l;
            }
            if (guide.told(from, l.name()) && now - lastHint > HINTS_APART) {
                lastHint = now;
                duties(holder.wakeUp(now));
            }
        } else if (what instanceof Saying.MayGo m && !leaving && !agreed) {
            world.say(from, addressOf(from), new Saying.Going(here(), m.token()));
        } else if (what instanceof Saying.Go g && !leaving && !agreed) {
            LOG.info("{} goes out as agreed under {}", here(), g.token());
            agreed = true;
            world.drain(g.token(), g.version());
        } else if (what instanceof Saying.Conducted c) {
            guide.answeredBy(from);
            world.conducted(c);
        } else if (what instanceof Saying.Belows b) {
            if (below != null) {
                below.told(now, b.term(), b.words());
            }
        } else if (what instanceof Saying.Nudge) {
            guide.answeredBy(from);
            duties(holder.wakeUp(now));
        }
        wake();
    }

    private void look() {
        double now = clock.getAsDouble();
        boolean steady = wellSaid && now - wellSince >= STEADY_AFTER && membership.health() < MOST_UNWELL;
        membership.steady(steady);
        duties(holder.setEligible(now, steady && terms.mayHold() && !terms.voters().isEmpty()));
    }

    /** One timer at a time: the earliest of what is due. */
    private void wake() {
        if (over) {
            return;
        }
        double now = clock.getAsDouble();
        double in =
                Math.min(membership.next(now),
                        terms.voters().isEmpty() ? Double.MAX_VALUE : holder.secondsUntilTick(now));
        long mine = ++wake;
        timers.in(Math.min(in, STEADY_AFTER), () -> {
            if (mine == wake && !over) {
                members(membership.tick(clock.getAsDouble()));
                look();
                wake();
            }
        });
    }

    private void members(List<Membership.Step> steps) {
        for (Membership.Step step : steps) {
            if (step instanceof Membership.Step.Say s) {
                world.say(s.to(), s.address(), new Saying.Membership(s.what()));
            } else if (step instanceof Membership.Step.Changed c) {
                if (c.before() == null || c.before().state() != c.now().state() || c.before().life() != c.now()
                        .life()) {
                    LOG.info("{}: {} is {}", terms.name(), c.now().name(), c.now().state());
                }
                world.changed(c.now(), c.before());
            }
        }
    }

    private void duties(List<LeaseHolder.Step> steps) {
        if (terms.voters().isEmpty()) {
            return;
        }
        for (LeaseHolder.Step step : steps) {
            if (step instanceof LeaseHolder.Step.Send s) {
                if (s.otherVoter()) {
                    guide.another();
                }
                String whom = guide.whom();
                Saying ask = new Saying.Asking(s.request(), terms.address(), terms.schema(), serving,
                        below == null ? List.of() : below.reports(clock.getAsDouble()));
                if (addressOf(whom) == null && !terms.seeds().isEmpty()) {
                    // Its first words to the voters were lost, and a large hall tells of them late: whoever is found by
                    // the settings knows one.
                    world.say("", terms.seeds().get(asked++ % terms.seeds().size()), ask);
                } else {
                    world.say(whom, addressOf(whom), ask);
                }
            } else if (step instanceof LeaseHolder.Step.Start s) {
                LOG.info("{} takes {} under token {}", here(), s.leaseName(), s.fencingToken());
                world.start(s.leaseName(), s.fencingToken());
            } else if (step instanceof LeaseHolder.Step.Stop s) {
                LOG.info("{} stops {} under token {}: {}", here(), s.leaseName(), s.fencingToken(), s.reason());
                world.stop(s.leaseName(), s.fencingToken(), s.withinSeconds());
            }
        }
    }

    /** Who leads the group as far as this member was told; null where nobody answered yet. */
    public String leader() {
        return guide.leader();
    }

    /** What the instance did of late; goes with the next ask. */
    public void serving(LoadReport now) {
        serving = now;
    }

    /** How this instance uses the servers below; what it finds goes with each ask. */
    public void below(Use use) {
        below = use;
    }

    /** Calls have ended: what is new of a server is told at once, and not with the next ask. */
    public void noticed() {
        double now = clock.getAsDouble();
        if (below != null && now - lastNews > HINTS_APART && below.news(now) && !over) {
            lastNews = now;
            duties(holder.wakeUp(now));
            wake();
        }
    }

    /** To whoever leads, as far as it is known here. */
    public void toLeader(Saying what) {
        String whom = guide.whom();
        if (whom != null && !over) {
            world.say(whom, addressOf(whom), what);
        }
    }

    /** When a leader answered last, by this member's clock. */
    public double answeredAt() {
        return answeredAt;
    }

    /** How the instances look from this one; a leader goes by it. */
    public Map<DisruptionTarget, DisruptionController.Seen> looks() {
        Map<DisruptionTarget, DisruptionController.Seen> looks = new HashMap<>();
        for (Standing s : membership.others()) {
            looks.put(subject(s), new DisruptionController.Seen(!s.there() ? DisruptionController.Look.GONE
                    : s.state() == Standing.State.SUSPECTED ? DisruptionController.Look.SUSPECTED
                            : s.steady() ? DisruptionController.Look.STEADY : DisruptionController.Look.UNSTEADY,
                    s.life()));
        }
        Standing self = membership.self();
        looks.put(subject(self),
                new DisruptionController.Seen(
                        self.steady() ? DisruptionController.Look.STEADY : DisruptionController.Look.UNSTEADY,
                        self.life()));
        return looks;
    }

    private static DisruptionTarget subject(Standing s) {
        return new DisruptionTarget(DisruptionTarget.Kind.INSTANCE, s.name(), s.hall());
    }

    private String addressOf(String name) {
        Standing s = membership.other(name);
        return s != null ? s.address() : toldOf != null && toldOf.name().equals(name) ? toldOf.address() : null;
    }

    /** To an asker that took this member for a voter. */
    public Saying elsewhere() {
        return located(new Saying.LeaderIs(guide.leader() == null ? "" : guide.leader()));
    }

    /** The same, with where the leader hears that it names: whoever asked may know of that one by name alone. */
    public Saying located(Saying what) {
        String address = what instanceof Saying.LeaderIs l && l.address().isEmpty() ? addressOf(l.name()) : null;
        return address == null ? what : new Saying.LeaderIs(((Saying.LeaderIs) what).name(), address);
    }

    /** Names of all that are there, itself among them; for whatever is told to all. */
    public List<String> there() {
        List<String> names = new ArrayList<>(List.of(terms.name()));
        membership.others().stream().filter(Standing::there).map(Standing::name).forEach(names::add);
        return names;
    }
}
