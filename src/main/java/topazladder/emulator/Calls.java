package topazladder.emulator;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import topazladder.request.Outcome;
import topazladder.service.DependencyPort;
import topazladder.service.RequestDispatcher;

/**
 * One instance's calls to what lies below, in virtual time: each takes the work its body names from the shared slots
 * and is abandoned when its patience ends, whichever comes first; the end is told to the dispatcher once. The same for
 * every trial of the emulator, so that calls cost alike in all of them.
 */
final class Calls implements DependencyPort {
    /** Seconds that a message takes from one part to the next. */
    static final double LINK = 0.0005;

    private final Timeline time;
    private final Below below;
    /** Put before each ref where several instances share the slots below, so that their refs do not meet. */
    private final String prefix;
    private final Map<String, Double> begun = new HashMap<>(); // one a call; emptied as it ends
    private RequestDispatcher dispatcher;

    Calls(Timeline time, Below below, String prefix) {
        this.time = time;
        this.below = below;
        this.prefix = prefix;
    }

    /** The dispatcher is made with this as its index port, so it is known only after. */
    void answerTo(RequestDispatcher to) {
        dispatcher = to;
    }

    /** A run wants a call: the dispatcher hears of it a link later. */
    void wanted(String ref, long notice, byte[] body) {
        time.schedule(LINK, () -> dispatcher.dependencyCallRequested(ref, notice, body));
    }

    @Override
    public void call(String ref, double patience, boolean repeatable, byte[] body) {
        double mine = time.getAsDouble();
        begun.put(ref, mine);
        below.call(prefix + ref, Double.parseDouble(new String(body, StandardCharsets.US_ASCII)),
                () -> ended(ref, mine, Outcome.SUCCEEDED));
        time.schedule(patience, () -> ended(ref, mine, Outcome.TIMED_OUT));
    }

    private void ended(String ref, double at, Outcome how) {
        if (begun.remove(ref, at)) {
            if (how != Outcome.SUCCEEDED) {
                below.giveUp(prefix + ref);
            }
            time.schedule(LINK, () -> dispatcher.dependencyCallEnded(ref, how, new byte[] {'y'}));
        }
    }

    @Override
    public void cancel(String ref) {
        begun.remove(ref);
        below.giveUp(prefix + ref);
    }
}
