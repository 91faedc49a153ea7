package topazladder.hall;

import io.microraft.model.message.RaftMessage;
import java.io.IOException;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazladder.below.Verdicts;
import topazladder.consensus.VoterEndpoint;
import topazladder.consensus.VoterStore;
import topazladder.disruption.DisruptionController;
import topazladder.disruption.DisruptionTarget;
import topazladder.lease.LeaseCommand;
import topazladder.lease.LeaseManager;
import topazladder.lease.LeaseResponse;
import topazladder.lease.LeaseStateMachine.Outcome;
import topazladder.lease.MemberIdentity;
import topazladder.replication.ClusterReplica;
import topazladder.replication.ClusterState;
import topazladder.service.Scheduler;

/**
 * A member's part in the group, without I/O but for its store. A voter whose folder is empty does not vote: it asks,
 * under a new birth, to be taken in, since it has forgotten how it voted. All calls come on the one thread that the
 * timers run on.
 */
public final class VoterNode {
    private static final Logger LOG = LoggerFactory.getLogger(VoterNode.class);
    /** Seconds between two times that it asks to vote. */
    private static final double ASK_EVERY = 1;

    /** Heartbeats for which a member must be gone from sight before its place is written down as lost. */
    private static final double LOST_AFTER = 4;
    /** Seconds after which a voter whose store failed tries it again: a disk that was full may have room. */
    private static final double AGAIN_AFTER = 2;

    public enum Phase { ASKING_TO_VOTE, SEATED, FAILED, RETIRED, CLOSED }

    /** What it needs of the world. */
    public interface World {

        /** To a member by its name; to its own process's member as well. */
        void say(String to, Saying what);

        /** The store failed, and with it the voter; the instance goes on serving. */
        void failed(Throwable why);
    }

    private final HallTerms terms;
    private final VoterStore store;
    private final Scheduler timers;
    private final DoubleSupplier clock;
    private final RandomGenerator chance;
    private final World world;
    private final ClusterReplica.Domains domains;
    private final Verdicts verdicts;
    private ClusterReplica.Settings replicaSettings;
    private ClusterReplica replica;
    private VoterEndpoint newborn;
    private Phase phase = Phase.ASKING_TO_VOTE;
    private String doing = "";

    public VoterNode(HallTerms terms, VoterStore store, Scheduler timers, DoubleSupplier clock, RandomGenerator chance,
            World world) {
        this(terms, store, timers, clock, chance, world, new ClusterState(), null, null, null);
    }

    /**
     * @param leaseManager and what is behind it, of what is agreed, or null for the usual; trials plant ones that err
     */
    public VoterNode(HallTerms terms, VoterStore store, Scheduler timers, DoubleSupplier clock, RandomGenerator chance,
            World world, ClusterState state, LeaseManager leaseManager, DisruptionController permits,
            Verdicts verdicts) {
        this.terms = terms;
        this.store = store;
        this.timers = timers;
        this.clock = clock;
        this.chance = chance;
        this.world = world;
        this.verdicts = verdicts == null ? new Verdicts(state.disruptions()) : verdicts;
        domains = new ClusterReplica.Domains(state,
                leaseManager == null ? new LeaseManager(state.leases()) : leaseManager,
                permits == null ? new DisruptionController(state.disruptions(), LOST_AFTER * terms.heartbeat())
                        : permits,
                this.verdicts);
        replicaSettings =
                new ClusterReplica.Settings(terms.voters(), terms.heartbeat(), terms.duties(), terms.budgets());
    }

    public Phase phase() {
        return phase;
    }

    /** Null while it has none. */
    public ClusterReplica replica() {
        return replica;
    }

    public void open() {
        if (store.founding() != null) {
            take();
        } else {
            newborn = new VoterEndpoint(terms.name(), 1 + (chance.nextLong() >>> 2));
            LOG.warn("{} has an empty folder: it asks to be taken in as {}", terms.name(), newborn);
            askToVote();
        }
    }

    private void askToVote() {
        if (phase == Phase.ASKING_TO_VOTE) {
            terms.voters().stream().filter(v -> !v.equals(terms.name()))
                    .forEach(v -> world.say(v, new Saying.AsksToVote(newborn)));
            timers.schedule(ASK_EVERY, this::askToVote);
        }
    }

