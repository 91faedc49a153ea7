package topazladder.rig;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.DoubleSupplier;
import java.util.random.RandomGenerator;
import topazladder.emulator.Traffic;
import topazladder.emulator.Traffic.Wanted;
import topazladder.faults.RequestLedger;
import topazladder.service.Scheduler;

/** The callers of one instance, on a few connections; what that one defers they try at another, once. */
final class LiveCallers {
    private static final int CONNECTIONS = 6;
    private static final int MOST_OPEN = 30;
    private static final double HEEDED = 1;

    /** What is asked of one try, and what an answer says. */
    private record Tried(Wanted wanted, String fingerprint, double first, boolean retry, LiveCallers of) {
    }

    /** One that waits for its answer; due counts from its sending. */
    private record Open(Tried tried, double due) {
    }

    private final Vertx vertx;
    private final DoubleSupplier clock;
    private final Scheduler timers;
    private final int port;
    private final LiveRuntime machine;
    private final List<LiveCallers> all;
    private final Traffic traffic;
    private final RandomGenerator habits;
    private final double rate;
    private final double heed;
    private final double retry;
    private final double reading;
    private final double scale;
    private final NetClient client;
    private final List<Line> lines = new ArrayList<>();
    private final String name;
    private double level;
    private double heardAt = Double.NEGATIVE_INFINITY;
    private long refs;
    private long marks;
    private int turn;
    private boolean over;
    private RequestLedger requests; // null where nobody counts
    private int instance;
    private double allAsked;
    private double allEarned;
    private double from = Double.POSITIVE_INFINITY;
    private double window;
    private double[] asked = new double[0];
    private double[] earned = new double[0];

