package topazladder.warmstart;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.DoubleSupplier;
import topazladder.request.LearnedEstimate;
import topazladder.request.LearnedEstimate.Kind;

/**
 * The learned estimates that one instance has received from others and passes on. Each kind and subject is handed to
 * admission control once: handed over again, the same samples would count twice in its means.
 */
public final class EstimateExchange {
    private final Origin self;
    private final DoubleSupplier clock;
    private final Set<Kind> excludedKinds;
    private final Set<String> handedOver = new HashSet<>(); // no more than kinds times request classes
    private SharedEstimates received = SharedEstimates.EMPTY;
    private long lastVersion;

    /**
     * Creates an instance's store, empty.
     *
     * @param here this instance
     * @param clock monotonic seconds
     * @param excludedKinds kinds that are passed on but not handed to admission control
     */
    public EstimateExchange(Origin here, DoubleSupplier clock, Collection<Kind> excludedKinds) {
        this.self = here;
        this.clock = clock;
        this.excludedKinds = excludedKinds.isEmpty() ? EnumSet.noneOf(Kind.class)
                : EnumSet.copyOf(excludedKinds);
    }

    /** This instance. */
    public Origin self() {
        return self;
    }

    /** Takes in a peer's facts, apart from implausible ones and this instance's own; returns how many were taken. */
    public int receive(Collection<SharedEstimate> facts) {
        List<SharedEstimate> accepted =
                facts.stream().filter(SharedEstimate::isPlausible).filter(fact -> !fact.origin().isSameProcess(self))
                        .toList();
        received = received.with(accepted).bounded(clock.getAsDouble());
        return accepted.size();
    }

    /** The estimates that admission control was not handed yet, as they apply to this instance now. */
    public List<LearnedEstimate> newEstimates() {
        List<LearnedEstimate> estimates = new ArrayList<>();
        for (LearnedEstimate estimate : received.estimatesFor(self, clock.getAsDouble())) {
            if (!excludedKinds.contains(estimate.kind())
                    && handedOver.add(estimate.kind() + "/" + estimate.subject())) {
                estimates.add(estimate);
            }
        }
        return estimates;
    }

    /**
     * The share for a peer: this instance's own estimates as they are now, and those received, under their origins.
     *
     * @param own estimates of this instance
     */
    public SharedEstimates createShare(Collection<LearnedEstimate> own) {
        double now = clock.getAsDouble();
        long version = ++lastVersion;
        received = received.bounded(now);
        return received.with(own.stream().map(estimate -> new SharedEstimate(estimate.kind(), estimate.subject(), self,
                estimate.value(), estimate.weight(), now - estimate.ageSeconds(), version))
                .filter(SharedEstimate::isPlausible)
                .toList());
    }

    /** Facts of other instances that are kept now. */
    public int receivedCount() {
        return received.size();
    }
}
