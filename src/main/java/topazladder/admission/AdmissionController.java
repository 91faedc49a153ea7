package topazladder.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import topazladder.admission.AdmissionSettings.AdmissionLevelUnit;
import topazladder.admission.AdmissionSettings.DependencyTopology;
import topazladder.admission.AdmissionSettings.RunCancellation;
import topazladder.request.Decision;
import topazladder.request.LearnedEstimate;
import topazladder.request.LearnedEstimate.Kind;
import topazladder.request.Outcome;
import topazladder.request.Request;
import topazladder.request.RequestClass;
import topazladder.request.RequestClass.Repeats;

/**
 * What one server takes, runs and turns away. One Admission controller lives in each server process and shares nothing.
 * Its caller tells it each happening by one method, with the time in seconds since its start, and carries
 * out the decisions it gets back in their order. The types are in {@code topazladder.request}; docs/design.md
 * tells the mechanism. A request passes the stages below from top to bottom; what ends passes them upwards.
 */
public final class AdmissionController {
    /** Decisions take effect a batch late and footprints are rounded: never plan for the last of the memory. */
    private static final double MEMORY_USED = 0.95;
    /** The crowd is averaged by others over their own span, so stay clear of what kills. */
    private static final double CROWD_USED = 0.75;

    /** Of the share of what lies below: the rest is for calls already made that take longer than expected. */
    private static final double CALLS_USED = 0.6;

    private final RandomGenerator chance;
    private final AdmissionSettings settings;
    private final List<Decision> decisions = new ArrayList<>();
    private final Map<Request, Case> open = new LinkedHashMap<>(); // all in hand; emptied by their endings
    private final Set<Request> unrunNow = new HashSet<>(); // ended unrun just now; emptied as time goes on
    private final Map<RequestClass, Mean> runTimes = new LinkedHashMap<>(); // one for each request class in the terms
    private final Repeating repeats;
    private final Draining drain;
    private final Memory memory;
    private final Level level;
    private final Hold hold;
    private final Cores cores;
    private final Calls calls;
    private final List<Stage> stages;
    private final double period;
    private final double shortestLimit;
    private double now;
    private final Flow finished;
    private final Mean retries = new Mean(40);
    private RuntimeGauges gauges = RuntimeGauges.NONE;

    public AdmissionController(RandomGenerator chance, AdmissionSettings settings) {
        this.chance = chance;
        this.settings = settings;
        List<RequestClass> requestClasses = settings.requestClasses();
        requestClasses.forEach(o -> runTimes.put(o, new Mean(10)));
        shortestLimit = requestClasses.stream().mapToDouble(RequestClass::latencyObjectiveSeconds).min().orElse(1);
        // A quarter of the slack leaves room for a late batch and costs few timers.
        period = Math.max(settings.tickSeconds(), Math.max(0.01, settings.answerSlackSeconds() / 4));
        finished = new Flow(shortestLimit);
        repeats = new Repeating();
        drain = new Draining();
        memory = new Memory();
        level = new Level();
        hold = new Hold();
        cores = new Cores();
        calls = new Calls();
        stages = List.of(repeats, drain, memory, level, hold, cores, calls);
    }

    public List<Decision> start(double time) {
        return at(time, () -> {
            // A check answered from store costs next to nothing; a real one loads cores and what lies below.
            decisions.add(new Decision.SetHealth(true));

            decisions.add(new Decision.ScheduleTick(period));
        });
    }

    public List<Decision> requestArrived(double time, Request request) {
        return at(time, () -> {
            Case c = new Case(request);
            retries.add(request.retry() ? 1 : 0);
            open.put(request, c);
            memory.taken += c.footprint();
            repeats.take(c);
        });
    }

    public List<Decision> dependencyCallRequested(double time, Request request) {
        return at(time, request, Place.RUNNING, c -> {
            c.doubtedUntil = c.startAgainAt = Double.POSITIVE_INFINITY;
            cores.leave(c);
            if (c.answered) {
                decisions.add(new Decision.Fail(request));
            } else {
                calls.take(c);
            }
        });
    }

