package topazladder.endpoint;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Balances one instance's calls over the endpoints of its dependency, and detects outliers among them. Ejections that
 * the cluster agreed on take precedence over what this instance observes. By itself it ejects an endpoint only with
 * the leader's permission, or, while it hears from no leader, up to a small share of the endpoints. While most
 * endpoints look unhealthy it ejects none: its own network path is then the likelier cause.
 *
 * <p>No I/O; all calls come on one thread. Times are in seconds.
 */
public class EndpointSelector {
    /** Seconds without a directive of the leader after which this instance decides by itself. */
    static final double LEADER_LOST_SECONDS = 12;
    /** Retry budget: the part of a retry that each call earns, which bounds retries to a tenth of the calls. */
    private static final double RETRIES_EARNED_PER_CALL = 0.1;
    private static final double MAX_SAVED_RETRIES = 10;

    /** Whether and why this instance sends calls to an endpoint. */
    public enum State {
        IN_USE,
        /** Ejected by the cluster. */
        OUT,
        /** In slow start after an ejection by the cluster. */
        RETURNING,
        /** Ejected by this instance alone. */
        OWN_OUT,
        /** In slow start after an ejection by this instance alone. */
        OWN_RETURNING
    }

    /**
     * Settings.
     *
     * @param endpoints names of the endpoints, in a fixed order
     * @param maxOwnEjectionShare largest share of the endpoints that one instance may eject by itself
     */
    public record Settings(List<String> endpoints, double maxOwnEjectionShare) {

        /** Endpoints that one instance may eject by itself. None of two: the other would have to take all the load. */
        int maxOwnEjections() {
            return endpoints.size() < 3 ? 0 : Math.max(1, (int) (maxOwnEjectionShare * endpoints.size()));
        }
    }

    private static final class Endpoint {
        private final String name;
        private final EndpointHealthTracker health = new EndpointHealthTracker();
        private State state = State.IN_USE;
        private double stateSince;
        private long token;
        private int failedReturns; // from ejections by this instance alone
        private int inFlight;

        Endpoint(String name) {
            this.name = name;
        }
    }

    private final Settings settings;
    private final RandomGenerator random;
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final Map<String, Endpoint> byName = new HashMap<>();
    private Set<String> ejectionPermitted = Set.of(); // by the leader, for this instance alone
    private double leaderHeardAt = Double.NEGATIVE_INFINITY;
    private double firstUsedAt = Double.NaN;
    private long term;
    private double aftermathUntil = Double.NEGATIVE_INFINITY;
    private double savedRetries = MAX_SAVED_RETRIES;
    private Map<String, EndpointHealth> reportedLooks = Map.of();

    public EndpointSelector(Settings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
        for (String name : settings.endpoints()) {
            Endpoint endpoint = new Endpoint(name);
            endpoints.add(endpoint);
            byName.put(name, endpoint);
        }
    }

    // ---- calls

    /**
     * Chooses the endpoint for a call: of two drawn at random by weight, the one with fewer calls in flight relative
     * to its weight. The call counts as in flight until {@link #callEnded} or {@link #callAbandoned}.
     *
     * @param excluded index of an endpoint that the call has already been to, or -1
     * @return the index of the endpoint, or -1 if none is available
     */
    public int pick(double now, int excluded) {
        updateStates(now);
        double[] weights = new double[endpoints.size()];
        double sum = 0;
        for (int i = 0; i < weights.length; i++) {
            weights[i] = i == excluded ? 0 : weight(now, endpoints.get(i));
            sum += weights[i];
        }
        if (sum <= 0) {
            return -1;
        }
        int first = draw(weights, sum);
        int second = draw(weights, sum);
        Endpoint a = endpoints.get(first);
        Endpoint b = endpoints.get(second);
        int chosen = a.inFlight / weights[first] <= b.inFlight / weights[second] ? first : second;
        endpoints.get(chosen).inFlight++;
        return chosen;
    }

    private int draw(double[] weights, double sum) {
        double x = random.nextDouble() * sum;
        int last = -1;
        for (int i = 0; i < weights.length; i++) {
            if (weights[i] > 0) {
                last = i;
                x -= weights[i];
                if (x < 0) {
                    break;
                }
            }
        }
        return last;
    }

