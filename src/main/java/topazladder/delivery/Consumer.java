package topazladder.delivery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazladder.config.QueueSettings;
import topazladder.config.QueueSettings.Route;
import topazladder.config.SettingsReader;
import topazladder.delivery.BrokerPort.Publication;
import topazladder.delivery.Delivery.Properties;
import topazladder.delivery.Mapping.Mapped;
import topazladder.delivery.Outcomes.Outcome;
import topazladder.delivery.Outcomes.What;
import topazladder.delivery.Outcomes.Why;
import topazladder.delivery.Remembered.Settlement;
import topazladder.request.RequestClass.Idempotency;
import topazladder.service.AdmissionLevel;
import topazladder.service.Counters;
import topazladder.service.Counters.Count;
import topazladder.service.InFlightRequest;
import topazladder.service.RequestDispatcher;
import topazladder.service.Response;
import topazladder.service.Response.Status;
import topazladder.service.ResponseListener;
import topazladder.service.Scheduler;

/**
 * Deliveries of one broker as requests of the dispatcher: each that came gets exactly one outcome while its link lives,
 * and
 * none afterwards, as the broker then brings it again. It does no I/O.
 */
public final class Consumer {
    private static final Logger LOG = LoggerFactory.getLogger(Consumer.class);
    /** Set on what is dead-lettered: why. */
    static final String REASON = "x-topazladder-reason";
    /** Results that wait for the broker's confirmation. */
    private static final int MOST_REPLY_BYTES = 4 << 20;
    /** Seconds until a publication that failed is tried again, doubled each time. */
    private static final double FIRST_WAIT = 0.1;
    private static final int MOST_PUBLISHED = 5;
    private static final double LEAST_DELAY = 0.1;

    private enum Phase {
        /** The module has its request. */
        IN_MODULE,
        /** Its turn to go back has not come. */
        AWAITING_TURN,
        /** A reply or a copy is published and not confirmed. */
        PUBLISHING,
        /** It has its outcome. */
        SETTLED,
        /** Its link went first: the broker brings it again. */
        LOST
    }

    private final class Open implements ResponseListener {
        final Queue queue;
        final Delivery delivery;
        final Mapped mapped;
        Phase phase = Phase.IN_MODULE;
        What outcome = What.ACKNOWLEDGE;
        InFlightRequest inFlight;
        long publication;
        int published;
        Publication what;
        boolean reply;

        Open(Queue queue, Delivery delivery, Mapped mapped) {
            this.queue = queue;
            this.delivery = delivery;
            this.mapped = mapped;
        }

        @Override
        public void onResponse(Response a) {
            answered(this, a.status(), a);
        }

        @Override
        public void onInvalidRequest(Response a) {
            answered(this, null, a);
        }

        @Override
        public void onHealth(boolean good, AdmissionLevel level) {
            throw new IllegalStateException("no delivery asks for health");
        }
    }

    private final class Queue {
        final QueueSettings terms;
        final Prefetch prefetch;
        final Pace returns;
        /** By tag; emptied by outcomes and as the link goes. */
        final Map<Long, Open> open = new LinkedHashMap<>();
        double highestRank = 1;

        Queue(QueueSettings terms) {
            this.terms = terms;
            prefetch = new Prefetch(terms.maxPrefetch());
            returns = new Pace(terms.requeuesPerSecond());
        }
    }

    private final DoubleSupplier clock;
    private final Scheduler timers;
    private final RequestDispatcher dispatcher;
    private final Counters counters;
    private final Supplier<String> requestIds;
    private final BrokerPort port;
    private final Mapping mapping;
    private final Map<String, Queue> queues = new LinkedHashMap<>();
    private final Remembered remembered = new Remembered();
    /** By number; emptied by confirmations and as the link goes. */
    private final Map<Long, Open> publications = new HashMap<>();
    private long lastPublication;
    private int replyBytes;
    private boolean leaving;

    public Consumer(DoubleSupplier clock, Scheduler timers, RequestDispatcher dispatcher, Counters counters,
            Supplier<String> requestIds,
            BrokerPort port, SettingsReader terms, List<QueueSettings> queues) {
        this.clock = clock;
        this.timers = timers;
        this.dispatcher = dispatcher;
        this.counters = counters;
        this.requestIds = requestIds;
        this.port = port;
        mapping = new Mapping(terms);
        queues.forEach(q -> this.queues.put(q.queue(), new Queue(q)));
    }