    /**
     * The link to the runtime broke after its start was written; no notice shows that it was read. Started
     * again, one with an effect could run twice if it ends just then: it waits for a sign three times as long
     * as runs take, as most starts were read.
     */
    public List<Decision> startUncertain(double time, Request request) {
        return at(time, request, Place.RUNNING, c -> {
            if (c.requestClass.idempotency() == Repeats.RETRY_SAFE) {
                decisions.add(new Decision.Start(request));
            } else {
                double usual = runTimes.get(c.requestClass).value;
                c.doubtedUntil = usual > 0 ? Math.min(c.useful, now + 3 * usual) : c.useful;
            }
        });
    }

    public List<Decision> dependencyCallEnded(double time, Request request, Outcome ending, double elapsed) {
        return at(time, request, Place.CALLING, c -> calls.ended(c, ending, elapsed));
    }

    public List<Decision> runEnded(double time, Request request, Outcome ending, double elapsed) {
        return at(time, request, null, c -> {
            if (ending == Outcome.SUCCEEDED && !c.answered && c.place == Place.RUNNING) {
                finished.add(1);
                runTimes.get(c.requestClass).add(elapsed);
            }
            c.ran &= !ending.provesNoEffect(); // it may be run after all, by another try
            close(c);
        });
    }

    public List<Decision> callerDisconnected(double time, Request request) {
        return at(time, request, null, c -> {
            c.answered = true;
            if (c.place == Place.RUNNING) {
                stop(c);
            } else if (c.place != Place.CALLING && c.place != Place.PARKED) {
                close(c);
            }
        });
    }

    public List<Decision> tick(double time, RuntimeGauges readings) {
        return at(time, () -> {
            gauges = readings;
            for (Case c : List.copyOf(open.values())) {
                if (!c.answered && now + period >= Math.min(c.due, drain.lastAnswer())) {
                    giveUp(c);
                }
            }
            stages.forEach(Stage::tend);
            decisions.add(new Decision.ScheduleTick(period));
        });
    }

    public List<Decision> drain(double time, double secondsToStop) {
        return at(time, () -> drain.begin(secondsToStop));
    }

    /** What holds for other servers too, as far as their machines are alike: the level is each one's own. */
    public List<LearnedEstimate> learnedEstimates(double time) {
        now = Math.max(now, time);
        List<LearnedEstimate> all = new ArrayList<>();
        if (cores.speed() < 1 || now < 2 * shortestLimit) {
            return all; // what a cold machine or a few requests tell misleads
        }
        runTimes.forEach((o, mean) -> mean.tell(Kind.RUN_TIME, o.name(), all));
        calls.usual.tell(Kind.CALLS_IN_FLIGHT, "", all);
        if (finished.rate() > 0) {
            all.add(new LearnedEstimate(Kind.COMPLETION_RATE, "", finished.rate(), finished.mass, 0));
        }
        return all;
    }

    /** Takes what others learned, weighed for this machine, where nothing was seen yet; it lifts no bound. */
    public List<Decision> learn(double time, List<LearnedEstimate> facts) {
        return at(time, () -> facts.forEach(this::learn));
    }

    private void learn(LearnedEstimate f) {
        switch (f.kind()) {
            // Under the soft limit, as a wrong one must not make hopeless what could start at once.
            case RUN_TIME -> runTimes.forEach((o, mean) -> {
                if (o.name().equals(f.subject())) {
                    mean.learn(Math.min(f.value() / cores.speed(), o.latencyObjectiveSeconds() * 0.6), f.weight());
                }
            });
            case CALLS_IN_FLIGHT -> calls.usual.learn(f.value(), f.weight());
            case COMPLETION_RATE -> hold.heardOutgoing = f.value();
        }
    }

    /** Whether the request can still be named in a decision. */
    public boolean isInFlight(Request request) {
        return open.containsKey(request);
    }

    // ---- What all stages use

    private enum Place { HELD, FOLLOWING, JOINED, RUNNING, PARKED, CALLING, OVER }

    private final class Case {
        final Request request;
        final RequestClass requestClass;
        final double arrived;
        final double due;
        final double useful; // past this nothing is earned any more
        Place place = Place.HELD;
        boolean ran;
        boolean answered; // its final answer is given, or nobody waits for one
        double started;
        double waitingSince;
        double callAgainAt;
        int tries;
        final List<Case> followers = new ArrayList<>(0); // the repeats that wait for its end, and go with it
        double rememberedUntil; // 0 if its fingerprint was never remembered
        double doubtedUntil = Double.POSITIVE_INFINITY; // no sign by then: its run is given up for lost
        double startAgainAt = Double.POSITIVE_INFINITY;

