package topazladder.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import topazladder.disruption.Disruption;
import topazladder.disruption.DisruptionController.Health;
import topazladder.disruption.LoadReport;
import topazladder.rollout.Rollout.Phase;
import topazladder.rollout.RolloutStatus.InstanceStatus;
import topazladder.rollout.RolloutTarget.Stage;

/**
 * Decides the next steps of a rollout. It runs on the instance that holds the rollout lease, on the status that the
 * leader of the consensus group sends. All state that has to outlive the holder is in the replicated log. What is kept
 * here (samples of the canary analysis, since when an instance has been away) is lost with the lease: the next holder
 * observes and analyses from the start.
 */
public class RolloutController {
    /** Multiple of the soak time after which a rollout whose canary analysis is inconclusive is halted. */
    private static final double MAX_INCONCLUSIVE_SOAKS = 4;
    /** Seconds that the analysis gets at least before it counts as inconclusive: short soaks give too few samples. */
    private static final double MIN_ANALYSIS_SECONDS = 30;
    /** Seconds between two samples: rates are reported over a window, so that closer samples repeat the same data. */
    private static final double SAMPLE_INTERVAL_SECONDS = 3;
    /**
     * Lower bound of the limit on requests that wait for a grant at once; the limit is half the number of unavailable
     * instances of the rollout where that is more.
     */
    private static final int MIN_WAITING_REQUESTS = 4;
    /** Processes of one instance that may end during its update before the new version counts as one that crashes. */
    private static final int MAX_ENDED_PROCESSES = 3;

    private final String self;
    private final RolloutCommand.Proposer by;
    private final Map<String, Double> awaySince = new HashMap<>(); // by instance
    private final Map<String, Long> incarnations = new HashMap<>(); // by instance, as last observed
    private final Map<String, Integer> endedProcesses = new HashMap<>(); // by instance, since its update was requested
    private CanaryAnalysis analysis;
    private long analysisKey = -1;
    private double lastSampleAt = Double.NEGATIVE_INFINITY;
    private double soakStartedAt = Double.NaN;
    private String progress = "";

    /**
     * Creates a controller that has observed nothing yet.
     *
     * @param self name of this instance
     * @param by identifies this lease holder and its fencing token; the time is filled in at each step
     */
    public RolloutController(String self, RolloutCommand.Proposer by) {
        this.self = self;
        this.by = by;
    }

    /** The current step in words, for operators. */
    public String progress() {
        return progress + (analysis == null ? "" : "; " + analysis);
    }

    /** The commands to propose next. */
    public List<RolloutCommand> nextCommands(double now, long atMillis, RolloutStatus view) {
        Rollout rollout = view.rollout();
        RolloutCommand.Proposer proposer = new RolloutCommand.Proposer(by.leaseName(), by.fencingToken(), atMillis);
        if (rollout == null || rollout.isDone()) {
            analysis = null;
            progress = rollout == null ? "there is no rollout" : "the last rollout is done";
            return List.of();
        }
        long key = rollout.id() << 16 | rollout.generation();
        if (analysisKey != key) {
            analysisKey = key;
            analysis = new CanaryAnalysis(rollout.plan().thresholds());
            soakStartedAt = Double.NaN;
            endedProcesses.clear();
            awaySince.clear();
        }
        sample(now, rollout, view);
        trackInstances(now, rollout, view);
        if (rollout.phase() == Phase.HALTED) {
            // After a resume the soak starts over, so that the rollout is not halted at once for the same samples.
            soakStartedAt = Double.NaN;
            progress = "halted: " + rollout.haltReason();
            return List.of();
        }
        String haltReason = haltReason(now, rollout, view);
        if (haltReason != null) {
            return List.of(new RolloutCommand.Halt(proposer, rollout.id(), haltReason));
        }
        return steps(now, rollout, view, proposer);
    }

