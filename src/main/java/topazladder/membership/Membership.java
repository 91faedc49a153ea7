package topazladder.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import topazladder.membership.Gossip.Ack;
import topazladder.membership.Gossip.Nack;
import topazladder.membership.Gossip.Ping;
import topazladder.membership.Gossip.PingRequest;
import topazladder.membership.Gossip.Sync;
import topazladder.membership.MemberStatus.State;

/**
 * One member's view of the cluster, kept by the SWIM protocol with Lifeguard's extensions. In each probe interval one
 * other member is pinged, in an order that is shuffled anew each round. A member that does not answer is pinged
 * through a few others, then suspected, then declared gone unless it refutes the suspicion in time (SWIM). Timeouts
 * follow the measured round-trip times and this member's own health: a member that runs late, or that gets no nacks
 * from its helpers, gives the others more time and assumes that the fault is its own (Lifeguard).
 *
 * <p>The number of messages a member sends per period does not grow with the cluster. No I/O, clock or threads: the
 * caller passes the current time in seconds and carries out the returned steps.
 */
public final class Membership {

    /**
     * Settings of the protocol.
     *
     * @param probePeriodSeconds the probe period; the probe interval, from one probe to the next, is the period times
     *     (1 + {@link Membership#healthScore})
     * @param indirectProbeHelpers number of members asked for an indirect ping
     * @param goneRetentionSeconds seconds for which a member that is gone is kept, and contacted now and then
     */
    public record Settings(double probePeriodSeconds, int indirectProbeHelpers, double goneRetentionSeconds) {
        public static final Settings DEFAULTS = new Settings(1, 3, 3600);
    }

    /** What the caller has to carry out. */
    public sealed interface Step {

        /**
         * Sends a message to a member.
         *
         * @param to the member's name; empty if only the address is known
         */
        record Send(String to, String address, Gossip message) implements Step {
        }

        /**
         * The status of another member changed.
         *
         * @param previous null for a member that was not known
         */
        record StatusChanged(MemberStatus current, MemberStatus previous) implements Step {
        }
    }

    /** Most member updates in one message; with names of 100 characters this many still fit in a frame. */
    public static final int MAX_UPDATES_PER_MESSAGE = 24;
    private static final int MAX_PIGGYBACKED_UPDATES = 8;
    private static final int MAX_MEMBERS = 20_000;
    /** Bounds of the ack timeout, as fractions of the probe period. */
    private static final double MIN_ACK_TIMEOUT = 0.1;
    private static final double MAX_ACK_TIMEOUT = 0.5;
    /** End of a probe, as a fraction of the probe interval: just before the next probe starts. */
    private static final double PROBE_DEADLINE = 0.98;
    /** An update is sent this many times the decimal logarithm of the cluster size. */
    private static final double RETRANSMIT_FACTOR = 3;
    /** Shortest suspicion, in probe periods times the decimal logarithm of the cluster size. */
    private static final double MIN_SUSPICION = 4;
    /** Longest suspicion as a multiple of the shortest. */
    private static final double MAX_SUSPICION_FACTOR = 6;
    private static final int MAX_HEALTH_SCORE = 8;
    /** Probe intervals between two table exchanges with a random member. */
    private static final int SYNC_PERIODS = 15;
    /** Probe intervals between two attempts to reach a member that is gone, or a seed. */
    private static final int RECONNECT_PERIODS = 5;
    private static final int MAX_INDIRECT_PROBES = 64;
    /**
     * Pages, of one message each, that answer a sync where the table is larger than this many full messages; a smaller
     * table is sent whole.
     */
    private static final int MAX_SYNC_PAGES = 4;