        Case(Request request) {
            this.request = request;
            requestClass = request.requestClass();
            arrived = now - request.queuedSeconds();
            double last = request.remainingSeconds() > 0 ? now + request.remainingSeconds()
                    : arrived + requestClass.deadlineSeconds();
            due = Math.max(now, last);
            useful = requestClass.lateValueShare() > 0 ? due
                    : Math.min(due, arrived + requestClass.latencyObjectiveSeconds());
        }

        double footprint() {
            boolean small = place == Place.HELD || place == Place.FOLLOWING;
            return place == Place.OVER ? 0 : request.memoryKilobytes() * (small ? 1 : settings.runMemoryFactor());
        }

        /** Whether nothing more can be earned with it if it starts in so many seconds. */
        boolean hopeless(double wait) {
            return now + wait + runTimes.get(requestClass).value > useful;
        }
    }

    /** A stage keeps a request, ends it or passes it on; back tells each, last first, that it has ended. */
    private abstract class Stage {
        abstract void take(Case c);

        void back(Case c) {}

        void tend() {}
    }

    private List<Decision> at(double time, Runnable happening) {
        if (time > now) {
            unrunNow.clear();
        }
        now = time;
        happening.run();
        List<Decision> result = List.copyOf(decisions);
        decisions.clear();
        return result;
    }

    /** What comes too late, or for a request that is over, changes nothing. */
    private List<Decision> at(double time, Request request, Place place, Consumer<Case> happening) {
        Case c = open.get(request);
        return at(time, () -> {
            if (c != null && (place == null || c.place == place)) {
                happening.accept(c);
            }
        });
    }

    private void move(Case c, Place place) {
        memory.taken -= c.footprint();
        c.place = place;
        memory.taken += c.footprint();
    }

    /**
     * Whether another server would hardly take it either, as far as those that come were turned away before.
     * Each further try costs a reading somewhere: where all are full, walking on makes it worse for all. A
     * tenth of later tries is sign enough; counted over less than forty it would be luck on a small server.
     */
    private boolean fullElsewhere(Case c) {
        return !drain.leaving && (c.request.retry() || chance.nextDouble() < 10 * retries.value);
    }

    private void defer(Case c, double stayAway, boolean notElsewhere) {
        double most = settings.retryAfterAllowed() ? settings.maxRetryAfterSeconds() : 0;
        decisions.add(new Decision.Reject(c.request, Math.min(stayAway, most), notElsewhere));
        c.answered = true;
    }

    /** The final answer, at once; what still runs is stopped where that can be done. */
    private void giveUp(Case c) {
        if (!c.ran || c.requestClass.idempotency() == Repeats.RETRY_SAFE) {
            defer(c, hold.drainTime(), fullElsewhere(c));
        } else {
            decisions.add(new Decision.Fail(c.request));
            c.answered = true;
        }
        switch (c.place) {
            case RUNNING -> {
                runTimes.get(c.requestClass).add(now - c.started);
                stop(c);
            }
            // The end of its run is still to be told.
            case CALLING, PARKED -> calls.abandon(c);
            default -> close(c);
        }
    }

    private void stop(Case c) {
        if (settings.runCancellation() != RunCancellation.UNSUPPORTED) {
            decisions.add(new Decision.CancelRun(c.request));
        }
    }

    private void close(Case c) {
        for (int i = stages.size() - 1; i >= 0; i--) {
            stages.get(i).back(c);
        }
        move(c, Place.OVER);
        open.remove(c.request);
        if (!c.ran) {
            unrunNow.add(c.request);
        }
        repeats.release(c);
        hold.pull();
    }

    // ---- Repeats: no effect twice

    private final class Repeating extends Stage {
        /** Emptied as windows end, and by requests that end without having run. */
        private final PriorityQueue<Case> entries =
                new PriorityQueue<>(Comparator.comparingDouble((Case c) -> c.rememberedUntil));

