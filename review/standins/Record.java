package standins;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run: a line each in record.txt, with seconds since the start of the case. */
final class Record implements AutoCloseable {
    private static final long BEGAN = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    static double now() {
        return (System.nanoTime() - BEGAN) / 1e9;
    }

    synchronized void add(String who, String what) {
        out.printf("%9.4f %-10s %s%n", now(), who, what);
    }

    /** A line of the record that is printed as well. */
    synchronized void say(String what) {
        add("case", what);
        System.out.printf("%8.3f %s%n", now(), what);
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
