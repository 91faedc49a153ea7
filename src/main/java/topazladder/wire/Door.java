package topazladder.wire;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import topazladder.Brain;
import topazladder.config.BadTerms;
import topazladder.config.Terms;
import topazladder.ticket.Ending;
import topazladder.ticket.Ruling;
import topazladder.ticket.Ticket;

/** One server's door to its Brain: ids to objects, nanoseconds to seconds, and back. */
final class Door {
    private final int instance;
    private final long born;
    private final Reply reply;
    /** Emptied at the end of each batch of what the Brain no longer has in hand. */
    private final Map<Long, Ticket> tickets = new HashMap<>();
    private final Map<Ticket, Long> ids = new HashMap<>();
    /** Touched in this batch, so perhaps over; emptied at the end of each. */
    private final List<Ticket> touched = new ArrayList<>();
    private Terms terms;
    private Brain brain;
    private boolean failed;

    Door(int instance, long born, Reply reply) {
        this.instance = instance;
        this.born = born;
        this.reply = reply;
    }

    /** A fault of the decisions is told on the wire, as a fault of the wire itself must not be. */
    void guarded(Runnable step) {
        if (failed) {
            return;
        }
        try {
            step.run();
        } catch (MalformedWire | BadTerms e) {
            throw e;
        } catch (RuntimeException e) {
            failed = true;
            e.printStackTrace();
            reply.fatal(instance, e.toString());
        }
    }

    void start(long seed, String text) {
        terms = Terms.ofLines(text);
        brain = new Brain(new SplittableRandom(seed), terms.map());
        rule(brain.start(0));
    }

    void arrive(long clock, WireHost.Arrival a) {
        if (a.offering() >= terms.offerings().size()) {
            throw new MalformedWire("ticket " + a.id() + " is of an unknown class: " + a.offering());
        }
        if (!terms.customers().isEmpty() && a.customer() >= terms.customers().size()) {
            throw new MalformedWire("ticket " + a.id() + " is of an unknown tenant: " + a.customer());
        }
        if (!(a.footprint() >= 0) || !(a.rank() >= 0 && a.rank() <= 1) || a.waited() < 0 || a.left() < 0) {
            throw new MalformedWire("ticket " + a.id() + " has an impossible field");
        }
        Ticket ticket = new Ticket(terms.offerings().get(a.offering()),
                terms.customers().isEmpty() ? null : terms.customers().get(a.customer()),
                a.rank(), a.footprint(), a.waited() / 1e9, a.left() / 1e9, (a.bits() & 2) != 0,
                a.original() != 0, tickets.get(a.original()));
        tickets.put(a.id(), ticket);
        ids.put(ticket, a.id());
        touched.add(ticket);
        rule(brain.arrive(seconds(clock), ticket));
    }

    void callWanted(long clock, long id) {
        Ticket ticket = tickets.get(id);
        if (ticket != null) {
            rule(brain.callWanted(seconds(clock), ticket));
        }
    }

    void callEnded(long clock, long id, Ending ending, long elapsed) {
        Ticket ticket = tickets.get(id);
        if (ticket != null) {
            rule(brain.callEnded(seconds(clock), ticket, ending, elapsed / 1e9));
        }
    }

    void runEnded(long clock, long id, Ending ending, long elapsed) {
        Ticket ticket = tickets.get(id);
        if (ticket != null) {
            touched.add(ticket);
            rule(brain.runEnded(seconds(clock), ticket, ending, elapsed / 1e9));
        }
    }

    void callerGone(long clock, long id) {
        Ticket ticket = tickets.get(id);
        if (ticket != null) {
            touched.add(ticket);
            rule(brain.callerGone(seconds(clock), ticket));
        }
    }

    void timer(long clock, float[] readings) {
        Map<String, Double> gauges = new LinkedHashMap<>();
        for (int i = 0; i < readings.length && i < terms.gauges().size(); i++) {
            gauges.put(terms.gauges().get(i), (double) readings[i]);
        }
        rule(brain.timer(seconds(clock), gauges));
    }

    void leave(long clock, long left) {
        rule(brain.leave(seconds(clock), left / 1e9));
    }

    void sweep() {
        for (Ticket ticket : touched) {
            if (failed || !brain.inHand(ticket)) {
                tickets.remove(ids.remove(ticket));
            }
        }
        touched.clear();
    }

    private void rule(List<Ruling> rulings) {
        for (Ruling r : rulings) {
            long id = 0;
            if (r.ticket() != null) {
                id = ids.get(r.ticket());
                touched.add(r.ticket());
            }
            reply.add(instance, r, id);
        }
    }

    private double seconds(long clock) {
        return (clock - born) / 1e9;
    }
}
