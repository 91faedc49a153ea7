package topazladder.emulator.hall;

import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import topazladder.cluster.ClusterMessage;
import topazladder.cluster.VoterNode;
import topazladder.consensus.InMemoryVoterStore;
import topazladder.disruption.DisruptionCommand;
import topazladder.disruption.DisruptionController;
import topazladder.disruption.DisruptionStateMachine;
import topazladder.disruption.DisruptionTarget;
import topazladder.endpoint.EndpointSelector;
import topazladder.endpoint.OutlierDetector;
import topazladder.lease.LeaseCommand;
import topazladder.lease.LeaseHolder;
import topazladder.lease.LeaseManager;
import topazladder.lease.LeaseRequest;
import topazladder.lease.LeaseResponse;
import topazladder.lease.LeaseSettings;
import topazladder.lease.LeaseState;
import topazladder.lease.LeaseStateMachine;
import topazladder.lease.MemberIdentity;
import topazladder.rollout.CanaryAnalysis;
import topazladder.rollout.Rollout;
import topazladder.rollout.RolloutCommand;
import topazladder.rollout.RolloutController;
import topazladder.rollout.RolloutStateMachine;
import topazladder.rollout.RolloutStatus;
import topazladder.rollout.RolloutTarget;

/** The program's own objects, each with one mistake planted. */
final class Planted {
    private static final double EARLY = 0.5;

    private Planted() {}

    static LeaseHolder holder(Plant plant, MemberIdentity here) {
        return new LeaseHolder(here) {
            private double lastSent;
            private long lastSequence;

            @Override
            protected double leaseStart(double requestedAt, double now) {
                return plant == Plant.COUNTS_FROM_THE_ANSWER ? now
                        : plant == Plant.TAKES_ANY_ANSWER ? Math.max(requestedAt, lastSent) : requestedAt;
            }

            @Override
            public List<Step> handleResponse(double now, LeaseResponse response) {
                return super.handleResponse(now, plant == Plant.TAKES_ANY_ANSWER && response.sequence() < lastSequence
                        ? new LeaseResponse(lastSequence, response.grants(), response.pollAfterSeconds()) : response);
            }

            @Override
            public List<Step> tick(double now) {
                List<Step> steps = super.tick(now);
                for (Step s : steps) {
                    if (s instanceof Step.Send send) {
                        lastSent = now;
                        lastSequence = send.request().sequence();
                    }
                }
                return steps;
            }
        };
    }

    static LeaseManager leaseManager(Plant plant, LeaseStateMachine stateMachine) {
        return new LeaseManager(stateMachine) {
            @Override
            protected double inheritedExpiry(double now, LeaseSettings settings) {
                return plant == Plant.NEW_LEADER_DOES_NOT_WAIT ? now : super.inheritedExpiry(now, settings);
            }

            @Override
            protected double safeExpirySeconds(LeaseSettings settings) {
                return plant == Plant.CLOCKS_IGNORED ? settings.durationSeconds() : super.safeExpirySeconds(settings);
            }

            @Override
            protected boolean isExpired(double now, LeaseState lease) {
                double early = plant == Plant.EXPIRES_EARLY ? EARLY * lease.settings().durationSeconds() : 0;
                return super.isExpired(now + early, lease);
            }

            @Override
            protected boolean isRenewable(LeaseCommand inFlight) {
                return plant == Plant.RENEWS_WHAT_ENDS || super.isRenewable(inFlight);
            }

            @Override
            public List<Step> handleRequest(double now, LeaseRequest request) {
                List<Step> steps = new ArrayList<>(super.handleRequest(now, request));
                if (plant == Plant.RELEASES_ANY_TOKEN && isLeader()) {
                    request.stopped().forEach(stopped -> steps.add(new Step.Propose(
                            new LeaseCommand.Release(stopped.leaseName(), stopped.fencingToken()))));
                }
                return plant == Plant.ANSWERS_ALONE ? alone(now, steps) : steps;
            }

            @Override
            public List<Step> tick(double now) {
                List<Step> steps = new ArrayList<>(super.tick(now));
                if (plant == Plant.GRANTS_WHILE_HELD && isLeader()) {
                    for (LeaseState s : stateMachine.leases()) {
                        // As one that takes a single missed ask for the end of the holder.
                        knownMembers().stream()
                                .filter(m -> s.isHeld() && !knownMembers().contains(s.holder()))
                                .findFirst().ifPresent(m -> steps.add(new Step.Propose(
                                        new LeaseCommand.Grant(s.settings().name(), m, s.fencingToken()))));
                    }
                }
                return steps;
            }

            private List<Step> alone(double now, List<Step> steps) {
                List<Step> all = new ArrayList<>();
                for (Step s : steps) {
                    if (s instanceof Step.ConfirmLeadership c) {
                        all.addAll(alone(now, leadershipConfirmed(now, c.round())));
                    } else {
                        all.add(s);
                    }
                }
                return all;
            }
        };
    }