        @Override
        void take(Case c) {
            if (c.requestClass.idempotency() != Repeats.IDEMPOTENT_BY_KEY) {
                drain.take(c);
                return;
            }
            Request first = c.request.original();
            Case forerunner = first == null ? null : open.get(first);
            if (forerunner != null && !forerunner.ran) {
                // Two held copies must not both run: the later waits for what becomes of the first.
                move(c, Place.FOLLOWING);
                forerunner.followers.add(c);
            } else if (c.request.duplicate() && !unrunNow.contains(first)) {
                join(c);
            } else {
                takeNew(c);
            }
        }

        private void takeNew(Case c) {
            // Run unremembered it could run twice; a window too long for the memory costs requests instead.
            // But fingerprints may not starve what else is to run: what fills the cores is kept free.
            double fill = settings.cores() * memory.footprints.value * settings.runMemoryFactor();
            double all = footprint() + settings.idempotencyKeyKilobytes() + Math.max(memory.taken, fill);
            if (all > settings.memoryKilobytes() * MEMORY_USED) {
                // Entries go with their window, not with the load: a tenth of it frees room for some.
                defer(c, c.requestClass.idempotencyWindowSeconds() / 10, false);
                close(c);
                return;
            }
            drain.take(c);
            if (c.place != Place.OVER && c.requestClass.idempotencyWindowSeconds() > 0) {
                // From its reading on, not from its arrival: a try that came within a short window may lie
                // unread as long as this one did, and would run as well if the window had ended meanwhile.
                decisions
                        .add(new Decision.RememberIdempotencyKey(c.request, c.requestClass.idempotencyWindowSeconds()));
                c.rememberedUntil = now + c.requestClass.idempotencyWindowSeconds();
                entries.add(c);
            }
        }

        private void join(Case c) {
            move(c, Place.JOINED);
            decisions.add(new Decision.AnswerFromOriginal(c.request));
        }

        @Override
        void back(Case c) {
            // Also past its window: a try of then that is read now would wait for a run that never was.
            if (!c.ran && c.rememberedUntil > 0) {
                entries.remove(c);
                decisions.add(new Decision.ForgetIdempotencyKey(c.request));
            }
        }

        void release(Case c) {
            List<Case> waiting = c.followers.stream().filter(f -> f.place == Place.FOLLOWING).toList();
            if (c.ran) {
                waiting.forEach(this::join);
            } else if (!waiting.isEmpty()) {
                Case heir = waiting.get(0);
                heir.followers.addAll(waiting.subList(1, waiting.size()));
                move(heir, Place.HELD);
                takeNew(heir);
            }
        }

        @Override
        void tend() {
            entries.removeIf(c -> c.rememberedUntil <= now);
        }

        double footprint() {
            return entries.size() * settings.idempotencyKeyKilobytes();
        }
    }

    // ---- Drain: nothing late is run, all is answered before the stop

    private final class Draining extends Stage {
        private double graceEnds = Double.POSITIVE_INFINITY;
        private double stop = Double.POSITIVE_INFINITY;
        private boolean leaving;
        private final Flow read = new Flow(shortestLimit);
        private final Mean waits = new Mean(10);

        void begin(double left) {
            graceEnds = now + settings.drainGraceSeconds();
            stop = now + left;
            leaving = true;
            decisions.add(new Decision.SetHealth(false));
        }

        double lastAnswer() {
            // Two periods: the timer may come a batch late, and the answer must still get out.
            return stop - 2 * period;
        }

        @Override
        void take(Case c) {
            read.add(1);
            waits.add(c.request.queuedSeconds());
            if (tooLate(c)) {
                giveUp(c);
            } else {
                memory.take(c);
            }
        }

        /** Also what could not end before the stop: run all the same, it would have to be broken off. */
        boolean tooLate(Case c) {
            return c.arrived > graceEnds || now + runTimes.get(c.requestClass).value >= lastAnswer();
        }
    }

    // ---- Memory: held, running and remembered together

    private final class Memory extends Stage {
        private final Mean footprints = new Mean(10);
        private double taken;

        boolean room(double more) {
            return taken + repeats.footprint() + more <= settings.memoryKilobytes() * MEMORY_USED;
        }

        @Override
        void take(Case c) {
            footprints.add(c.request.memoryKilobytes());
            // What was read takes memory already: turned away here, it frees it before anything is held.
            if (room(0)) {
                level.take(c);
            } else {
                giveUp(c);
            }
        }
    }