    /** Deliveries that have no outcome yet and can still get one. */
    public int open() {
        return queues.values().stream().mapToInt(q -> q.open.size()).sum();
    }

    /** The same of one queue. */
    public int open(String queue) {
        return queues.get(queue).open.size();
    }

    public int window(String queue) {
        return queues.get(queue).prefetch.window();
    }

    public boolean leaving() {
        return leaving;
    }

    // ---- From the link

    public void delivered(Delivery d) {
        Queue q = queues.get(d.queue());
        double now = clock.getAsDouble();
        counters.add(Count.DELIVERIES_RECEIVED);
        Mapped m = mapping.map(d, q.terms, requestIds.get(), now);
        Open o = new Open(q, d, m);
        q.open.put(d.tag(), o);
        if (q.open.size() >= q.prefetch.window()) {
            q.prefetch.filled();
        }
        Settlement before = m.why() == null && d.redelivered() ? settlementBefore(d, m.tries(), now) : null;
        if (m.why() != null) {
            settle(o, Outcomes.dead(Why.NOT_MAPPED), m.why());
        } else if (before != null) {
            acknowledgeAgain(o, before);
        } else if (d.redelivered() && mayHaveRunUnknown(m, q.terms)) {
            settleInDoubt(o);
        } else if (leaving) {
            settleLeaving(o, m.tries());
        } else {
            q.highestRank = Math.max(m.arrival().rank(), q.highestRank * 0.95);
            o.inFlight = dispatcher.dispatch(m.arrival(), o);
        }
    }

    /** How it was settled if this is its acknowledgement that was lost, or null. */
    private Settlement settlementBefore(Delivery d, int tries, double now) {
        Settlement before = remembered.settlement(d, tries, now);
        if (before == null) {
            remembered.noLongerUnsettled(d, tries);
        }
        return before;
    }

    /** Its acknowledgement was lost on the way. */
    private void acknowledgeAgain(Open o, Settlement before) {
        LOG.info("broker delivery acknowledged again queue={} message_id={} tries={} rejections={} settled_by={}"
                + " settled_rejections={}", o.queue.terms.queue(), o.delivery.properties().messageId(),
                o.mapped.tries(), o.delivery.rejections(), before.outcome(), before.rejections());
        counters.add(Count.DELIVERIES_ACKNOWLEDGED);
        acknowledge(o, before);
    }

    /** Whether it may have run elsewhere, or here before all that is remembered, so that it must not run again. */
    private boolean mayHaveRunUnknown(Mapped m, QueueSettings terms) {
        return switch (m.requestClass().idempotency()) {
            case RETRY_SAFE -> false;
            case AT_MOST_ONCE -> true;
            case IDEMPOTENT_BY_KEY -> !terms.runUnknownRedelivered()
                    && !dispatcher.knowsIdempotencyKey(m.arrival().idempotencyKey(),
                            m.arrival().arrivedAtUnixSeconds());
        };
    }

    /**
     * A copy on the delay route comes as a new message, which whoever gets it runs: none is made of this one, whether
     * this instance stays or leaves.
     */
    private void settleInDoubt(Open o) {
        if (leaving && o.mapped.requestClass().idempotency() == Idempotency.IDEMPOTENT_BY_KEY) {
            settleLeaving(o, o.mapped.tries()); // handed back as it is: another instance may know its key
        } else {
            settle(o, Outcomes.dead(Why.MAY_HAVE_RUN), "it came before, and nothing is known of it");
        }
    }

    /** All that is open will come again, on the next link. */
    public void linkLost() {
        queues.values().forEach(this::lost);
        publications.clear();
    }

    /** The same for one queue, whose channel ended. */
    public void channelLost(String queue) {
        lost(queues.get(queue));
    }

    private void lost(Queue q) {
        List<Open> all = new ArrayList<>(q.open.values());
        q.open.clear();
        for (Open o : all) {
            counters.add(Count.DELIVERIES_LOST);
            Phase was = o.phase;
            o.phase = Phase.LOST;
            rememberUnsettled(o);
            letGo(o);
            // One without an effect is run again when it comes again; one with an effect goes on, and its result is
            // kept.
            if (was == Phase.IN_MODULE && o.inFlight != null
                    && o.mapped.requestClass().idempotency() == Idempotency.RETRY_SAFE) {
                dispatcher.callerDisconnected(o.inFlight);
            }
        }
    }

