package topazladder.net.hall;

import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import topazladder.hall.ConductorNode;
import topazladder.lease.LeasedTask;

/** Conducting releases, as a duty. */
record ConductWork(ConductorNode conductor) implements LeasedTask {

    @Override
    public void start(long token, Supplier<OptionalLong> leave, Consumer<String> failed) {
        conductor.start(token, leave);
    }

    @Override
    public void stop(double within, Runnable done) {
        conductor.stop();
        done.run();
    }
}
