package topazladder;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A runtime whose every run succeeds after the same while; it writes down which runs were started and when. */
final class ServingRuntime implements AutoCloseable {

    /** One command to start a run. */
    record Start(String requestId, String requestClass, long atUnixMillis) {
    }

    private final StandInLineServer server = new StandInLineServer();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(r -> daemon(r, "runs"));
    private final List<Start> starts = new CopyOnWriteArrayList<>();
    private final int runMillis;
    private boolean recording;
    private int notices;

    ServingRuntime(int runMillis) throws IOException {
        this.runMillis = runMillis;
    }

    String address() {
        return server.address();
    }

    /** From now on each start is kept. */
    synchronized void record() {
        recording = true;
    }

    List<Start> starts() {
        return List.copyOf(starts);
    }

    /** Waits for the instance, and serves it on a thread of its own. */
    void open() throws IOException {
        server.accept();
        daemon(this::serve, "runtime").start();
    }

    private void serve() {
        try {
            for (String line = server.receive(); !line.equals(StandInLineServer.CLOSED); line = server.receive()) {
                handle(line.split(" "));
            }
        } catch (IOException e) {
            return; // the instance has ended, or nobody wants anything any more
        }
    }

    private void handle(String[] words) throws IOException {
        switch (words[0]) {
            case "sync" -> say(ServiceInstanceFixture.READY_LOADED);
            case "start" -> {
                server.receivePayload(Integer.parseInt(words[3]));
                started(new Start(words[1], words[2], System.currentTimeMillis()));
                timer.schedule(() -> end(words[1]), runMillis, TimeUnit.MILLISECONDS);
            }
            case "selftest" -> say("verdict " + words[1] + " PASS\r\n");
            default -> throw new IOException("no command of this test: " + words[0]);
        }
    }

    private synchronized void started(Start start) {
        if (recording) {
            starts.add(start);
        }
    }

    private synchronized void say(String text) throws IOException {
        server.send(text);
    }

    private synchronized void end(String requestId) {
        try {
            server.send("end " + ++notices + " " + requestId + " PASS " + runMillis + " 2\r\nok\r\n");
        } catch (IOException e) {
            timer.shutdown(); // the instance has ended
        }
    }

    private static Thread daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    @Override
    public void close() throws IOException {
        timer.shutdownNow();
        server.close();
    }
}