    private final Settings settings;
    private final RandomGenerator random;
    private MemberStatus self;
    private final Map<String, MemberStatus> otherMembers = new TreeMap<>(); // bounded: gone members are removed
    private final Map<String, Double> changedAt = new HashMap<>();
    private final Map<String, Suspicion> suspicions = new HashMap<>();
    private final Map<String, Integer> pendingUpdates = new TreeMap<>(); // by name: transmissions left
    private final List<String> probeOrder = new ArrayList<>();
    private final RoundTripEstimator roundTrips = new RoundTripEstimator();
    // By the number of the ping sent for the requester; bounded, and answered with a nack within a period.
    private final Map<Long, IndirectProbe> indirectProbes = new HashMap<>();
    // Already answered with a nack; an ack that still comes is passed on.
    private final Map<Long, IndirectProbe> nackedProbes = new HashMap<>();
    private List<String> seeds = List.of();
    private long lastNumber;
    private double nextProbeAt = Double.NaN;
    private int healthScore;
    private Probe probe;
    private int periods;
    private String syncCursor = "";
    private int othersPresent; // maintained with each change, as counting would take time linear in the cluster
    private boolean left;

    /** A running suspicion timer. */
    private static final class Suspicion {
        private final double startedAt;
        private final Set<String> accusers = new HashSet<>(); // at most the first and as many as there are helpers
        private double extension;

        Suspicion(double startedAt) {
            this.startedAt = startedAt;
        }
    }

    /** This member's probe of the current interval. */
    private static final class Probe {
        private final String target;
        private final long number;
        private final double sentAt;
        private double indirectAt;
        private double deadline;
        private final Set<String> silentHelpers = new HashSet<>();
        private boolean indirect;
        private boolean acked;

        Probe(String target, long number, double sentAt) {
            this.target = target;
            this.number = number;
            this.sentAt = sentAt;
        }
    }

    /** A ping on behalf of another member. */
    private record IndirectProbe(String requester, long requesterNumber, String target, double nackAt,
            double expiresAt) {
    }

    /** @param self alive, with a process incarnation higher than that of any earlier process of its name */
    public Membership(Settings settings, MemberStatus self, RandomGenerator random) {
        this.settings = settings;
        this.self = self;
        this.random = random;
    }

    public MemberStatus self() {
        return self;
    }

    /** Lifeguard's local health score: 0 is healthy, and each point lengthens this member's timeouts. */
    public int healthScore() {
        return healthScore;
    }

    /** All known members but this one, including those that are gone. */
    public Collection<MemberStatus> otherMembers() {
        return Collections.unmodifiableCollection(otherMembers.values());
    }

    /** The member of that name, which may be this one; null if it is not known. */
    public MemberStatus member(String name) {
        return name.equals(self.name()) ? self : otherMembers.get(name);
    }

    /** Number of members present, including this one. */
    public int size() {
        return 1 + othersPresent;
    }

    /** Joins the cluster through the given addresses of any members; unreachable ones do no harm. */
    public List<Step> join(double now, List<String> addresses) {
        seeds = List.copyOf(addresses);
        nextProbeAt = now + settings.probePeriodSeconds() * random.nextDouble();
        List<Step> steps = new ArrayList<>();
        for (String address : seeds) {
            steps.add(new Step.Send("", address, new Sync(true, piggybackedUpdates())));
        }
        return steps;
    }

    /** Sets whether this member serves as it should, and publishes a change. */
    public void setSteady(boolean steady) {
        if (self.steady() != steady) {
            self = new MemberStatus(self.name(), self.address(), self.zone(), self.processIncarnation(),
                    self.incarnation() + 1,
                    self.state(), steady, "");
            enqueueUpdate(self.name());
        }
    }

    /** Leaves the cluster gracefully, so that the others need not suspect this member first. */
    public List<Step> leave(double now) {
        left = true;
        self = self.withState(State.LEFT);
        enqueueUpdate(self.name());
        List<Step> steps = new ArrayList<>();
        for (String name : randomMembers(settings.indirectProbeHelpers() + 1, Set.of())) {
            send(name, new Ping(++lastNumber, piggybackedUpdates()), steps);
        }
        return steps;
    }

    // ---- timers