    private void take() {
        phase = Phase.SEATED;
        if (replica != null) {
            replica.close(() -> {});
        }
        replica = new ClusterReplica(store, replicaSettings, timers, clock, chance, new ClusterReplica.Environment() {
            @Override
            public void send(VoterEndpoint to, RaftMessage message) {
                world.say(to.name(), new Saying.Consensus(message));
            }

            @Override
            public void reply(MemberIdentity to, LeaseResponse answer) {
                world.say(to.name(), new Saying.Answering(answer));
                if (verdicts.watches(to.name())) {
                    world.say(to.name(), new Saying.Belows(replica.term(), verdicts.words(clock.getAsDouble(), to
                            .name())));
                }
            }

            @Override
            public void wakeUp(MemberIdentity to) {
                world.say(to.name(), new Saying.Nudge());
            }

            @Override
            public void mayGo(String member, long token) {
                world.say(member, new Saying.MayGo(token));
            }

            @Override
            public void go(String member, long token, String version) {
                world.say(member, new Saying.Go(token, version));
            }

            @Override
            public void failed(Throwable why) {
                VoterNode.this.failed(why);
            }
        }, domains);
        replica.start();
    }

    /**
     * What was flushed is still true: nothing was answered for that was not. So it may take its replica again from
     * that.
     */
    private void failed(Throwable why) {
        if (!replicaSettings.voters().contains(terms.name())) {
            // The library ends where its voter is taken out, which the settings asked for.
            phase = Phase.RETIRED;
            LOG.info("{} votes no more", terms.name());
            return;
        }
        phase = Phase.FAILED;
        world.failed(why);
        timers.schedule(AGAIN_AFTER, () -> {
            if (phase == Phase.FAILED) {
                domains.state().stateMachines().clear();
                phase = Phase.ASKING_TO_VOTE;
                open();
            }
        });
    }

    public void replace(HallTerms next) {
        replicaSettings =
                new ClusterReplica.Settings(next.voters(), terms.heartbeat(), next.duties(), next.budgets());
        if (replica != null) {
            replica.replaceSettings(replicaSettings);
        }
    }

    public void close(Runnable done) {
        Phase before = phase;
        phase = Phase.CLOSED;
        Runnable end = () -> {
            store.close();
            done.run();
        };
        if (before == Phase.SEATED) {
            replica.close(end);
        } else {
            end.run();
        }
    }

    /** What another member says, or this process's own. */
    public void heard(String from, Saying what) {
        if (what instanceof Saying.TakenIn t) {
            takenIn(t);
        } else if (phase != Phase.SEATED) {
            return; // whoever asks finds another voter
        } else if (what instanceof Saying.Consensus c) {
            replica.handle(c.message());
        } else if (what instanceof Saying.Asking a) {
            if (replica.leading()) {
                replica.disruptions().loadReported(a.ask().member(), a.schema(), a.serving(), a.ask().eligible());
                verdicts.says(clock.getAsDouble(), a.ask().member().name(), a.below());
                replica.leases().handleRequest(a.ask());
            } else {
                elsewhere(from);
            }
        } else if (what instanceof Saying.Conduct c) {
            if (replica.leading()) {
                doing = c.doing();
                replica.rollouts().conduct(c.ops(), view -> world.say(from, new Saying.Conducted(c.number(), view)));
            } else {
                elsewhere(from);
            }
        } else if (what instanceof Saying.Going g) {
            replica.disruptions().shutdownRequested(g.from(), g.token());
        } else if (what instanceof Saying.Leaving l) {
            replica.disruptions().leaving(l.from(), l.by());
        } else if (what instanceof Saying.AsksToVote v) {
            // Any voter may tell it that it is one, since the leader that took it in may be gone by now.
            if (replica.voting().contains(v.who())) {
                VoterStore.Founding f = store.founding();
                world.say(from, new Saying.TakenIn(v.who(), f.initialVoters(), f.groupGeneration()));
            } else {
                replica.joinRequested(v.who());
            }
        }
    }

    private void elsewhere(String from) {
        VoterEndpoint leader = replica.leader();
        world.say(from, new Saying.LeaderIs(leader == null || leader.equals(replica.here()) ? "" : leader.name()));
    }

    /** How the servers below look to all, for operators; of use only while this voter leads. */
    public Verdicts verdicts() {
        return verdicts;
    }

    /** What the conductor said last that it does, in words. */
    public String doing() {
        return doing;
    }

    private void takenIn(Saying.TakenIn t) {
        if (phase != Phase.ASKING_TO_VOTE || !t.who().equals(newborn)) {
            return;
        }
        try {
            store.found(new VoterStore.Founding(newborn, t.first(), t.formed()));
            LOG.info("{} votes from now on", newborn);
            take();
        } catch (IOException e) {
            failed(e);
        }
    }

    /** How the instances look from this member. */
    public void seen(Map<DisruptionTarget, DisruptionController.Observation> looks) {
        if (replica != null && phase == Phase.SEATED) {
            replica.disruptions().membersObserved(looks);
        }
    }

    /** An operator's wish; only the leader can carry it out. */
    public void propose(LeaseCommand op, Consumer<Outcome> then) {
        if (replica == null || phase != Phase.SEATED) {
            then.accept(new Outcome(0, "this voter has no seat"));
        } else {
            replica.leases().propose(op, then);
        }
    }
}
