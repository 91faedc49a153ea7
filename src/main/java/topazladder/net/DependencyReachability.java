package topazladder.net;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazladder.config.ServiceSettings.Address;
import topazladder.service.DependencyCircuitBreaker;

/** Whether the dependency accepts connections; logs each change and feeds the circuit breaker, if there is one. */
final class DependencyReachability {
    private static final Logger LOG = LoggerFactory.getLogger(DependencyReachability.class);
    private static final double NANOS_PER_SECOND = 1e9;

    private DependencyCircuitBreaker circuitBreaker; // null: every call tries
    private boolean reachable = true;

    void guardBy(DependencyCircuitBreaker breaker) {
        circuitBreaker = breaker;
    }

    /** Whether a new connection is worth an attempt. */
    boolean isAttemptPermitted() {
        return circuitBreaker == null || circuitBreaker.isCallPermitted(nowSeconds());
    }

    void connected(Address address) {
        if (!reachable) {
            LOG.info("dependency reachable address={}:{}", address.host(), address.port());
        }
        reachable = true;
        if (circuitBreaker != null) {
            circuitBreaker.onSuccess();
        }
    }

    void refused(Address address) {
        if (reachable) {
            LOG.warn("dependency unreachable address={}:{}", address.host(), address.port());
        }
        reachable = false;
        if (circuitBreaker != null) {
            circuitBreaker.onConnectionRefused(nowSeconds());
        }
    }

    private static double nowSeconds() {
        return System.nanoTime() / NANOS_PER_SECOND;
    }
}
