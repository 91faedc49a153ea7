package topazladder.search;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Goes through all states that a protocol can come to, nearest first, up to a depth and a number of states; so the
 * first break found is a shortest one. States are kept as hashes and frontiers as the choices that lead there, since
 * the state machines are the program's own and can't be copied: each step is played from the start.
 */
public final class Explorer {

    /**
     * What a search came to.
     *
     * @param states that differ, by their hashes
     * @param steps taken from them
     * @param depth up to which all states were seen
     * @param whole whether there was nothing beyond
     * @param broken in words, or null
     * @param way the choices that lead to what is broken
     */
    public record Found(long states, long steps, int depth, boolean whole, String broken, List<String> way) {
    }

    private Explorer() {}

    public static Found explore(Supplier<? extends Model> start, int depth, long mostStates) {
        Set<Long> seen = ConcurrentHashMap.newKeySet();
        AtomicLong steps = new AtomicLong();
        AtomicReference<int[]> broken = new AtomicReference<>();
        seen.add(Fingerprint.of(start.get().parts()));
        List<int[]> frontier = List.of(new int[0]);
        int at = 0;
        while (at < depth && !frontier.isEmpty() && seen.size() < mostStates && broken.get() == null) {
            List<int[]> next = frontier.parallelStream().mapMulti((int[] path, Consumer<int[]> out) -> {
                int choices = led(start, path).choices().size();
                for (int c = 0; c < choices && broken.get() == null && seen.size() < mostStates; c++) {
                    Model m = led(start, path);
                    m.take(c);
                    steps.incrementAndGet();
                    int[] further = Arrays.copyOf(path, path.length + 1);
                    further[path.length] = c;
                    if (m.broken() != null) {
                        broken.compareAndSet(null, further);
                    } else if (seen.add(Fingerprint.of(m.parts()))) {
                        out.accept(further);
                    }
                }
            }).toList();
            frontier = next;
            at += broken.get() == null && seen.size() < mostStates ? 1 : 0;
        }
        if (broken.get() == null) {
            return new Found(seen.size(), steps.get(), at, frontier.isEmpty(), null, List.of());
        }
        Model m = start.get();
        List<String> way = new ArrayList<>();
        for (int c : broken.get()) {
            way.add(m.choices().get(c));
            m.take(c);
        }
        return new Found(seen.size(), steps.get(), at, false, m.broken(), way);
    }

    private static Model led(Supplier<? extends Model> start, int[] path) {
        Model m = start.get();
        for (int c : path) {
            m.take(c);
        }
        return m;
    }
}