    /** Seconds until {@link #tick} is due. */
    public double secondsUntilTick(double now) {
        double due = Double.isNaN(nextProbeAt) ? now + settings.probePeriodSeconds() : nextProbeAt;
        if (probe != null && !probe.acked) {
            due = Math.min(due, probe.indirect ? probe.deadline : probe.indirectAt);
        }
        for (IndirectProbe indirect : indirectProbes.values()) {
            due = Math.min(due, indirect.nackAt());
        }
        for (Map.Entry<String, Suspicion> e : suspicions.entrySet()) {
            due = Math.min(due, suspicionDeadline(e.getValue()));
        }
        return Math.max(0.001, due - now);
    }

    /** Runs all timers that are due. */
    public List<Step> tick(double now) {
        List<Step> steps = new ArrayList<>();
        if (left) {
            return steps;
        }
        compensatePause(now);
        nackIndirectProbes(now, steps);
        checkProbe(now, steps);
        checkSuspicions(now, steps);
        if (!Double.isNaN(nextProbeAt) && now >= nextProbeAt) {
            nextProbeAt = now + settings.probePeriodSeconds() * (1 + healthScore);
            periods++;
            startProbe(now, steps);
            syncReconnectAndForget(now, steps);
        }
        return steps;
    }

    /**
     * Detects that this process did not run for a while. Answers may wait unread, so all deadlines move by the pause,
     * and the pause counts against this member's own health.
     */
    private void compensatePause(double now) {
        double late = Double.isNaN(nextProbeAt) ? 0 : now - nextProbeAt;
        if (late > settings.probePeriodSeconds() / 2) {
            adjustHealth((int) Math.ceil(late / settings.probePeriodSeconds()));
            if (probe != null) {
                probe.indirectAt = Math.max(probe.indirectAt, now + settings.probePeriodSeconds() * MAX_ACK_TIMEOUT);
                probe.deadline = Math.max(probe.deadline, now + settings.probePeriodSeconds());
            }
            suspicions.values().forEach(suspicion -> suspicion.extension += late);
        }
    }

    private void adjustHealth(int delta) {
        healthScore = Math.max(0, Math.min(MAX_HEALTH_SCORE, healthScore + delta));
    }

    private void nackIndirectProbes(double now, List<Step> steps) {
        indirectProbes.entrySet().removeIf(e -> {
            IndirectProbe indirect = e.getValue();
            if (now >= indirect.nackAt() && now < indirect.expiresAt()) {
                send(indirect.requester(), new Nack(indirect.requesterNumber(), piggybackedUpdates()), steps);
                nackedProbes.put(e.getKey(), indirect);
            }
            return now >= indirect.nackAt();
        });
        nackedProbes.values().removeIf(indirect -> now >= indirect.expiresAt());
    }

    private void checkProbe(double now, List<Step> steps) {
        if (probe == null || probe.acked) {
            return;
        }
        if (!probe.indirect && now >= probe.indirectAt) {
            probe.indirect = true;
            for (String name : randomMembers(settings.indirectProbeHelpers(), Set.of(probe.target))) {
                probe.silentHelpers.add(name);
                send(name, new PingRequest(probe.number, probe.target, piggybackedUpdates()), steps);
            }
        }
        if (probe.indirect && now >= probe.deadline) {
            // Several helpers that sent not even a nack are as unreachable as the target: this member may be isolated.
            adjustHealth(probe.silentHelpers.isEmpty() ? 0 : probe.silentHelpers.size() > 1 ? 1 : 0);
            MemberStatus target = otherMembers.get(probe.target);
            if (target != null && target.state() == State.ALIVE) {
                applyUpdate(now, target.withSuspicionBy(self.name()), steps);
            }
            probe = null;
        }
    }

