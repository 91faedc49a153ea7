package topazladder.net.cluster;

import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import topazladder.cluster.RolloutControllerNode;
import topazladder.lease.LeasedTask;

/** Runs the rollout controller while this member holds its lease. */
record RolloutControllerTask(RolloutControllerNode controller) implements LeasedTask {

    @Override
    public void start(long fencingToken, Supplier<OptionalLong> permission, Consumer<String> onFailure) {
        controller.start(fencingToken, permission);
    }

    @Override
    public void stop(double withinSeconds, Runnable onStopped) {
        controller.stop();
        onStopped.run();
    }
}