    static LeaseStateMachine ledger(Plant plant) {
        return new LeaseStateMachine() {
            @Override
            protected String rejection(LeaseState state, LeaseCommand.OnLease command) {
                if (plant == Plant.GRANTS_WHILE_HELD && command instanceof LeaseCommand.Grant
                        || plant == Plant.RELEASES_ANY_TOKEN && command instanceof LeaseCommand.Release) {
                    return null;
                }
                return super.rejection(state, command);
            }

            @Override
            protected long nextToken(LeaseState state) {
                return plant == Plant.SAME_TOKEN && state.fencingToken() > 0 ? state.fencingToken()
                        : super.nextToken(state);
            }
        };
    }

    static RolloutController conductor(Plant plant, String self, RolloutCommand.Proposer by) {
        return new RolloutController(self, by) {
            private boolean begun;

            @Override
            public List<RolloutCommand> nextCommands(double now, long atMillis, RolloutStatus v) {
                List<RolloutCommand> ops = new ArrayList<>(super.nextCommands(now, atMillis, v));
                if (plant == Plant.A_STEP_TWICE && !begun && v.rollout() != null && !v.rollout().isDone()) {
                    // As one that goes by its own list, from its first line.
                    v.rollout().targets().stream().filter(p -> p.stage() == RolloutTarget.Stage.MOVED)
                            .forEach(p -> ops.add(
                                    new RolloutCommand.RequestGrant(by, v.rollout().id(), v.rollout().generation(),
                                            p.name(), p.attempt() + 1)));
                }
                begun = true;
                return ops;
            }

            @Override
            protected boolean isUpdated(Rollout r, RolloutStatus.InstanceStatus s) {
                return plant == Plant.TAKES_ANY_RETURN_FOR_MOVED
                        ? s.disruption() == null && s.health() != DisruptionController.Health.GONE
                                && r.findTarget(s.name()).attempt() > 0 || super.isUpdated(r, s)
                        : super.isUpdated(r, s);
            }

            @Override
            protected void addSamples(List<CanaryAnalysis.Sample> looks) {
                super.addSamples(plant != Plant.JUDGES_B_BY_ITSELF ? looks : looks.stream().flatMap(l -> l.isOnB()
                        ? java.util.stream.Stream.of(l,
                                new CanaryAnalysis.Sample(l.name(), l.zone(), false, l.servedShare(),
                                        l.failedShare(), l.memoryMegabytes()))
                        : java.util.stream.Stream.empty()).toList());
            }
        };
    }

    /** @param broken is told of each step that counted though whoever proposed it does not conduct */
    static RolloutStateMachine releases(Plant plant, LeaseStateMachine duties, DisruptionStateMachine outs,
            Consumer<String> broken) {
        return new RolloutStateMachine(duties, outs) {
            @Override
            public Outcome apply(RolloutCommand op) {
                LeaseState duty = op.proposer().isLeaseHolder() ? duties.get(op.proposer().leaseName()) : null;
                Outcome outcome = super.apply(op);
                if (outcome.isApplied() && op.proposer().isLeaseHolder() && (duty == null || !duty.isHeld()
                        || duty.fencingToken() != op.proposer().fencingToken())) {
                    broken.accept(
                            "a step under " + op.proposer().fencingToken() + " counts, which is no conductor's: " + op);
                }
                return outcome;
            }

            @Override
            protected String leaseRejection(RolloutCommand.Proposer by) {
                return plant == Plant.OBEYS_AN_EARLIER_CONDUCTOR ? null : super.leaseRejection(by);
            }

            @Override
            protected String rejectionOfRequest(RolloutCommand.RequestGrant a) {
                return plant == Plant.VOTERS_TOGETHER
                        && rollout().findTarget(a.instance()).stage() == RolloutTarget.Stage.LEFT
                        && a.attempt() == rollout().findTarget(a.instance()).attempt() + 1
                        || plant == Plant.A_STEP_TWICE && rollout().findTarget(a.instance()) != null ? null
                                : super.rejectionOfRequest(a);
            }

            @Override
            protected void withdrawRequests() {
                if (plant != Plant.A_HALT_LEAVES_PERMISSIONS) {
                    super.withdrawRequests();
                }
            }
        };
    }