    private void checkSuspicions(double now, List<Step> steps) {
        for (Map.Entry<String, Suspicion> e : List.copyOf(suspicions.entrySet())) {
            MemberStatus suspect = otherMembers.get(e.getKey());
            if (suspect == null || suspect.state() != State.SUSPECTED) {
                suspicions.remove(e.getKey());
            } else if (now >= suspicionDeadline(e.getValue())) {
                applyUpdate(now, suspect.withState(State.GONE), steps);
            }
        }
    }

    /** Earlier the more members suspect independently; later the worse this member's own health is. */
    private double suspicionDeadline(Suspicion suspicion) {
        double min = MIN_SUSPICION * Math.max(1, StrictMath.log10(Math.max(1, size()))) * settings.probePeriodSeconds();
        double max = MAX_SUSPICION_FACTOR * min;
        double confirmations = settings.indirectProbeHelpers();
        double confirmed = Math.min(1, StrictMath.log(suspicion.accusers.size()) / StrictMath.log(confirmations + 1));
        return suspicion.startedAt + suspicion.extension + (max - (max - min) * confirmed) * (1 + healthScore / 2.0);
    }

    private void startProbe(double now, List<Step> steps) {
        if (probeOrder.isEmpty()) {
            otherMembers.values().stream().filter(MemberStatus::isPresent).map(MemberStatus::name)
                    .forEach(probeOrder::add);
            Collections.shuffle(probeOrder, new java.util.Random(random.nextLong()));
        }
        String target = null;
        while (!probeOrder.isEmpty() && target == null) {
            String name = probeOrder.remove(probeOrder.size() - 1);
            target = otherMembers.containsKey(name) && otherMembers.get(name).isPresent() ? name : null;
        }
        if (target == null) {
            return;
        }
        probe = new Probe(target, ++lastNumber, now);
        probe.indirectAt = now + roundTrips.timeout(MIN_ACK_TIMEOUT * settings.probePeriodSeconds(),
                MAX_ACK_TIMEOUT * settings.probePeriodSeconds()) * (1 + healthScore);
        probe.deadline = now + settings.probePeriodSeconds() * (1 + healthScore) * PROBE_DEADLINE;
        MemberStatus known = otherMembers.get(target);
        if (known.state() == State.SUSPECTED) {
            enqueueUpdate(target); // lets the suspect learn of the suspicion from this ping, and refute it
        }
        send(target, new Ping(probe.number, piggybackedUpdates()), steps);
    }

    /**
     * Periodically exchanges tables with a random member, and contacts a member that is gone or a seed; forgets members
     * that have been gone for long.
     */
    private void syncReconnectAndForget(double now, List<Step> steps) {
        if (periods % SYNC_PERIODS == 0) {
            randomMembers(1, Set.of()).forEach(name -> send(name, new Sync(true, nextTablePage()), steps));
        }
        if (periods % RECONNECT_PERIODS == 0) {
            List<MemberStatus> gone = otherMembers.values().stream().filter(s -> s.state() == State.GONE).toList();
            if (!gone.isEmpty()) {
                MemberStatus s = gone.get(random.nextInt(gone.size()));
                steps.add(new Step.Send(s.name(), s.address(), new Sync(true, piggybackedUpdates())));
            }
            if (!seeds.isEmpty() && (size() == 1 || random.nextInt(Math.max(1, size() / 8)) == 0)) {
                steps.add(new Step.Send("", seeds.get(random.nextInt(seeds.size())),
                        new Sync(true, piggybackedUpdates())));
            }
        }
        otherMembers.values().removeIf(s -> !s.isPresent()
                && now - changedAt.getOrDefault(s.name(), now) > settings.goneRetentionSeconds());
        changedAt.keySet().retainAll(otherMembers.keySet());
    }

    // ---- received messages

