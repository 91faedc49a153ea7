package topazladder.net;

import java.util.List;
import topazladder.service.ClientConnections;
import topazladder.service.InstanceExtension;

/**
 * The callers' connections, with what the extensions still have to settle counted among them: it holds the graceful
 * shutdown back as an open connection does.
 */
record CallersAndExtensions(ClientConnections callers,
        List<InstanceExtension> extensions) implements ClientConnections {

    @Override
    public void closeIdle(double idleSeconds) {
        callers.closeIdle(idleSeconds);
    }

    @Override
    public void stopAccepting() {
        callers.stopAccepting();
    }

    @Override
    public int openConnections() {
        return callers.openConnections() + extensions.stream().mapToInt(InstanceExtension::pendingWork).sum();
    }
}