    /** @param ok the broker has it; else it came back or was refused */
    public void published(long number, boolean ok) {
        Open o = publications.remove(number);
        if (o == null || o.phase != Phase.PUBLISHING) {
            return;
        }
        if (o.reply) {
            counters.add(ok ? Count.REPLIES_CONFIRMED : Count.REPLIES_UNROUTABLE);
            letGo(o);
            acknowledge(o);
        } else if (ok) {
            acknowledge(o);
        } else if (o.published < MOST_PUBLISHED) {
            timers.schedule(FIRST_WAIT * StrictMath.pow(2, o.published), () -> {
                if (o.phase == Phase.PUBLISHING) {
                    publish(o, o.what);
                }
            });
        } else {
            // No route to where it should wait: the queue's own dead-lettering is what is left.
            counters.add(Count.DELIVERIES_DEAD_LETTERED);
            reject(o, false);
        }
    }

    // ---- From the dispatcher

    private void answered(Open o, Status status, Response a) {
        o.queue.prefetch.ended(status == Status.REJECTED);
        if (o.phase == Phase.LOST) {
            if (status == Status.SERVED) {
                remembered.noLongerUnsettled(o.delivery, o.mapped.tries());
                remembered.settled(o.delivery, o.mapped.tries(),
                        new Settlement(What.ACKNOWLEDGE, o.delivery.rejections()), clock.getAsDouble());
            }
            return;
        }
        if (o.phase != Phase.IN_MODULE) {
            return; // handed back before it began
        }
        Outcome outcome = Outcomes.of(status, o.mapped.requestClass().idempotency(), tries(o), o.queue.terms, leaving);
        String replyTo = o.delivery.properties().replyTo();
        if (outcome.what() == What.ACKNOWLEDGE && replyTo != null && !replyTo.isEmpty()) {
            reply(o, replyTo, a.body());
        } else {
            settle(o, outcome, status == null ? "it can't be decided on" : reasonWord(status), a.retryAfterSeconds());
        }
    }

    /** The word for the status in the header {@link #REASON}, which brokers and their users already know. */
    static String reasonWord(Status status) {
        return switch (status) {
            case SERVED -> "honoured";
            case REJECTED -> "deferred";
            case FAILED -> "broken_off";
        };
    }

    private int tries(Open o) {
        return o.mapped.tries() + remembered.returns(o.delivery, o.mapped.tries());
    }

    private void reply(Open o, String replyTo, byte[] result) {
        if (replyBytes + result.length > MOST_REPLY_BYTES) {
            // Its effect is done; waiting for room would bring it again and again.
            counters.add(Count.REPLIES_DROPPED);
            acknowledge(o);
            return;
        }
        replyBytes += result.length;
        o.reply = true;
        counters.add(Count.REPLIES_SENT);
        // The default exchange takes it to the queue of that name.
        publish(o, new Publication("", replyTo, Map.of(), new Properties(null, o.delivery.properties()
                .correlationId(), null,
                null, 0, 0, -1), 0, result));
    }

    /** Gives back the room of a result that was confirmed, or whose link is gone. */
    private void letGo(Open o) {
        if (o.reply) {
            o.reply = false;
            replyBytes -= o.what.body().length;
        }
    }

    // ---- Outcomes

    private void settle(Open o, Outcome outcome, String reason) {
        settle(o, outcome, reason, 0);
    }

    private void settle(Open o, Outcome outcome, String reason, double stayAway) {
        double now = clock.getAsDouble();
        o.outcome = outcome.what();
        switch (outcome.what()) {
            case ACKNOWLEDGE -> acknowledge(o);
            case HAND_BACK -> {
                counters.add(Count.DELIVERIES_HANDED_BACK);
                reject(o, true);
            }
            case RETURN -> {
                o.phase = Phase.AWAITING_TURN;
                remembered.returned(o.delivery, o.mapped.tries(), now);
                timers.schedule(Math.max(stayAway, o.queue.returns.turn(now)), () -> {
                    if (o.phase == Phase.AWAITING_TURN) {
                        counters.add(Count.DELIVERIES_REQUEUED);
                        reject(o, true);
                    }
                });
            }
            case DELAY -> {
                Map<String, String> headers = new LinkedHashMap<>(o.delivery.headers());
                headers.putIfAbsent(Mapping.FIRST_EXCHANGE, o.delivery.exchange());
                headers.putIfAbsent(Mapping.FIRST_KEY, o.delivery.routingKey());
                countThisTry(o, headers);
                copy(o, o.queue.terms.delayRoute(), headers, Math.max(LEAST_DELAY, stayAway));
            }
            case DEAD_LETTER -> {
                Route route = o.queue.terms.deadLetterRoute();
                if (route == null) {
                    counters.add(Count.DELIVERIES_DEAD_LETTERED);
                    reject(o, false);
                } else {
                    Map<String, String> headers = new LinkedHashMap<>(o.delivery.headers());
                    headers.put(REASON, outcome.why().name().toLowerCase(Locale.ROOT).replace('_', ' ') + ": "
                            + reason);
                    if (o.mapped.why() == null) {
                        countThisTry(o, headers); // it may be sent again
                    }
                    copy(o, route, headers, 0);
                }
            }
        }
    }