    // ---- The posted level: the mechanism of docs/design.md

    private final class Level extends Stage {
        private static final int BINS = 256;
        private final double[] tally = new double[BINS];
        private final Flow taken = new Flow(shortestLimit);
        private final Deque<Double> below = new ArrayDeque<>();
        private double cut;
        private double nextUpdate = 1;

        @Override
        void take(Case c) {
            tally[Math.min(BINS - 1, (int) (c.request.rank() * BINS))]++;
            if (c.request.rank() < cut) {
                giveUp(c);
            } else {
                taken.add(1);
                hold.take(c);
            }
        }

        @Override
        void tend() {
            if (now < nextUpdate) {
                return;
            }
            // A level is heard for a limited time: with four steps within it one out of date is rare.
            double every = settings.admissionLevelValiditySeconds() / 4;
            nextUpdate = now + every;
            double before = cut;
            int factor = factor();
            if (factor > below.size()) {
                double next = median();
                if (next > cut) {
                    below.push(cut);
                    cut = next;
                }
            } else if (factor < 0) { // 0 at once, not in steps: idle cores are worse than a jump
                below.clear();
                cut = 0;
            } else if (factor < below.size()) {
                cut = below.pop();
            }
            Arrays.setAll(tally, i -> tally[i] * Math.exp(-every / shortestLimit));
            if (cut != before && settings.admissionLevelUnit() == AdmissionLevelUnit.MIN_RANK) {
                decisions.add(new Decision.PostAdmissionLevel(cut));
            }
        }

        private int factor() {
            double outgoing = finished.rate();
            double target = target();
            // Where reading is the bottleneck the queue stands before it: by the waits on arrival, so many.
            double waiting = hold.held.size() + drain.read.rate() * drain.waits.value;
            if (outgoing <= 0 || cores.idle() || waiting <= target) {
                return -1;
            }
            double capacity = taken.rate() * Math.pow(2, below.size());
            double factor = Math.log(capacity / outgoing * (waiting / target)) / Math.log(2);
            return (int) Math.max(0, Math.round(factor));
        }

        /** K: what is finished in half the shortest soft limit, so that waiting leaves time to run. */
        double target() {
            return Math.max(settings.cores(), finished.rate() * shortestLimit / 2);
        }

        private double median() {
            int from = (int) Math.round(cut * BINS);
            double half = Arrays.stream(tally, from, BINS).sum() / 2;
            int i = from;
            for (double sum = 0; i < BINS && sum < half; i++) {
                sum += tally[i];
            }
            return (double) i / BINS;
        }
    }

    // ---- The hold: what waits for a core, and for how long that pays

    private final class Hold extends Stage {
        private final List<Case> held = new ArrayList<>(); // by arrival; emptied by starts and endings
        private double fullFrom = Double.POSITIVE_INFINITY;
        private double heardOutgoing;

        @Override
        void take(Case c) {
            held.add(c);
            // One always runs, or a server that was slow for a while would never learn that it is not; but no
            // request that lay unread until nothing can be earned: started, it would only be stopped again.
            if (now >= c.useful || cores.on > 0 && c.hopeless(cores.room(c) ? 0 : waitFor(c))) {
                giveUp(c);
            } else {
                pull();
            }
        }

        private double waitFor(Case c) {
            // What others finish a second tells it sooner; own runs take its place within two soft limits.
            double heard = now < 2 * shortestLimit ? heardOutgoing * cores.speed() : 0;
            double outgoing = Math.max(finished.rate(), heard);
            long ahead = held.stream().filter(h -> h != c && !after(h, c)).count();
            return now < 1 && heard <= 0 || outgoing <= 0 ? 0 : ahead / outgoing;
        }

        /** Whether a starts after b. */
        private boolean after(Case a, Case b) {
            // By payoff first, against a flood of cheap requests that came before the dear ones.
            if (a.requestClass.priorityWeight() != b.requestClass.priorityWeight()) {
                return a.requestClass.priorityWeight() < b.requestClass.priorityWeight();
            }
            // Newest first once the hold has stood full for a while: the oldest would all come too late.
            return now - fullFrom > shortestLimit ? a.arrived < b.arrived : a.arrived > b.arrived;
        }

