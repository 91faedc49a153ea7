package topazladder.net.cluster;

import java.util.List;
import java.util.function.DoubleSupplier;
import topazladder.config.ClusterSettings.DependencyPool;
import topazladder.config.ServiceSettings.Address;
import topazladder.endpoint.CallOutcome;
import topazladder.endpoint.EndpointSelector;
import topazladder.net.DependencyEndpointChoice;

/**
 * Chooses among the dependency endpoints that the settings name, less those that the cluster or this instance has
 * ejected, and feeds the outcomes of calls back into outlier detection.
 */
final class PoolEndpointChoice implements DependencyEndpointChoice {
    private final List<Address> addresses;
    private final EndpointSelector pool;
    private final DoubleSupplier clock;
    private final Runnable onCallEnded;

    /** @param onCallEnded is run after the outcome of each call was recorded */
    PoolEndpointChoice(DependencyPool settings, EndpointSelector pool, DoubleSupplier clock, Runnable onCallEnded) {
        addresses = settings.servers().stream().map(DependencyPool.Server::address).toList();
        this.pool = pool;
        this.clock = clock;
        this.onCallEnded = onCallEnded;
    }

    @Override
    public int pick(int excluded) {
        return pool.pick(clock.getAsDouble(), excluded);
    }

    @Override
    public Address address(int endpoint) {
        return addresses.get(endpoint);
    }

    @Override
    public boolean isInUse(int endpoint) {
        EndpointSelector.State state = pool.state(pool.settings().endpoints().get(endpoint));
        return state != EndpointSelector.State.OUT && state != EndpointSelector.State.OWN_OUT;
    }

    @Override
    public void callEnded(int endpoint, CallOutcome how) {
        pool.callEnded(clock.getAsDouble(), endpoint, how);
        onCallEnded.run();
    }

    @Override
    public void callAbandoned(int endpoint) {
        pool.callAbandoned(endpoint);
    }

    @Override
    public boolean isRetryPermitted() {
        return pool.tryAcquireRetry();
    }
}
