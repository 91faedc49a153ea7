package topazladder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import topazladder.ticket.Ending;
import topazladder.ticket.Offering;
import topazladder.ticket.Offering.Repeats;
import topazladder.ticket.Ruling;
import topazladder.ticket.Ruling.What;
import topazladder.ticket.Ticket;

/** One Brain behind a desk that writes down each happening and what was ruled on it. */
final class Desk {
    static final Offering READ = new Offering("read", Repeats.RETRIABLE, 2, 5, 1, 0, 0, true, 0.5);
    static final Offering PLACE = new Offering("place", Repeats.FINGERPRINTED, 2, 5, 10, 0, 12, true, 0);
    static final Offering LATE = new Offering("late", Repeats.FINGERPRINTED, 2, 5, 10, 0.5, 12, true, 0);
    static final Offering ISSUE = new Offering("issue", Repeats.BINDING, 2, 5, 10, 0, 0, true, 0);

    private final Map<String, Object> terms = new LinkedHashMap<>(Map.of("cores", 1.0, "memory", 1000.0,
            "run-factor", 8.0, "fingerprint-footprint", 50.0, "tick", 0.1, "drain-grace", 1.0,
            "fall-multiple", 8.0, "stay-away", true, "stay-away-most", 1.0, "level-unit", "min_rank"));
    private final Map<String, Ticket> tickets = new LinkedHashMap<>();
    private final Map<Ticket, String> names = new LinkedHashMap<>();
    private final Set<Ticket> started = new LinkedHashSet<>();
    private final StringBuilder trace = new StringBuilder();
    private final Map<String, Double> gauges = new LinkedHashMap<>(Map.of("core-use", 1.0));
    private Brain brain;
    private double now;

    Desk with(String name, Object value) {
        terms.put(name, value);
        return this;
    }

    Desk open() {
        terms.putIfAbsent("offerings", List.of(READ, PLACE, LATE, ISSUE));
        brain = new Brain(new SplittableRandom(1), terms);
        write("start", brain.start(0));
        return this;
    }

    Desk gauge(String name, double value) {
        gauges.put(name, value);
        return this;
    }

    Desk at(double time) {
        now = time;
        return this;
    }

    Desk arrive(String name, Offering offering) {
        return arrive(name, offering, 0.3, 0, null);
    }

    Desk arrive(String name, Offering offering, double rank, double waited, String repeats) {
        Ticket ticket = new Ticket(offering, null, offering.payoff() > 1 ? 0.5 + rank / 2 : rank, 10, waited, 0,
                repeats != null, repeats != null, tickets.get(repeats));
        tickets.put(name, ticket);
        names.put(ticket, name);
        String how = waited > 0 ? " after " + seconds(waited) + " unread" : "";
        write(name + " arrives" + how + (repeats != null ? ", repeating " + repeats : ""),
                brain.arrive(now, ticket));
        return this;
    }

    Desk wantsCall(String name) {
        write(name + " wants a call", brain.callWanted(now, tickets.get(name)));
        return this;
    }

    Desk callEnds(String name, Ending ending) {
        return callEnds(name, ending, 0.1);
    }

    Desk callEnds(String name, Ending ending, double took) {
        write("call of " + name + " ends " + ending, brain.callEnded(now, tickets.get(name), ending, took));
        return this;
    }

    /** Plays what only leads up to a scene, and leaves it out of the trace. */
    Desk quietly(Consumer<Desk> scene) {
        int length = trace.length();
        scene.accept(this);
        trace.setLength(length);
        return this;
    }

    /** Two tickets for each that one core finishes, their ranks spread evenly; only what the level does is kept. */
    Desk flood(double seconds, double run) {
        for (int i = 0; now < seconds; i++) {
            String name = "f" + i;
            double rank = (i * 7 % 20) / 20.0;
            quietly(d -> d.arrive(name, READ, rank, 0, null).arrive(name + "b", READ, rank, 0, null));
            until(now + run);
            for (Ticket running : List.copyOf(started)) {
                quietly(d -> d.runEnds(names.get(running), Ending.OK));
            }
        }
        return this;
    }

    Desk runEnds(String name, Ending ending) {
        started.remove(tickets.get(name));
        write("run of " + name + " ends " + ending, brain.runEnded(now, tickets.get(name), ending, 0.4));
        return this;
    }

    Desk callerGone(String name) {
        write("caller of " + name + " gone", brain.callerGone(now, tickets.get(name)));
        return this;
    }

    Desk leave(double left) {
        write("leave within " + seconds(left), brain.leave(now, left));
        return this;
    }

    /** Lets the timers run up to a time; those that rule nothing are not written down. */
    Desk until(double time) {
        while (now + 0.1 <= time + 1e-9) {
            now += 0.1;
            List<Ruling> rulings = brain.timer(now, gauges);
            if (rulings.size() > 1) {
                write("timer", rulings);
            }
        }
        return this;
    }

    /** What was played is left in target/traces, to be read and kept where a change is meant. */
    void matches(String name) {
        try (InputStream kept = Desk.class.getResourceAsStream("/traces/" + name + ".txt")) {
            Files.createDirectories(Path.of("target/traces"));
            Files.writeString(Path.of("target/traces", name + ".txt"), trace);
            assertThat(kept).as("trace kept for " + name).isNotNull();
            assertThat(trace.toString()).isEqualTo(new String(kept.readAllBytes(), StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void write(String happening, List<Ruling> rulings) {
        trace.append(String.format(Locale.ROOT, "%6.2f  %s\n", now, happening));
        for (Ruling r : rulings) {
            if (r.what() != What.WAKE) {
                trace.append("          ").append(text(r)).append('\n');
            }
            if (r.what() == What.START) {
                started.add(r.ticket());
            }
        }
    }

    private String text(Ruling r) {
        String what = r.what().name().toLowerCase(Locale.ROOT).replace('_', ' ');
        String ticket = r.ticket() == null ? "" : " " + names.get(r.ticket());
        return what + ticket + switch (r.what()) {
            case DEFER -> (r.number() > 0 ? ", back in " + seconds(r.number()) : "")
                    + (r.yes() ? ", not elsewhere" : "");
            case CALL, REMEMBER -> " for " + seconds(r.number());
            case POST -> String.format(Locale.ROOT, " %.3f", r.number());
            case CLOSE_IDLE -> " after " + seconds(r.number());
            case HEALTH -> r.yes() ? " good" : " bad";
            case NOTE -> " " + r.text();
            default -> "";
        };
    }

    private static String seconds(double s) {
        return String.format(Locale.ROOT, "%.2f s", s);
    }
}
