package topazladder.rig;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.DoubleSupplier;

/** What a rig did and saw, a line each with its time; written by several threads. */
final class Happenings {
    private final DoubleSupplier clock;
    private final List<String> lines = new ArrayList<>();

    /** @param clock seconds since the rig began */
    Happenings(DoubleSupplier clock) {
        this.clock = clock;
    }

    synchronized void add(String what) {
        lines.add(String.format(Locale.ROOT, "%.3f rig %s", clock.getAsDouble(), what));
    }

    synchronized void clear() {
        lines.clear();
    }

    synchronized List<String> all() {
        return List.copyOf(lines);
    }
}