    /** Records the outcome of a call to the endpoint of that index. */
    public void callEnded(double now, int index, CallOutcome outcome) {
        Endpoint endpoint = endpoints.get(index);
        endpoint.inFlight = Math.max(0, endpoint.inFlight - 1);
        endpoint.health.add(now, outcome);
        savedRetries = Math.min(MAX_SAVED_RETRIES, savedRetries + RETRIES_EARNED_PER_CALL);
        updateStates(now);
    }

    /** Records that a call to the endpoint of that index was abandoned before it showed anything about it. */
    public void callAbandoned(int index) {
        endpoints.get(index).inFlight = Math.max(0, endpoints.get(index).inFlight - 1);
    }

    /**
     * Takes a retry from the budget, for a call that certainly did not run. The budget keeps retries from feeding a
     * retry storm.
     *
     * @return whether the call may go to another endpoint
     */
    public boolean tryAcquireRetry() {
        if (savedRetries < 1) {
            return false;
        }
        savedRetries--;
        return true;
    }

    /** Current share of its usual load that an endpoint gets. */
    private double weight(double now, Endpoint endpoint) {
        return switch (endpoint.state) {
            case IN_USE -> 1;
            case OUT, OWN_OUT -> 0;
            case RETURNING, OWN_RETURNING -> slowStartFraction(now - endpoint.stateSince);
        };
    }

    /** Share of its usual load that an endpoint gets after so many seconds of slow start. */
    protected double slowStartFraction(double seconds) {
        return SlowStart.fraction(seconds);
    }

    // ---- ejections

    /**
     * Applies the leader's directives about all endpoints; those of an earlier term are ignored.
     *
     * @param leaderTerm term of the leader that sent them
     */
    public void applyDirectives(double now, long leaderTerm, List<EjectionDirective> directives) {
        if (leaderTerm < term) {
            return;
        }
        term = leaderTerm;
        leaderHeardAt = now;
        Map<String, EjectionDirective> agreed = new HashMap<>();
        directives.stream().filter(d -> d.kind() != EjectionDirective.Kind.MAY_EJECT)
                .forEach(d -> agreed.put(d.endpoint(), d));
        ejectionPermitted = directives.stream().filter(d -> d.kind() == EjectionDirective.Kind.MAY_EJECT)
                .map(EjectionDirective::endpoint)
                .collect(Collectors.toSet());
        for (Endpoint endpoint : endpoints) {
            EjectionDirective directive = agreed.get(endpoint.name);
            if (directive == null) {
                if (endpoint.state == State.OUT || endpoint.state == State.RETURNING) {
                    enter(endpoint, State.IN_USE, now);
                }
            } else if (directive.kind() == EjectionDirective.Kind.OUT) {
                if (endpoint.state != State.OUT) {
                    enter(endpoint, State.OUT, now - directive.ageSeconds());
                }
            } else if (endpoint.state != State.RETURNING || endpoint.token != directive.token()
                    || now - directive.ageSeconds() > endpoint.stateSince + 1) {
                endpoint.health.reset();
                enter(endpoint, State.RETURNING, now - directive.ageSeconds());
            }
            endpoint.token = directive == null ? 0 : directive.token();
        }
        updateStates(now);
    }

    /** Makes the transitions that follow from elapsed time and this instance's own calls. */
    private void updateStates(double now) {
        boolean mostUnhealthy = mostUnhealthy(now);
        if (mostUnhealthy) {
            aftermathUntil = now + OutlierDetector.AFTERMATH_SECONDS;
        }
        boolean inAftermath = now < aftermathUntil;
        for (Endpoint endpoint : endpoints) {
            EndpointHealth look = endpoint.health.look(now);
            boolean mayEject = mayEject(ejectionPermitted.contains(endpoint.name), isLeaderLost(now),
                    endpoints.stream().filter(e -> e != endpoint && e.state != State.IN_USE).count());
            if (endpoint.state == State.IN_USE && look == EndpointHealth.ILL && !inAftermath && mayEject) {
                enter(endpoint, State.OWN_OUT, now);
            } else if (endpoint.state == State.OWN_OUT
                    && (now - endpoint.stateSince >= EjectionBackoff.seconds(endpoint.failedReturns) || mostUnhealthy
                            || !mayEject)) {
                // The backoff is over, or the permission: a leader is heard again, and decides what stays ejected.
                endpoint.health.reset();
                enter(endpoint, State.OWN_RETURNING, now);
            } else if (endpoint.state == State.OWN_RETURNING && look == EndpointHealth.ILL && !mostUnhealthy
                    && mayEject) {
                endpoint.failedReturns++;
                enter(endpoint, State.OWN_OUT, now);
            } else if (endpoint.state == State.OWN_RETURNING
                    && now - endpoint.stateSince >= SlowStart.durationSeconds()) {
                endpoint.failedReturns = 0;
                enter(endpoint, State.IN_USE, now);
            }
        }
    }