    /** All tries: a copy has no x-death, and must not bear the number of what it replaces. */
    private void countThisTry(Open o, Map<String, String> headers) {
        headers.put(Mapping.TRIES, String.valueOf(tries(o) + 1));
    }

    private void copy(Open o, Route route, Map<String, String> headers, double delay) {
        publish(o, new Publication(route.exchange(), route.routingKey().isEmpty() ? o.delivery.routingKey()
                : route.routingKey(), headers, o.delivery.properties(), delay, o.delivery.body()));
    }

    private void publish(Open o, Publication what) {
        o.phase = Phase.PUBLISHING;
        o.what = what;
        o.published++;
        o.publication = ++lastPublication;
        publications.put(o.publication, o);
        port.publish(o.publication, what);
    }

    private void acknowledge(Open o) {
        counters.add(switch (o.outcome) {
            case DELAY -> Count.DELIVERIES_DELAYED;
            case DEAD_LETTER -> Count.DELIVERIES_DEAD_LETTERED;
            default -> Count.DELIVERIES_ACKNOWLEDGED;
        });
        acknowledge(o, new Settlement(o.outcome, o.delivery.rejections()));
    }

    private void acknowledge(Open o, Settlement settlement) {
        if (o.mapped.why() == null) {
            remembered.settled(o.delivery, o.mapped.tries(), settlement, clock.getAsDouble());
        }
        close(o);
        port.acknowledge(o.queue.terms.queue(), o.delivery.tag());
    }

    private void reject(Open o, boolean back) {
        rememberUnsettled(o);
        close(o);
        port.reject(o.queue.terms.queue(), o.delivery.tag(), back);
    }

    private void rememberUnsettled(Open o) {
        if (o.mapped.why() == null) {
            remembered.unsettled(o.delivery, o.mapped.tries(), clock.getAsDouble());
        }
    }

    private void close(Open o) {
        if (o.phase == Phase.SETTLED || o.phase == Phase.LOST) {
            throw new IllegalStateException("a second outcome for " + o.delivery.tag() + " of " + o.delivery.queue());
        }
        o.phase = Phase.SETTLED;
        publications.remove(o.publication, o);
        o.queue.open.remove(o.delivery.tag(), o);
    }

    // ---- Leaving, and the window

    /** Nothing new is taken, and all that has not begun goes back at once. */
    public void leave() {
        if (leaving) {
            return;
        }
        leaving = true;
        for (Queue q : queues.values()) {
            port.stop(q.terms.queue());
            for (Open o : List.copyOf(q.open.values())) {
                boolean unbegun = o.phase == Phase.AWAITING_TURN
                        || o.phase == Phase.IN_MODULE && o.inFlight != null
                                && dispatcher.cancelIfNotStarted(o.inFlight);
                if (unbegun) {
                    settleLeaving(o, tries(o));
                }
            }
        }
    }

    /** Settles one that this instance, which leaves, does not run; at most as many as the window are open then. */
    private void settleLeaving(Open o, int tries) {
        Idempotency idempotency = o.mapped.requestClass().idempotency();
        Outcome outcome = Outcomes.of(Status.REJECTED, idempotency, tries, o.queue.terms, true);
        LOG.info("broker delivery settled during shutdown queue={} message_id={} redelivered={} idempotency={}"
                + " outcome={}", o.queue.terms.queue(), o.delivery.properties().messageId(), o.delivery.redelivered(),
                idempotency, outcome.what());
        settle(o, outcome, "leaving");
    }

    /** To be called a few times a second. */
    public void look() {
        double now = clock.getAsDouble();
        for (Queue q : queues.values()) {
            if (q.prefetch.look(now, q.highestRank, dispatcher.admissionLevel(), replyBytes > MOST_REPLY_BYTES / 2)
                    && !leaving) {
                port.prefetch(q.terms.queue(), q.prefetch.window());
            }
        }
    }
}