    /** @param scale of all times, beside those of the operators' brief */
    LiveCallers(Vertx vertx, DoubleSupplier clock, Scheduler timers, String name, int port, LiveRuntime machine,
            List<LiveCallers> all, List<Traffic.Kind> kinds, double rate, double[] habits, double reading,
            double scale, long seed) {
        this.vertx = vertx;
        this.clock = clock;
        this.timers = timers;
        this.name = name;
        this.port = port;
        this.machine = machine;
        this.all = all;
        this.rate = rate;
        heed = habits[0];
        retry = habits[1];
        this.reading = reading;
        this.scale = scale;
        SplittableRandom chance = new SplittableRandom(seed);
        traffic = new Traffic(chance.split(), kinds);
        this.habits = chance.split();
        client = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true).setConnectTimeout(500));
    }

    void begin() {
        for (int i = 0; i < CONNECTIONS; i++) {
            lines.add(new Line());
        }
        timers.schedule(traffic.gap(rate), this::next);
    }

    /** Each request and answer is written down, as that instance's. */
    void tellAll(RequestLedger ledger, int as) {
        requests = ledger;
        instance = as;
    }

    /** Looks for requests whose time is over. */
    void sweep() {
        lines.forEach(Line::sweep);
    }

    /** The level that was heard last. */
    double level() {
        return level;
    }

    void count(double start, double eachWindow, int windows) {
        window = eachWindow;
        asked = new double[windows];
        earned = new double[windows];
        from = start;
    }

    void end() {
        over = true;
        lines.forEach(Line::close);
        client.close();
    }

    double[] asked() {
        return asked;
    }

    double[] earned() {
        return earned;
    }

    /** Payoff asked, and earned, since the start. */
    double[] sinceStart() {
        return new double[] {allAsked, allEarned};
    }

    private int at(double time) {
        int i = (int) Math.floor((time - from) / window);
        return time < from || i >= asked.length ? -1 : i;
    }

    private void next() {
        if (over) {
            return;
        }
        Wanted w = traffic.next();
        double now = clock.getAsDouble();
        allAsked += w.kind().requestClass().priorityWeight();
        int i = at(now);
        if (i >= 0) {
            asked[i] += w.kind().requestClass().priorityWeight();
        }
        boolean heeds = habits.nextDouble() < heed;
        if (!heeds || now - heardAt > HEEDED * scale || w.rank() >= level) {
            String fingerprint = w.kind().requestClass().idempotencyWindowSeconds() > 0
                    ? String.format("%08x%024x", name.hashCode(), ++marks) : null;
            send(this, new Tried(w, fingerprint, now, false, this));
        }
        timers.schedule(traffic.gap(rate), this::next);
    }

    private static void send(LiveCallers to, Tried t) {
        to.machine.read(to.reading, () -> {
            // In turn, as one that says nothing for two seconds is closed.
            for (int i = 0; i < CONNECTIONS; i++) {
                Line line = to.lines.get(++to.turn % CONNECTIONS);
                if (line.free()) {
                    line.send(t);
                    return;
                }
            }
        });
    }

    private void answered(Tried t, int code, Map<String, String> fields, byte[] body) {
        level = Double.parseDouble(fields.getOrDefault("pressure", "0"));
        heardAt = clock.getAsDouble();
        double took = heardAt - t.first();
        if (code == 0 && took <= t.wanted().kind().requestClass().latencyObjectiveSeconds()) {
            boolean poorer = new String(body, StandardCharsets.US_ASCII).startsWith("poorer");
            int i = t.of().at(t.first());
            double payoff = t.wanted().kind().requestClass().priorityWeight()
                    * (poorer ? t.wanted().kind().requestClass().degradedValueShare() : 1);
            t.of().allEarned += payoff;
            if (i >= 0) {
                t.of().earned[i] += payoff;
            }
        } else if (code == 1 && !t.retry() && !fields.containsKey("nowhere") && habits.nextDouble() < retry) {
            List<LiveCallers> others = all.stream().filter(o -> o != this && !o.over).toList();
            if (!others.isEmpty()) {
                LiveCallers next = others.get(habits.nextInt(others.size()));
                timers.schedule(0.02 * scale, () -> send(next, new Tried(t.wanted(), t.fingerprint(), t.first(), true,
                        t.of())));
            }
        }
    }

    /** One connection, taken anew when it is lost. */
    private final class Line {
        private NetSocket socket;
        private CallerFrames.Reader reader = new CallerFrames.Reader();
        private final Map<Integer, Open> open = new HashMap<>(); // emptied by answers, and once their time is over
        private final Set<Integer> late = new HashSet<>(); // of this connection, those given up
        private int stream;
        private boolean leaving;
        private double since;

        Line() {
            connect();
        }

        private void connect() {
            client.connect(port, "127.0.0.1").onComplete(s -> {
                socket = s;
                reader = new CallerFrames.Reader();
                open.clear();
                late.clear();
                since = clock.getAsDouble();
                stream = 0;
                leaving = false;
                s.handler(more -> reader.read(more, this::take));
                s.closeHandler(v -> {
                    socket = null;
                    if (requests != null) {
                        requests.closed(instance, open.size());
                    }
                    // Nothing can come for them any more, whatever their time is.
                    open.clear();
                    late.clear();
                    again();
                });
            }, e -> again());
        }

        private void again() {
            if (!over) {
                vertx.setTimer(50, id -> {
                    if (!over) {
                        connect();
                    }
                });
            }
        }

        boolean free() {
            return socket != null && !leaving && open.size() < MOST_OPEN;
        }

        void close() {
            if (socket != null) {
                socket.close();
            }
        }

        void send(Tried t) {
            double limit = t.wanted().kind().requestClass().deadlineSeconds();
            open.put(++stream, new Open(t, clock.getAsDouble() + limit));
            if (requests != null) {
                requests.sent();
            }
            byte[] body = t.fingerprint() == null ? t.wanted().work().body()
                    : (new String(t.wanted().work().body(), StandardCharsets.US_ASCII) + ' ' + t.fingerprint())
                            .getBytes(StandardCharsets.US_ASCII);
            socket.write(CallerFrames.request(stream, body, "service", t.wanted().kind().requestClass().name(),
                    "ref", String.format("%08x%08x", name.hashCode(), ++refs),
                    "since", String.valueOf(System.currentTimeMillis()), "sender", "4", "room", "10",
                    "class_rank", String.format(Locale.ROOT, "%.4f", Math.min(0.9999, t.wanted().rank())),
                    "dup", t.retry() ? "1" : null, "replay", t.fingerprint()));
        }

        private void note(int of, Open answeredNow) {
            if (requests != null && answeredNow != null) {
                requests.answered(instance, clock.getAsDouble(), answeredNow.due());
            } else if (requests != null && !late.remove(of)) {
                requests.strange(instance, clock.getAsDouble(), of + " of " + stream + " on a connection of "
                        + Math.round((clock.getAsDouble() - since) * 1000) + " ms, " + open.keySet());
            }
        }

        void sweep() {
            double now = clock.getAsDouble() - 2 * RequestLedger.slack();
            open.entrySet().removeIf(e -> {
                boolean gone = e.getValue().due() < now;
                if (gone) {
                    requests.unanswered(instance, e.getValue().due());
                    late.add(e.getKey());
                }
                return gone;
            });
        }

        private void take(Buffer frame) {
            leaving |= CallerFrames.leaving(frame);
            CallerFrames.Answer answer = CallerFrames.answer(frame);
            if (answer != null) {
                Open answeredNow = open.remove(answer.stream());
                note(answer.stream(), answeredNow);
                if (answeredNow != null) {
                    answered(answeredNow.tried(), answer.code(), answer.fields(), answer.body());
                }
            }
            if (leaving && open.isEmpty()) {
                socket.close();
            }
        }
    }
}
