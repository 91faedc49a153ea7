package topazladder.service;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazladder.service.Counters.Count;

/**
 * Answers health checks by the status that the admission controller has set; before it has, deep checks go to the
 * runtime.
 */
final class HealthChecks {
    private static final Logger LOG = LoggerFactory.getLogger(HealthChecks.class);

    private enum Status { UNKNOWN, HEALTHY, UNHEALTHY }

    private final RuntimePort runtime;
    private final Responder responder;
    private final Counters counters;
    /** Deep checks by id; emptied by their results, and as their callers disconnect or the runtime does. */
    private final Map<Long, ResponseListener> pending = new LinkedHashMap<>();
    private long lastCheckId;
    private Status status = Status.UNKNOWN;

    HealthChecks(RuntimePort runtime, Responder responder, Counters counters) {
        this.runtime = runtime;
        this.responder = responder;
        this.counters = counters;
    }

    boolean isHealthy() {
        return status == Status.HEALTHY;
    }

    void setHealthy(boolean healthy) {
        Status next = healthy ? Status.HEALTHY : Status.UNHEALTHY;
        if (next != status) {
            LOG.info("health changed status={}", healthy ? "healthy" : "unhealthy");
        }
        status = next;
    }

    void check(ResponseListener listener, boolean deep) {
        counters.add(Count.HEALTH_CHECKS_RECEIVED);
        if (status == Status.UNKNOWN && deep) {
            pending.put(++lastCheckId, listener);
            runtime.requestHealthCheck(lastCheckId);
        } else {
            listener.onHealth(isHealthy(), responder.level());
        }
    }

    void abandon(ResponseListener listener) {
        pending.values().remove(listener);
    }

    void complete(long checkId, boolean healthy) {
        ResponseListener listener = pending.remove(checkId);
        if (listener != null) {
            listener.onHealth(healthy, responder.level());
        }
    }

    /** Checks that were requested on a lost link are not requested again: whoever waits would wait for ever. */
    void runtimeDisconnected() {
        List<ResponseListener> unanswered = List.copyOf(pending.values());
        pending.clear();
        unanswered.forEach(listener -> listener.onHealth(false, responder.level()));
    }
}