    /** Handles a message of another member. */
    public List<Step> handleMessage(double now, String from, Gossip message) {
        List<Step> steps = new ArrayList<>();
        if (left) {
            return steps;
        }
        for (MemberStatus update : message.updates()) {
            applyUpdate(now, update, steps);
        }
        MemberStatus sender = otherMembers.get(from);
        if (sender != null && sender.state() != State.ALIVE) {
            enqueueUpdate(from); // the sender is alive: the answer tells it what is said of it, so that it can refute
        }
        if (message instanceof Ping ping) {
            send(from, new Ack(ping.sequenceNumber(), piggybackedUpdates()), steps);
        } else if (message instanceof PingRequest pingFor) {
            MemberStatus target = otherMembers.get(pingFor.target());
            if (target != null && indirectProbes.size() < MAX_INDIRECT_PROBES) {
                double ackTimeout = roundTrips.timeout(MIN_ACK_TIMEOUT * settings.probePeriodSeconds(),
                        MAX_ACK_TIMEOUT * settings.probePeriodSeconds());
                // The nack has to reach the requester before its probe ends.
                indirectProbes.put(++lastNumber, new IndirectProbe(from, pingFor.sequenceNumber(), pingFor.target(),
                        now + Math.min(ackTimeout, MAX_ACK_TIMEOUT / 2 * settings.probePeriodSeconds()),
                        now + 2 * settings.probePeriodSeconds()));
                send(pingFor.target(), new Ping(lastNumber, piggybackedUpdates()), steps);
            }
        } else if (message instanceof Ack ack) {
            handleAck(now, from, ack.sequenceNumber(), steps);
        } else if (message instanceof Nack nack) {
            if (probe != null && probe.number == nack.sequenceNumber()) {
                probe.silentHelpers.remove(from);
            }
        } else if (message instanceof Sync sync && sync.replyRequested()) {
            List<MemberStatus> all = new ArrayList<>(otherMembers.values());
            if (all.size() <= MAX_SYNC_PAGES * MAX_UPDATES_PER_MESSAGE) {
                for (int i = 0; i == 0 || i < all.size(); i += MAX_UPDATES_PER_MESSAGE - 1) {
                    List<MemberStatus> page =
                            new ArrayList<>(all.subList(i, Math.min(all.size(), i + MAX_UPDATES_PER_MESSAGE - 1)));
                    page.add(self);
                    send(from, new Sync(false, page), steps);
                }
            } else {
                // The rest of a large table arrives with later syncs and piggybacked updates.
                for (int i = 0; i < MAX_SYNC_PAGES; i++) {
                    send(from, new Sync(false, nextTablePage()), steps);
                }
            }
        }
        return steps;
    }

    private void handleAck(double now, String from, long number, List<Step> steps) {
        IndirectProbe indirect = indirectProbes.remove(number);
        if (indirect == null) {
            indirect = nackedProbes.remove(number);
        }
        if (indirect != null) {
            send(indirect.requester(), new Ack(indirect.requesterNumber(), piggybackedUpdates()), steps);
        } else if (probe != null && probe.number == number && !probe.acked) {
            probe.acked = true;
            if (from.equals(probe.target)) {
                roundTrips.add(now - probe.sentAt);
            }
            if (!probe.indirect) {
                adjustHealth(-1);
            }
        }
    }

    /** Applies an update of one member if it overrules what is known; it does not matter who sent it. */
    private void applyUpdate(double now, MemberStatus update, List<Step> steps) {
        if (update.name().equals(self.name())) {
            refuteIfFalse(update);
            return;
        }
        MemberStatus before = otherMembers.get(update.name());
        if (before != null && !update.overrides(before)) {
            Suspicion running = suspicions.get(update.name());
            if (running != null && update.state() == State.SUSPECTED && update.incarnation() == before.incarnation()
                    && update.processIncarnation() == before.processIncarnation()
                    && running.accusers.size() <= settings.indirectProbeHelpers()
                    && running.accusers.add(update.suspectedBy())) {
                otherMembers.put(update.name(), update);
                enqueueUpdate(update.name()); // an independent confirmation shortens the timers of the others too
            }
            return;
        }
        if (before == null && (otherMembers.size() >= MAX_MEMBERS || !update.isPresent())) {
            return;
        }
        othersPresent += (update.isPresent() ? 1 : 0) - (before != null && before.isPresent() ? 1 : 0);
        otherMembers.put(update.name(), update);
        changedAt.put(update.name(), now);
        suspicions.remove(update.name());
        if (update.state() == State.SUSPECTED) {
            Suspicion started = new Suspicion(now);
            started.accusers.add(update.suspectedBy());
            suspicions.put(update.name(), started);
        }
        if (before == null && update.isPresent()) {
            probeOrder.add(probeOrder.isEmpty() ? 0 : random.nextInt(probeOrder.size()), update.name());
        }
        enqueueUpdate(update.name());
        steps.add(new Step.StatusChanged(update, before));
    }

