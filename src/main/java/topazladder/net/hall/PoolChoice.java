package topazladder.net.hall;

import java.util.List;
import java.util.function.DoubleSupplier;
import topazladder.below.How;
import topazladder.below.Use;
import topazladder.config.ClusterSettings.DependencyPool;
import topazladder.config.ServiceSettings.Address;
import topazladder.net.DependencyEndpointChoice;

/** The servers of the settings, used as the hall has agreed; what calls find is told to the leader. */
final class PoolChoice implements DependencyEndpointChoice {
    private final List<Address> addresses;
    private final Use use;
    private final DoubleSupplier clock;
    private final Runnable noticed;

    /** @param noticed is told that a call has ended */
    PoolChoice(DependencyPool terms, Use use, DoubleSupplier clock, Runnable noticed) {
        addresses = terms.servers().stream().map(DependencyPool.Server::address).toList();
        this.use = use;
        this.clock = clock;
        this.noticed = noticed;
    }

    @Override
    public int pick(int not) {
        return use.pick(clock.getAsDouble(), not);
    }

    @Override
    public Address at(int server) {
        return addresses.get(server);
    }

    @Override
    public boolean uses(int server) {
        Use.State s = use.state(use.terms().servers().get(server));
        return s != Use.State.OUT && s != Use.State.OWN_OUT;
    }

    @Override
    public void ended(int server, How how) {
        use.ended(clock.getAsDouble(), server, how);
        noticed.run();
    }

    @Override
    public void dropped(int server) {
        use.dropped(server);
    }

    @Override
    public boolean mayRepeat() {
        return use.mayRepeat();
    }
}
