package standins;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Function;

/**
 * The runtime of one service instance. It works in ticks, as the platform's clock does (TickNs is 2 ms): in each it
 * takes the runs on, reads all commands that came, and writes what there is to tell. Runs share nothing and take the
 * time that their plan says.
 */
final class RuntimeStand implements AutoCloseable {
    private static final long TICK_NANOS = 2_000_000;
    private static final int KEPT_NOTICES = 4000;

    /** The parts of a run in milliseconds; between two of them it waits for a call. */
    interface Plan extends Function<Requests.Sent, double[]> {
    }

    /** One run, from its start to its end. */
    static final class Run {
        final Requests.Sent request;
        final double[] parts;
        final double startedAt = Record.now();
        int part;
        double partEndsAt;
        boolean waits;
        long wantsNotice;
        boolean over;
        final StringBuilder replies = new StringBuilder();

        Run(Requests.Sent request, double[] parts) {
            this.request = request;
            this.parts = parts;
            partEndsAt = startedAt + parts[0] / 1000;
        }

        /** What the call that it waits for, or waited for last, carries. */
        String callBody() {
            return request.id + "/" + part;
        }
    }

    /** One command with what follows it. */
    private record Command(Socket link, String[] words, byte[] payload) {
    }

    private record Notice(long number, byte[] bytes) {
    }

    private final Record record;
    private final Requests requests;
    private final Plan plan;
    private final double cores;
    private final List<Requests.Sent> ran = new ArrayList<>();
    private final ServerSocket server;
    private final ConcurrentLinkedQueue<Command> commands = new ConcurrentLinkedQueue<>();
    private final Map<String, Run> runs = new HashMap<>();
    private final Map<String, Integer> timesRun = new HashMap<>();
    private final List<Notice> notices = new ArrayList<>();
    private final List<String> wrongReplies = new ArrayList<>();
    private final double upAt = Record.now();
    private long lastNotice;
    private boolean loaded;
    private Socket link;
    private volatile boolean breakWanted;
    private volatile int links;
    private volatile int repliesGiven;
    private boolean synced;
    private boolean gaveInTick;

    RuntimeStand(Record record, Requests requests, int port, Plan plan) throws IOException {
        this(record, requests, port, 6, plan);
    }

    RuntimeStand(Record record, Requests requests, int port, int cores, Plan plan) throws IOException {
        this.cores = cores;
        this.record = record;
        this.requests = requests;
        this.plan = plan;
        server = new ServerSocket(port, 50, InetAddress.getByName("127.0.0.1"));
        Threads.start("runtime-accept", this::accept);
        Threads.start("runtime", this::tick);
    }

    private void accept() throws IOException {
        while (true) {
            Socket next = server.accept();
            next.setTcpNoDelay(true);
            commands.add(new Command(next, new String[] {"LINK"}, null));
            Threads.start("runtime-read", () -> read(next));
        }
    }

    private void read(Socket from) throws IOException {
        try {
            InputStream in = new BufferedInputStream(from.getInputStream());
            while (true) {
                String[] words = line(in).split(" ");
                byte[] payload = null;
                if (words[0].equals("start") || words[0].equals("give")) {
                    payload = in.readNBytes(Integer.parseInt(words[words.length - 1]));
                    in.readNBytes(2);
                }
                commands.add(new Command(from, words, payload));
            }
        } catch (IOException e) {
            commands.add(new Command(from, new String[] {"LOST"}, null));
        }
    }