        void pull() {
            while (!held.isEmpty()) {
                Case best = held.stream().reduce((a, b) -> after(a, b) ? b : a).get();
                if (!cores.room(best)) {
                    return;
                }
                held.remove(best);
                cores.take(best);
            }
        }

        /** Seconds until the hold is back at its target: sooner, the caller would only be rejected again. */
        double drainTime() {
            double rate = drain.leaving ? 0 : finished.rate();
            return rate <= 0 ? shortestLimit : Math.max(0, held.size() - level.target()) / rate;
        }

        @Override
        void back(Case c) {
            held.remove(c);
        }

        @Override
        void tend() {
            for (Case c : List.copyOf(held)) {
                if (c.place == Place.HELD && (drain.tooLate(c) || cores.on > 0 && c.hopeless(0))) {
                    giveUp(c);
                }
            }
            fullFrom = held.size() >= 2 * level.target() ? Math.min(fullFrom, now) : Double.POSITIVE_INFINITY;
            pull();
        }
    }

    // ---- Cores: how many run

    private final class Cores extends Stage {
        private int on;
        private double bound = settings.cores();
        /** What else wants a core: readings, checks, new connections. Crowded out they leave it blind. */
        private final Mean others = new Mean(4);
        private boolean pressed; // at every look since the last step, against a lagging gauge
        private double nextLook = 1;
        private boolean closing;
        private final Mean newcomers = new Mean(4);
        private final Mean used = new Mean(10);

        /** Cores that read are not idle, though runs gave way to the readings. */
        boolean idle() {
            return on + others.value < settings.cores();
        }

        /** Its part of a warm server's, by the slowest warm-up the terms allow. */
        private double speed() {
            double from = settings.coldStart() ? settings.coldSpeed() : 1;
            return Math.min(1, from + (1 - from) * now / settings.warmUpSeconds());
        }

        /** The crowd that kills. */
        private double ceiling() {
            return settings.cores() * (1 + (settings.collapseFactor() - 1) * speed()) * CROWD_USED;
        }

        boolean room(Case c) {
            double more = c.request.memoryKilobytes() * (settings.runMemoryFactor() - 1);
            // Readings count for half the bound at most, or a flood of them would leave nothing running.
            // Requests at a call, or left without one, may all come back to the cores at once.
            return on < bound && on + Math.min(others.value - 1, bound / 2) < bound
                    && on + calls.inFlight + calls.parked.size() < ceiling() && memory.room(more);
        }

        /**
         * Callers who come back later than a connection may idle never use it again: closed where cores idle,
         * it makes room. Where newcomers crowd the cores, a table that fills turns callers away for nothing.
         * The bounds lie apart, as a change costs both a handshake and a place: ten looks under 0.6 are
         * more than a lull, and two newcomers a core more than a reading and a handshake on each.
         */
        private void connections() {
            double longest = settings.maxConnectionIdleSeconds();
            used.add(gauges.coreUse());
            newcomers.add(others.value);
            boolean close = settings.callers() > drain.read.rate() * longest
                    && newcomers.value <= 2 * settings.cores() && (closing || used.value < 0.6);
            if (close != closing) {
                closing = close;
                decisions.add(new Decision.CloseIdleConnections(closing ? period : longest));
            }
        }

        @Override
        void take(Case c) {
            c.ran = true;
            c.started = now;
            move(c, Place.RUNNING);
            on++;
            decisions.add(new Decision.Start(c.request));
        }

        void leave(Case c) {
            on--;
            move(c, Place.PARKED);
            hold.pull();
        }

        void resume(Case c) {
            on++;
            move(c, Place.RUNNING);
        }

        @Override
        void back(Case c) {
            if (c.place == Place.RUNNING) {
                on--;
            }
        }

        /** What is over is not run: started again after its answer, it only shows that it never was. */
        private void settle(Case c) {
            if (now >= c.startAgainAt) {
                c.startAgainAt = Double.POSITIVE_INFINITY;
                decisions.add(new Decision.Start(c.request));
            } else if (now >= c.doubtedUntil) {
                c.doubtedUntil = Double.POSITIVE_INFINITY;
                // The answer takes another way than the start, which must not come before it.
                c.startAgainAt = now + Math.max(shortestLimit / 4, settings.answerSlackSeconds());
                if (!c.answered) {
                    c.answered = true;
                    decisions.add(new Decision.Fail(c.request));
                }
            }
        }