    private List<RolloutCommand> steps(double now, Rollout rollout, RolloutStatus view,
            RolloutCommand.Proposer proposer) {
        List<RolloutCommand> commands = additions(rollout, view, proposer);
        // Voters are updated one at a time and so take longest: they come first once the first wave has shown that B
        // works, so that the others are updated meanwhile. In the first wave they come last.
        boolean votersFirst = rollout.wave() > 0 || rollout.isRollback();
        List<RolloutTarget> open = rollout.targets().stream()
                .filter(place -> place.wave() <= rollout.wave() && place.stage() != Stage.MOVED)
                .sorted(Comparator.comparing((RolloutTarget place) -> place.name().equals(self))
                        .thenComparing(place -> place.isVoter() != votersFirst)
                        // Updating a leader costs an election, and the time in which the next one only observes.
                        .thenComparing(place -> place.name().equals(view.leader())).thenComparing(RolloutTarget::name))
                .toList();
        int requestsLeft = requestsLeft(rollout, view);
        boolean isVoterRequested =
                rollout.targets().stream().anyMatch(place -> place.isVoter() && place.stage() == Stage.ASKED);
        int remaining = 0;
        for (RolloutTarget place : open) {
            InstanceStatus seen = view.member(place.name());
            if (seen != null && isUpdated(rollout, seen)) {
                commands.add(
                        new RolloutCommand.RecordUpdate(proposer, rollout.id(), rollout.generation(), place.name()));
                continue;
            }
            // This instance is updated last of all, so that the rollout lease changes its holder only once for it. A
            // wave that consists of it alone is the exception, or there would be nothing to analyse.
            if (place.name().equals(self) && place.stage() == Stage.LEFT
                    && (open.size() > 1 || rollout.wave() < rollout.lastWave() && rollout.targets().stream()
                            .anyMatch(other -> other.wave() == place.wave() && !other.name().equals(self)))) {
                continue;
            }
            remaining++;
            if (place.stage() == Stage.ASKED) {
                if (seen != null && seen.disruption() == null && seen.health() == Health.STEADY
                        && seen.load() != null) {
                    commands.add(new RolloutCommand.RecordFailedUpdate(proposer, rollout.id(), rollout.generation(),
                            place.name()));
                }
            } else if (place.attempt() < rollout.plan().maxAttempts() && seen != null && mayBeRequested(rollout, seen)
            // A restart gains nothing for an instance that runs the target version and is not steady yet. One that
            // reports no version may still be about to run it.
                    && seen.load() != null && !seen.load().version().isEmpty()
                    && !seen.load().version().equals(rollout.targetVersion())
                    && (place.isVoter() ? !isVoterRequested : requestsLeft > 0)) {
                commands.add(new RolloutCommand.RequestGrant(proposer, rollout.id(), rollout.generation(), place.name(),
                        place.attempt() + 1));
                isVoterRequested |= place.isVoter();
                requestsLeft -= place.isVoter() ? 0 : 1;
            }
        }
        if (remaining == 0 && commands.isEmpty()) {
            finishWave(now, rollout, proposer, commands);
        } else {
            soakStartedAt = Double.NaN;
            progress = "wave " + rollout.wave() + ": " + remaining + " instances left";
        }
        return commands;
    }

    /**
     * Adds members that run another version than the rollout's target and have no part in it: they joined after it
     * started, or the leader that started it had not heard of them yet. Without a part they would stay on that version
     * after the rollout is done.
     */
    private static List<RolloutCommand> additions(Rollout rollout, RolloutStatus view,
            RolloutCommand.Proposer proposer) {
        List<RolloutCommand> commands = new ArrayList<>();
        for (InstanceStatus seen : view.supportsAdditions() ? view.members() : List.<InstanceStatus>of()) {
            boolean reportsVersion = seen.health() != Health.GONE && seen.load() != null
                    && !seen.load().version().isEmpty();
            if (reportsVersion && rollout.findTarget(seen.name()) == null
                    && !seen.load().version().equals(rollout.targetVersion())) {
                commands.add(new RolloutCommand.AddTarget(proposer, rollout.id(), rollout.generation(), seen.name(),
                        seen.zone(), false));
            }
        }
        return commands;
    }

    /**
     * Requests that may still be made now: enough that no budget stays unused, and no more, as requests are granted in
     * their order and the next voter would wait behind all of them.
     */
    private static int requestsLeft(Rollout rollout, RolloutStatus view) {
        int waiting = 0;
        int unavailable = 0;
        for (RolloutTarget place : rollout.targets()) {
            InstanceStatus seen = place.stage() == Stage.ASKED ? view.member(place.name()) : null;
            if (seen != null) {
                boolean isGranted = seen.disruption() != null && seen.disruption().usesBudget();
                unavailable += isGranted ? 1 : 0;
                waiting += isGranted ? 0 : 1;
            }
        }
        return Math.max(MIN_WAITING_REQUESTS, unavailable / 2) - waiting;
    }

    /** In a rollback also an instance that has not become steady again: version B may be what prevents that. */
    private static boolean mayBeRequested(Rollout rollout, InstanceStatus seen) {
        return seen.disruption() == null
                || rollout.isRollback() && seen.disruption().phase() == Disruption.Phase.RETURNING;
    }

    /** Whether the instance runs the target version and is steady. */
    protected boolean isUpdated(Rollout rollout, InstanceStatus seen) {
        return seen.runs(rollout.targetVersion());
    }

