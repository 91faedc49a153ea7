package topazladder.emulator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import topazladder.broker.Ledger;

/**
 * Which rules a schedule of {@link DeliveryTrial} broke, by what the machines and the broker wrote down and nothing of
 * the program's own.
 */
final class DeliveryAudit {
    /** Seconds from the arrival of a request that is run, within which no other try of it may be run. */
    private static final double WINDOW = 13.671;
    /** Seconds for what was read before the grace ended and is told to the runtime after it. */
    private static final double ON_ITS_WAY = 0.2;

    /**
     * Where one run began.
     *
     * @param arrived when its caller's request came, or {@code at} for a delivery
     * @param reached when its request came to the instance, from a caller or a broker
     */
    record Run(String instance, long message, String requestClass, double at, double arrived, double reached) {
    }

    /**
     * An instance as the schedule ends.
     *
     * @param graceEnds infinite for one that was not told to leave
     * @param open deliveries that have no end
     */
    record Holder(String name, double graceEnds, int open) {
    }

    private final Ledger ledger;
    private final List<Run> runs;
    private final Map<Long, String> published;

    /** @param published the request class of each message, by its number */
    DeliveryAudit(Ledger ledger, List<Run> runs, Map<Long, String> published) {
        this.ledger = ledger;
        this.runs = runs;
        this.published = published;
    }

    /**
     * All that was broken, a line each.
     *
     * @param done numbers of the messages of which a run passed
     * @param there numbers of those that lie on a queue
     */
    List<String> breaks(List<Holder> holders, Set<Long> done, Set<Long> there) {
        List<String> breaks = new ArrayList<>();
        ledger.deliveriesWithoutExactlyOneEnd().forEach(d -> breaks.add("a delivery without exactly one end: " + d));
        addSecondRuns(breaks);
        for (Holder holder : holders) {
            addWhatDrainLeft(holder, breaks);
        }
        published.forEach((number, requestClass) -> {
            if (!done.contains(number) && !there.contains(number)) {
                breaks.add("message " + number + ", " + requestClass + ", is gone and never ran to its end");
            }
        });
        return breaks;
    }

    private void addSecondRuns(List<String> breaks) {
        Map<String, List<Run>> byScope = new LinkedHashMap<>();
        for (Run run : runs) {
            byScope.computeIfAbsent(scope(run), key -> new ArrayList<>()).add(run);
        }
        byScope.forEach((scope, all) -> {
            for (int i = 1; i < all.size(); i++) {
                if (isSecondEffect(all.get(i - 1), all.get(i))) {
                    breaks.add("a second run of " + scope + ": " + all.get(i - 1) + ", " + all.get(i));
                }
            }
        });
    }

    /** Where no second run may be: anywhere, or at the same instance. */
    private static String scope(Run run) {
        return (run.requestClass().equals("invoice") ? "" : run.instance() + " ") + "message " + run.message();
    }

    private static boolean isSecondEffect(Run first, Run second) {
        return switch (second.requestClass()) {
            case "invoice" -> true;
            case "order-place" -> second.reached() - first.reached() < WINDOW;
            default -> false;
        };
    }

    private void addWhatDrainLeft(Holder holder, List<String> breaks) {
        runs.stream().filter(run -> run.instance().equals(holder.name())
                && run.at() > holder.graceEnds() + ON_ITS_WAY && run.arrived() > holder.graceEnds())
                .forEach(run -> breaks.add("run past the grace: " + run));
        if (holder.open() > 0) {
            breaks.add(holder.name() + " still holds " + holder.open() + " deliveries");
        }
    }
}