    /** Refutes, by a higher incarnation, an update that says this member is suspected, gone or has left. */
    private void refuteIfFalse(MemberStatus update) {
        if (!left && update.processIncarnation() == self.processIncarnation()
                && update.incarnation() >= self.incarnation()
                && update.state() != State.ALIVE) {
            self = new MemberStatus(self.name(), self.address(), self.zone(), self.processIncarnation(),
                    update.incarnation() + 1,
                    State.ALIVE, self.steady(), "");
            adjustHealth(1);
            enqueueUpdate(self.name());
        }
    }

    // ---- dissemination

    private void enqueueUpdate(String name) {
        pendingUpdates.put(name, (int) Math.ceil(RETRANSMIT_FACTOR * StrictMath.log10(size() + 9)));
    }

    /** This member's own status, and a bounded number of pending updates, those sent least often first. */
    private List<MemberStatus> piggybackedUpdates() {
        List<MemberStatus> updates = new ArrayList<>();
        updates.add(self);
        if (pendingUpdates.isEmpty()) {
            return updates;
        }
        pendingUpdates.entrySet().stream()
                .sorted(Comparator.comparing((Map.Entry<String, Integer> e) -> -e.getValue()))
                .limit(MAX_PIGGYBACKED_UPDATES).map(Map.Entry::getKey).toList().forEach(name -> {
                    MemberStatus s = otherMembers.get(name);
                    if (s != null) {
                        updates.add(s);
                    }
                    pendingUpdates.merge(name, -1, Integer::sum);
                    pendingUpdates.values().removeIf(transmissionsLeft -> transmissionsLeft <= 0);
                });
        return updates;
    }

    /** The next page of the member table, cyclically by name, with this member's own status. */
    private List<MemberStatus> nextTablePage() {
        List<MemberStatus> page = new ArrayList<>();
        page.add(self);
        List<String> names = new ArrayList<>(otherMembers.keySet());
        if (!names.isEmpty()) {
            int at = Collections.binarySearch(names, syncCursor);
            at = at < 0 ? -at - 1 : at + 1;
            for (int i = 0; i < Math.min(names.size(), MAX_UPDATES_PER_MESSAGE - 1); i++) {
                syncCursor = names.get((at + i) % names.size());
                page.add(otherMembers.get(syncCursor));
            }
        }
        return page;
    }

    /** Names of up to {@code max} members that are present, drawn uniformly without replacement. */
    private List<String> randomMembers(int max, Set<String> excluded) {
        List<String> candidates = new ArrayList<>();
        otherMembers.values().forEach(s -> {
            if (s.isPresent() && !excluded.contains(s.name())) {
                candidates.add(s.name());
            }
        });
        List<String> drawn = new ArrayList<>();
        while (drawn.size() < max && !candidates.isEmpty()) {
            int i = random.nextInt(candidates.size());
            drawn.add(candidates.set(i, candidates.get(candidates.size() - 1)));
            candidates.remove(candidates.size() - 1);
        }
        return drawn;
    }

    private void send(String to, Gossip message, List<Step> steps) {
        MemberStatus receiver = otherMembers.get(to);
        if (receiver != null) {
            steps.add(new Step.Send(to, receiver.address(), message));
        }
    }
}