    static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException();
            }
            line.append((char) next);
        }
        return line.substring(0, line.length() - 1);
    }

    private void tick() throws Exception {
        while (!server.isClosed()) {
            long began = System.nanoTime();
            List<Run> all = new ArrayList<>(runs.values());
            for (Run run : all) {
                advance(run);
            }
            gaveInTick = false;
            for (Command next = commands.poll(); next != null; next = commands.poll()) {
                take(next);
            }
            if (breakWanted && gaveInTick && link != null && synced) {
                breakWanted = false;
                record.add("runtime", "breaks the link, all commands that came carried out");
                link.setSoLinger(true, 0);
                link.close();
                link = null;
                synced = false;
            }
            long left = TICK_NANOS - (System.nanoTime() - began);
            if (left > 0) {
                Thread.sleep(left / 1_000_000, (int) (left % 1_000_000));
            }
        }
    }

    private void advance(Run run) {
        if (run.over || run.waits || Record.now() < run.partEndsAt) {
            return;
        }
        if (run.part + 1 < run.parts.length) {
            if (run.request.isOver()) {
                end(run, "KILLED", new byte[0]);
                return;
            }
            run.part++;
            run.waits = true;
            byte[] body = run.callBody().getBytes(StandardCharsets.UTF_8);
            long number = ++lastNotice;
            run.wantsNotice = number;
            record.add("runtime", "wants " + number + " " + run.request.id + " call " + run.part);
            tell(number, "wants " + number + " " + run.request.id + " " + body.length, body);
        } else {
            end(run, "PASS", ("result of " + run.request.id + run.replies).getBytes(StandardCharsets.UTF_8));
        }
    }

    private void end(Run run, String how, byte[] result) {
        run.over = true;
        runs.remove(run.request.id);
        long number = ++lastNotice;
        long millis = Math.round((Record.now() - run.startedAt) * 1000);
        record.add("runtime", "end " + number + " " + run.request.id + " " + how);
        tell(number, "end " + number + " " + run.request.id + " " + how + " " + millis + " " + result.length, result);
    }

    private void tell(long number, String words, byte[] payload) {
        byte[] head = (words + "\r\n").getBytes(StandardCharsets.UTF_8);
        byte[] whole = java.util.Arrays.copyOf(head, head.length + payload.length + 2);
        System.arraycopy(payload, 0, whole, head.length, payload.length);
        whole[whole.length - 2] = '\r';
        whole[whole.length - 1] = '\n';
        notices.add(new Notice(number, whole));
        if (notices.size() > KEPT_NOTICES) {
            notices.remove(0);
        }
        if (synced) {
            write(whole);
        }
    }

    private void write(byte[] bytes) {
        if (link == null) {
            return;
        }
        try {
            OutputStream out = link.getOutputStream();
            out.write(bytes);
        } catch (IOException e) {
            link = null;
            synced = false;
        }
    }

    private void take(Command command) throws IOException {
        if (command.words()[0].equals("LINK")) {
            if (link != null) {
                link.close();
            }
            link = command.link();
            links++;
            synced = false;
            return;
        }
        if (command.link() != link) {
            return; // of a link that was replaced
        }
        String[] words = command.words();
        switch (words[0]) {
            case "LOST" -> {
                link.close();
                link = null;
                synced = false;
            }
            case "sync" -> {
                synced = true;
                write(("ready " + (loaded ? "LOADED " : "EMPTY ") + Math.round((Record.now() - upAt) * 1000) + "\r\n")
                        .getBytes(StandardCharsets.UTF_8));
                long after = Long.parseLong(words[1]);
                notices.stream().filter(notice -> notice.number() > after).forEach(notice -> write(notice.bytes()));
            }
            case "gauges" -> {
                long busy = runs.values().stream().filter(run -> !run.waits).count();
                write(("load " + words[1] + " " + Math.min(1, busy / cores) + " " + busy + "\r\n")
                        .getBytes(StandardCharsets.UTF_8));
            }
            case "selftest" -> write(("verdict " + words[1] + " PASS\r\n").getBytes(StandardCharsets.UTF_8));
            case "start" -> started(words[1], words[2], command.payload());
            case "give" -> given(words[1], new String(command.payload(), StandardCharsets.UTF_8));
            case "omit" -> omitted(words[1], Long.parseLong(words[2]));
            default -> link.close();
        }
    }

    private void started(String id, String serviceClass, byte[] body) {
        if (!requests.isKnown(id, serviceClass, body)) {
            write(("nack start " + id + "\r\n").getBytes(StandardCharsets.UTF_8));
            return;
        }
        if (runs.containsKey(id)) {
            record.add("runtime", "start " + id + " again: it runs already");
            return;
        }
        Requests.Sent request = requests.find(id);
        if (request.isOver()) {
            long number = ++lastNotice;
            record.add("runtime", "start " + id + " of a request that is over: NOOP");
            tell(number, "end " + number + " " + id + " NOOP 0 0", new byte[0]);
            return;
        }
        loaded = true;
        synchronized (ran) {
            ran.add(request);
        }
        int times = timesRun.merge(id, 1, Integer::sum);
        record.add("runtime", "runs " + id + " " + serviceClass + (times > 1 ? " for the " + times + ". time" : ""));
        runs.put(id, new Run(request, plan.apply(request)));
    }

    private void given(String id, String reply) {
        Run run = runs.get(id);
        if (run == null || !run.waits) {
            record.add("runtime", "give " + id + " passed over, as no call is waited for: " + reply);
            return;
        }
        repliesGiven++;
        gaveInTick = true;
        boolean right = reply.equals(IndexStand.replyTo(run.callBody()));
        record.add("runtime", "give " + id + " for call " + run.part + (right ? "" : " IS NOT ITS REPLY: " + reply));
        if (!right) {
            synchronized (wrongReplies) {
                wrongReplies.add(id + " call " + run.part + " of " + run.callBody() + " was given: " + reply);
            }
        }
        run.replies.append(" with ").append(reply);
        goOn(run);
    }

    private void omitted(String id, long notice) {
        Run run = runs.get(id);
        if (run != null && run.waits && run.wantsNotice == notice) {
            record.add("runtime", "omit " + id + " call " + run.part);
            goOn(run);
        }
    }

    private void goOn(Run run) {
        run.waits = false;
        run.partEndsAt = Record.now() + run.parts[run.part] / 1000;
    }

    /** Breaks the link at the end of the next tick in which it has read a reply and carried out all that came. */
    void breakLink() {
        breakWanted = true;
    }

    int links() {
        return links;
    }

    int repliesGiven() {
        return repliesGiven;
    }

    /** What was run, in that order; a request stands here once for each of its runs. */
    List<Requests.Sent> ran() {
        synchronized (ran) {
            return List.copyOf(ran);
        }
    }

    /** Replies that a run was given for another call than the one that they answer. */
    List<String> wrongReplies() {
        synchronized (wrongReplies) {
            return List.copyOf(wrongReplies);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