    /** All of the wave are updated: analyses it for the soak time, then starts the next wave or ends the rollout. */
    private void finishWave(double now, Rollout rollout, RolloutCommand.Proposer proposer,
            List<RolloutCommand> commands) {
        if (Double.isNaN(soakStartedAt)) {
            soakStartedAt = now;
        }
        double soaked = now - soakStartedAt;
        double soak =
                rollout.isRollback() || rollout.targets().stream().allMatch(place -> place.stage() == Stage.MOVED) ? 0
                        : rollout.plan().soakSeconds(rollout.wave());
        CanaryAnalysis.Verdict verdict = soak == 0 ? CanaryAnalysis.Verdict.PASSED : analysis.verdict();
        progress = "wave " + rollout.wave() + ": analysed for " + Math.round(soaked) + " of " + Math.round(soak)
                + " s";
        if (soaked < soak) {
            return;
        }
        if (verdict == CanaryAnalysis.Verdict.PASSED || analysis.sampleCount() == 0) {
            commands.add(rollout.wave() < rollout.lastWave()
                    ? new RolloutCommand.StartWave(proposer, rollout.id(), rollout.generation(), rollout.wave() + 1)
                    : new RolloutCommand.Complete(proposer, rollout.id(), rollout.generation()));
            soakStartedAt = Double.NaN;
        } else if (soaked >= Math.max(MAX_INCONCLUSIVE_SOAKS * soak, MIN_ANALYSIS_SECONDS)) {
            commands.add(new RolloutCommand.Halt(proposer, rollout.id(), "the canary analysis is inconclusive after "
                    + Math.round(soaked) + " s: " + analysis));
        }
    }

    /** Takes one sample of each instance that serves, on A and on B at the same moment. */
    private void sample(double now, Rollout rollout, RolloutStatus view) {
        if (rollout.isRollback() || now - lastSampleAt < SAMPLE_INTERVAL_SECONDS) {
            return;
        }
        lastSampleAt = now;
        List<CanaryAnalysis.Sample> samples = new ArrayList<>();
        for (InstanceStatus seen : view.members()) {
            LoadReport load = seen.load();
            // An instance that drains or warms up says nothing of its version.
            if (load != null && load.spanSeconds() > 0 && load.offeredPerSecond() > 0 && seen.disruption() == null
                    && seen.health() == Health.STEADY) {
                boolean isOnB = load.version().equals(rollout.plan().to());
                if (isOnB || load.version().equals(rollout.plan().from())) {
                    samples.add(new CanaryAnalysis.Sample(seen.name(), seen.zone(), isOnB, load.servedShare(),
                            load.failedPerSecond() / Math.max(1e-9, load.offeredPerSecond()),
                            load.memoryMegabytes()));
                }
            }
        }
        addSamples(samples);
    }

    /** Hands the samples of one moment to the analysis. */
    protected void addSamples(List<CanaryAnalysis.Sample> samples) {
        analysis.addSamples(samples);
    }

    /** Records since when instances have been away, and how many processes of each ended during its update. */
    private void trackInstances(double now, Rollout rollout, RolloutStatus view) {
        for (RolloutTarget place : rollout.targets()) {
            InstanceStatus seen = view.member(place.name());
            // Includes an instance that shut down before the rollout became a rollback and has not returned since.
            boolean isAway = seen == null ? place.stage() == Stage.ASKED : seen.disruption() != null
                    && seen.disruption().usesBudget() && seen.disruption().phase() != Disruption.Phase.GRANTED
                    && (place.stage() == Stage.ASKED || seen.disruption().reason() == Disruption.Reason.RELEASE);
            if (!isAway) {
                awaySince.remove(place.name());
            } else {
                awaySince.putIfAbsent(place.name(), now);
            }
            if (seen != null && seen.health() != Health.GONE) {
                Long before = incarnations.put(place.name(), seen.incarnation());
                if (before != null && before != seen.incarnation() && place.stage() == Stage.ASKED) {
                    endedProcesses.merge(place.name(), 1, Integer::sum);
                }
            }
            if (place.stage() != Stage.ASKED) {
                endedProcesses.remove(place.name());
            }
        }
    }

    /** Why the rollout must not go on, or null where it may. */
    private String haltReason(double now, Rollout rollout, RolloutStatus view) {
        for (RolloutTarget place : rollout.targets()) {
            if (now - awaySince.getOrDefault(place.name(), now) > rollout.plan().returnTimeoutSeconds()) {
                return place.name() + " is not back after " + Math.round(rollout.plan().returnTimeoutSeconds()) + " s";
            }
            if (endedProcesses.getOrDefault(place.name(), 0) > MAX_ENDED_PROCESSES) {
                return place.name() + " does not stay up: " + endedProcesses.get(place.name())
                        + " of its processes have ended during its update";
            }
            if (place.stage() == Stage.LEFT && place.attempt() >= rollout.plan().maxAttempts()
                    && view.member(place.name()) != null && view.member(place.name()).disruption() == null
                    && !isUpdated(rollout, view.member(place.name()))) {
                return place.name() + " does not come back as " + rollout.targetVersion() + " after " + place.attempt()
                        + " attempts";
            }
        }
        long others = view.members().stream().filter(seen -> seen.disruption() != null && seen.disruption().usesBudget()
                && seen.disruption().reason() != Disruption.Reason.RELEASE).count();
        if (others > rollout.plan().maxOtherDisruptions()) {
            return others + " instances are out for other reasons than the rollout, more than "
                    + rollout.plan().maxOtherDisruptions();
        }
        return !rollout.isRollback() && analysis.verdict() == CanaryAnalysis.Verdict.FAILED ? analysis.failureReason()
                : null;
    }
}
