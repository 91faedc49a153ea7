package topazladder.net;

import java.util.List;
import topazladder.service.Callers;
import topazladder.service.InstanceExtension;

/**
 * The callers' connections, with what the extensions still have to settle counted among them: it holds the graceful
 * shutdown back as an open connection does.
 */
record CallersAndExtensions(Callers callers, List<InstanceExtension> extensions) implements Callers {

    @Override
    public void closeIdle(double seconds) {
        callers.closeIdle(seconds);
    }

    @Override
    public void lastCall() {
        callers.lastCall();
    }

    @Override
    public int connections() {
        return callers.connections() + extensions.stream().mapToInt(InstanceExtension::busy).sum();
    }
}