        @Override
        void tend() {
            open.values().forEach(this::settle);
            others.add(Math.max(0, gauges.onCores(on) - on));
            pressed &= on >= bound && !hold.held.isEmpty();
            if (now < nextLook) {
                return;
            }
            // The gauge averages over half a second: only what waited all that time tells that the bound left
            // cores idle, as where runs wait for a disk. A queue of a moment would let the bound creep up.
            if (pressed && gauges.coreUse() < 0.9) {
                bound++;
            } else if (bound > settings.cores()) {
                bound--;
            }
            pressed = true;
            nextLook = now + 0.5;
            connections();
        }
    }

    // ---- Calls to what lies below

    private final class Calls extends Stage {
        /** Wait for the pace; emptied by calls, by answers without one, and by endings. */
        private final List<Case> parked = new ArrayList<>();
        /** When given-up calls leave the hands of what lies below; emptied as that passes. */
        private final List<Double> lingering = new ArrayList<>();
        private final Mean callTime = new Mean(10);
        /** Steadier: the least of a mean of few calls would be luck, and all after it look crowded. */
        private final Mean longTime = new Mean(40);
        /** What a call takes when nothing crowds it; drifts up, so that a lasting change is believed. */
        private double quickest = Double.POSITIVE_INFINITY;
        /** How many times the quickest recent calls took; capped, or one that hung would count for thirty. */
        private final Mean strain = new Mean(10);
        private int inFlight;
        private double pace = most() / 4; // calls this server means to have in hand on average
        private final Mean usual = new Mean(40); // in hand without strain: a crowd must not teach it
        private double spent; // call-seconds beyond the pace
        private double spentAt;

        @Override
        void take(Case c) {
            c.waitingSince = now;
            parked.add(c);
            pump();
        }

        private double most() {
            double share = settings.dependencyCallQuota();
            boolean shared = share > 0 && settings.dependencyTopology() == DependencyTopology.SHARED;
            return shared ? share * CALLS_USED : Double.POSITIVE_INFINITY;
        }

        /**
         * The share is what kills. What serves best is what is used while calls take what they need, or less
         * by how much longer they take. It follows at once: a cut that stayed would waste what is below.
         * Three times the usual leaves room for luck; a sixteenth still finds out that a crowd below is over.
         */
        private void follow(double times) {
            strain.add(Math.min(4, times));
            if (strain.value <= 2) {
                usual.add(inFlight);
                pace = most();
            } else {
                pace = Math.min(most(), Math.max(most() / 16, 3 * usual.value / strain.value));
            }
        }

        /**
         * Calls that can be left out stop at half the burst, so that those that can't find room. A quarter of
         * the span's worth spent ahead stays clear of the share, which is averaged over that span by others.
         */
        private boolean allowed(Case c) {
            if (pace == Double.POSITIVE_INFINITY) {
                return true;
            }
            spent = Math.max(0, spent + (inFlight + lingering.size() - pace) * (now - spentAt));
            spentAt = now;
            double burst =
                    pace * settings.dependencyQuotaSpanSeconds() / (c.requestClass.degradedValueShare() > 0 ? 8 : 4);
            // With nothing spent one call is made, or what was slow would never be known to have recovered.
            // The second bound acts in a burst, before call-seconds have added up: both are needed.
            return spent + Math.min(callTime.value, burst) <= burst
                    && inFlight + lingering.size() < Math.max(1, 4 * pace);
        }

        void pump() {
            for (Case c : List.copyOf(parked)) {
                if (c.place == Place.PARKED && !c.answered && now >= c.callAgainAt) {
                    // One is always made: with none made, an old belief in slow ones would stand.
                    if (now + (inFlight > 0 ? callTime.value : 0) >= c.useful) {
                        without(c);
                    } else if (allowed(c)) {
                        parked.remove(c);
                        move(c, Place.CALLING);
                        inFlight++;
                        // What never comes back must leave time to ask again, where that may be done.
                        boolean once = c.requestClass.idempotency() != Repeats.RETRY_SAFE
                                || longTime.seen < longTime.most;
                        decisions.add(new Decision.CallDependency(c.request,
                                Math.min(c.useful - now, once ? c.useful : 4 * longTime.value)));
                    } else if (now - c.waitingSince > callTime.value && c.requestClass.degradedValueShare() > 0) {
                        without(c);
                    }
                }
            }
        }