    static DisruptionStateMachine outs(Plant plant) {
        return new DisruptionStateMachine() {
            @Override
            public Outcome apply(DisruptionCommand command) {
                if (plant == Plant.FREES_THE_LOST && command instanceof DisruptionCommand.Lost lost) {
                    return super.apply(new DisruptionCommand.GiveUp(lost.target(), ""));
                }
                return super.apply(command);
            }

            @Override
            protected String rejection(DisruptionTarget candidate, Collection<DisruptionTarget> besides) {
                return plant == Plant.NO_BUDGET_BELOW && candidate.kind() == DisruptionTarget.Kind.DEPENDENCY ? null
                        : super.rejection(candidate, besides);
            }

            @Override
            protected Outcome handle(DisruptionCommand.Leaving leaving) {
                return plant == Plant.ANY_PERMISSION_COUNTS && leaving.token() > 0
                        ? new Outcome(leaving.token(), null) : super.handle(leaving);
            }
        };
    }

    static DisruptionController permits(Plant plant, DisruptionStateMachine ledger, double lostAfter) {
        return new DisruptionController(ledger, lostAfter) {
            @Override
            protected boolean countsAsUnavailable(Observation observed) {
                return plant != Plant.COUNTS_THE_COLD_AS_THERE
                        && !(plant == Plant.FREES_THE_LOST && observed.health() == Health.GONE)
                        && super.countsAsUnavailable(observed);
            }

            @Override
            protected boolean isSteady(double now, DisruptionTarget target, Observation observed) {
                return plant == Plant.COUNTS_THE_COLD_AS_THERE || super.isSteady(now, target, observed);
            }
        };
    }

    static OutlierDetector verdicts(Plant plant, DisruptionStateMachine ledger) {
        return new OutlierDetector(ledger) {
            @Override
            protected boolean isUnhealthy(int ill, int tried, int watchers) {
                return plant == Plant.ONE_WATCHER_IS_ENOUGH ? ill > 0 : super.isUnhealthy(ill, tried, watchers);
            }

            @Override
            protected boolean isMajorityUnhealthy(int ill, int servers) {
                return plant != Plant.MOST_ILL_COUNTS && super.isMajorityUnhealthy(ill, servers);
            }

            @Override
            protected boolean isCredible(boolean tellsOfServers) {
                return plant == Plant.MOST_ILL_COUNTS || super.isCredible(tellsOfServers);
            }

            @Override
            public List<DisruptionCommand> tick(double now) {
                List<DisruptionCommand> ops = super.tick(now);
                return plant != Plant.NEVER_TRIED_AGAIN ? ops
                        : ops.stream().filter(o -> !(o instanceof DisruptionCommand.Rejoin)).toList();
            }
        };
    }

    static EndpointSelector use(Plant plant, EndpointSelector.Settings terms, RandomGenerator chance) {
        return new EndpointSelector(terms, chance) {
            @Override
            protected double slowStartFraction(double seconds) {
                return plant == Plant.COMES_BACK_AT_ONCE ? 1 : super.slowStartFraction(seconds);
            }

            @Override
            protected boolean mayEject(boolean allowed, boolean alone, long leftOut) {
                return plant == Plant.LEAVES_OUT_BY_ITSELF || super.mayEject(allowed, alone, leftOut);
            }

            @Override
            protected boolean isMajorityUnhealthy(long ill, long known) {
                return plant != Plant.LEAVES_OUT_BY_ITSELF && plant != Plant.MOST_ILL_COUNTS
                        && super.isMajorityUnhealthy(ill, known);
            }
        };
    }

    /** An old answer with the term of now, so that it passes for one to what was asked now. */
    static ClusterMessage asOfNow(ClusterMessage what, VoterNode voter) {
        if (what instanceof ClusterMessage.Consensus c && c.message()instanceof AppendEntriesSuccessResponse r
                && voter != null && voter.replica() != null && r.getTerm() < voter.replica().term()) {
            return new ClusterMessage.Consensus(
                    new DefaultRaftModelFactory().createAppendEntriesSuccessResponseBuilder()
                            .setGroupId(r.getGroupId()).setSender(r.getSender()).setTerm(voter.replica().term())
                            .setLastLogIndex(r.getLastLogIndex()).setQuerySequenceNumber(r.getQuerySequenceNumber())
                            .setFlowControlSequenceNumber(r.getFlowControlSequenceNumber()).build());
        }
        return what;
    }

    static final class Store extends InMemoryVoterStore {
        private final Plant plant;
        private VoterIdentity before;

        Store(Plant plant) {
            this.plant = plant;
        }

        @Override
        public void crash() {
            super.crash();
            if (plant == Plant.FORGETS_ITS_VOTE) {
                forgetTermAndVote();
            } else if (plant == Plant.FORGETS_ENTRIES) {
                forgetLatestEntries(8);
            }
        }

        @Override
        public void wipe() {
            before = identity();
            super.wipe();
        }

        @Override
        public VoterIdentity identity() {
            VoterIdentity now = super.identity();
            return now == null && plant == Plant.VOTES_AS_ITS_OLD_SELF ? before : now;
        }
    }
}