    /**
     * Whether this instance may eject an endpoint by itself.
     *
     * @param permitted whether the leader permits it
     * @param leaderLost whether this instance hears from no leader
     * @param othersEjected number of other endpoints that are ejected, or in slow start after an ejection
     */
    protected boolean mayEject(boolean permitted, boolean leaderLost, long othersEjected) {
        return permitted || leaderLost && othersEjected < settings.maxOwnEjections();
    }

    /** Whether no leader was heard for so long that this instance decides by itself. */
    public boolean isLeaderLost(double now) {
        firstUsedAt = Double.isNaN(firstUsedAt) ? now : firstUsedAt; // a new instance has yet to hear from the leader
        return now - Math.max(firstUsedAt, leaderHeardAt) > LEADER_LOST_SECONDS;
    }

    private boolean mostUnhealthy(double now) {
        long unhealthy = endpoints.stream().filter(e -> e.state == State.OWN_OUT || e.state == State.OUT
                || e.health.look(now) == EndpointHealth.ILL).count();
        long tried = endpoints.stream().filter(e -> e.state == State.OWN_OUT || e.state == State.OUT
                || e.health.look(now) != EndpointHealth.UNTRIED).count();
        return isMajorityUnhealthy(unhealthy, tried);
    }

    /** Whether so many endpoints look unhealthy that this instance or its network path is the likelier cause. */
    protected boolean isMajorityUnhealthy(long unhealthy, long tried) {
        return 2 * unhealthy > tried;
    }

    private static void enter(Endpoint endpoint, State state, double since) {
        endpoint.state = state;
        endpoint.stateSince = since;
    }

    // ---- reports

    /** This instance's view of all endpoints, for the leader. */
    public List<EndpointReport> reports(double now) {
        List<EndpointReport> reports = new ArrayList<>();
        Map<String, EndpointHealth> looks = new HashMap<>();
        for (Endpoint endpoint : endpoints) {
            EndpointReport observed = endpoint.health.report(now, endpoint.name);
            // An endpoint ejected here gets no calls and would soon be reported as untried, which hides the failure.
            reports.add(endpoint.state == State.OWN_OUT
                    ? new EndpointReport(endpoint.name, EndpointHealth.ILL, Math.max(observed.calls(), 1),
                            observed.failures())
                    : observed);
            looks.put(endpoint.name, reports.get(reports.size() - 1).health());
        }
        reportedLooks = looks;
        return reports;
    }

    /** Whether an endpoint became unhealthy, or ceased to be, since the last {@link #reports}. */
    public boolean hasNews(double now) {
        updateStates(now);
        return endpoints.stream().anyMatch(endpoint -> {
            EndpointHealth current = endpoint.state == State.OWN_OUT ? EndpointHealth.ILL : endpoint.health.look(now);
            EndpointHealth reported = reportedLooks.getOrDefault(endpoint.name, EndpointHealth.UNTRIED);
            return current == EndpointHealth.ILL != (reported == EndpointHealth.ILL);
        });
    }

    public State state(String endpoint) {
        return byName.get(endpoint).state;
    }

    public Settings settings() {
        return settings;
    }

    /** State, health and calls in flight of each endpoint by name, for operators. */
    public Map<String, String> describe(double now) {
        Map<String, String> described = new TreeMap<>();
        endpoints.forEach(e -> described.put(e.name, e.state + " " + e.health.look(now) + " in hand " + e.inFlight));
        return described;
    }
}