        /** A poorer answer where that earns something, else none is left to give. */
        private void without(Case c) {
            parked.remove(c);
            if (c.requestClass.degradedValueShare() > 0 && now < c.useful) {
                decisions.add(new Decision.SkipDependencyCall(c.request));
                cores.resume(c);
            } else {
                giveUp(c);
            }
        }

        void ended(Case c, Outcome ending, double elapsed) {
            inFlight--;
            if (ending == Outcome.SUCCEEDED) {
                callTime.add(elapsed);
                longTime.add(elapsed);
                if (longTime.seen == longTime.most) {
                    quickest = Math.min(longTime.value, quickest * 1.0005);
                }
                follow(elapsed / quickest);
                cores.resume(c);
            } else {
                // A failure tells of a crowd below as the longest call does, a spoilt connection of none.
                boolean spoilt = ending == Outcome.CONNECTION_LOST;
                follow(spoilt ? strain.value : 4);
                if (ending == Outcome.TIMED_OUT) {
                    lingering.add(now + settings.abandonedCallLingerSeconds());
                    callTime.add(elapsed);
                }
                move(c, Place.PARKED);
                if (c.answered) {
                    return;
                }
                boolean again = ending.provesNoEffect()
                        || c.requestClass.idempotency() == Repeats.RETRY_SAFE && ending != Outcome.TIMED_OUT;
                if (again && (c.requestClass.degradedValueShare() == 0 || spoilt && c.tries == 0)) {
                    // Turned away and asked again at once, a few requests would read the tier below to death.
                    double wait = (spoilt ? 0 : Math.max(period, callTime.value)) * ++c.tries;
                    c.callAgainAt = now + wait * (0.5 + chance.nextDouble());
                    take(c);
                } else {
                    without(c);
                }
            }
        }

        /** Its answer is given: what lies below may still be at work on the call for a while. */
        void abandon(Case c) {
            if (c.place == Place.CALLING) {
                inFlight--;
                lingering.add(now + settings.abandonedCallLingerSeconds());
            }
            parked.remove(c);
            move(c, Place.PARKED);
        }

        @Override
        void back(Case c) {
            if (c.place == Place.CALLING || c.place == Place.PARKED) {
                abandon(c);
            }
        }

        @Override
        void tend() {
            lingering.removeIf(until -> until <= now);
            pump();
        }
    }

    // ---- Measuring and terms

    /** A mean that follows: each new value counts one in so many, after as many were seen. */
    private final class Mean {
        private final int most;
        private double value;
        private int seen;
        private int own; // of those seen, not learned from others: only what is all its own is handed on
        private double asOf;

        Mean(int most) {
            this.most = most;
        }

        void add(double x) {
            seen = Math.min(most, seen + 1);
            own = Math.min(most, own + 1);
            value += (x - value) / seen;
            asOf = now;
        }

        /** As though so many events had come first; as many of its own as it remembers overrule them. */
        void learn(double x, double weight) {
            int more = (int) Math.min(weight, most - seen);
            if (more > 0) {
                value = (value * seen + x * more) / (seen + more);
                seen += more;
            }
        }

        void tell(Kind kind, String subject, List<LearnedEstimate> all) {
            if (own == most) {
                all.add(new LearnedEstimate(kind, subject, value, own, now - asOf));
            }
        }
    }

    /** Events a second, the recent ones counting most. */
    private final class Flow {
        private final double span;
        private final double since = now;
        private double mass;
        private double asOf = now;

        Flow(double span) {
            this.span = span;
        }

        void add(double n) {
            fade();
            mass += n;
        }

        double rate() {
            fade();
            double seen = 1 - Math.exp(-(now - since) / span);
            return seen <= 0 ? 0 : mass / (span * seen);
        }

        private void fade() {
            mass *= Math.exp(-(now - asOf) / span);
            asOf = now;
        }
    }
}
