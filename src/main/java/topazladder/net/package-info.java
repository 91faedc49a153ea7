/**
 * A service instance's sockets, on Vert.x: all state is owned by one event loop, without locks and without blocking.
 *
 * <p>{@link topazladder.net.ServiceInstance} puts the parts together. Callers come in by {@code CallerServer}, one
 * {@code CallerConnection} each; work goes out by {@code RuntimeLink}, and calls of runs by {@code DependencyClient}.
 * {@code ControlPlaneHeartbeat} reports that the instance lives, and {@link topazladder.net.WarmUp} compiles the code
 * before it listens. What is decided is decided in {@code topazladder.service} and {@code topazladder.admission}.
 *
 * <p>The rules of the protocol that the safeguards here keep: one final response for each request that was read; no
 * effect twice, though links break; and an orderly half-close, so that unread bytes never reset a connection with a
 * response on its way. {@code docs/endings.md} names the test of each.
 */
package topazladder.net;
