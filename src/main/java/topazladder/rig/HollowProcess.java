package topazladder.rig;

import io.vertx.core.json.JsonObject;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A process of hollow members, as whoever started it sees it: commands go to its standard input, a line each, and one
 * line of JSON comes back for each. It ends when its input does, so that none is left behind.
 */
public final class HollowProcess implements AutoCloseable {
    private static final long END_SECONDS = 20;
    private static final String READY = "ready";

    private final Process process;
    private final PrintWriter commands;
    private final BufferedReader answers;
    private final HollowPlan plan;

    private HollowProcess(Process process, HollowPlan plan) {
        this.process = process;
        this.plan = plan;
        commands = new PrintWriter(new OutputStreamWriter(process.getOutputStream(), StandardCharsets.UTF_8), true);
        answers = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    }

    /** Starts it; {@link #awaitReady} says when its members are up. */
    static HollowProcess start(HollowPlan plan, int heapMb) throws IOException {
        Path file = plan.folder().resolve(plan.prefix() + ".json");
        plan.write(file);
        Path log = plan.folder().resolve(plan.prefix() + ".log");
        ProcessBuilder builder = new ProcessBuilder(Programs.java(), "-XX:+UseSerialGC", "-Xmx" + heapMb + "m",
                "-XX:TieredStopAtLevel=1", "-Djava.net.preferIPv4Stack=true", "-Dvertx.disableDnsResolver=true", "-jar",
                Programs.jar().toString(), "experiment", "hollow-members", file.toString());
        builder.redirectError(ProcessBuilder.Redirect.to(log.toFile()));
        return new HollowProcess(builder.start(), plan);
    }

    void awaitReady() throws IOException {
        String line = answers.readLine();
        if (!READY.equals(line)) {
            throw new IOException("hollow members " + plan.prefix() + " did not start: " + line);
        }
    }

    HollowPlan plan() {
        return plan;
    }

    ProcessUsage usage() throws IOException {
        return ProcessUsage.of(process.pid());
    }

    HollowSample sample(boolean collect) throws IOException {
        return HollowSample.of(ask(new JsonObject().put("do", "sample").put("collect", collect)));
    }

    void stop(int from, int count, boolean inOrder) throws IOException {
        ask(new JsonObject().put("do", "stop").put("from", from).put("count", count).put("inOrder", inOrder));
    }

    void restart(int which, long downMs) throws IOException {
        ask(new JsonObject().put("do", "restart").put("which", which).put("downMs", downMs));
    }

    int knowToBeGone(List<String> names) throws IOException {
        return ask(new JsonObject().put("do", "gone").put("names", names)).getInteger("know");
    }

    private synchronized JsonObject ask(JsonObject command) throws IOException {
        commands.println(command.encode());
        String line = answers.readLine();
        if (line == null) {
            throw new IOException("hollow members " + plan.prefix() + " have ended");
        }
        return new JsonObject(line);
    }

    @Override
    public void close() throws InterruptedException {
        commands.close();
        if (!process.waitFor(END_SECONDS, TimeUnit.SECONDS)) {
            process.destroyForcibly().waitFor();
        }
    }

    /** The other side: runs the members, and does what it is told until its input ends. */
    public static void run(HollowPlan plan) throws Exception {
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        try (HollowMembers members = new HollowMembers(plan)) {
            System.out.println(READY);
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                System.out.println(carryOut(members, new JsonObject(line)).encode());
            }
        }
    }

    private static JsonObject carryOut(HollowMembers members, JsonObject command) throws Exception {
        switch (command.getString("do")) {
            case "sample" -> {
                return members.sample(command.getBoolean("collect")).json();
            }
            case "stop" -> members.stop(command.getInteger("from"), command.getInteger("count"),
                    command.getBoolean("inOrder"));
            case "restart" -> members.restart(command.getInteger("which"), command.getLong("downMs"));
            case "gone" -> {
                List<String> names = new ArrayList<>();
                command.getJsonArray("names").forEach(n -> names.add((String) n));
                return new JsonObject().put("know", members.knowToBeGone(names));
            }
            default -> throw new IllegalArgumentException("no such command: " + command.encode());
        }
        return new JsonObject().put("done", true);
    }
}
