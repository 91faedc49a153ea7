/**
 * A service instance without its sockets: the way of a request from its arrival to its response.
 *
 * <p>{@link topazladder.service.RequestDispatcher} receives the events of callers, runtime and dependency, hands each
 * to the admission controller and has its decisions carried out, in order. It decides nothing itself.
 * {@link topazladder.service.InstanceLifecycle} has the phases of the instance, from its start to its graceful
 * shutdown. {@link topazladder.service.DependencyCircuitBreaker} keeps calls from a dependency that can't be reached.
 *
 * <p>The ports to the outside are interfaces, implemented over sockets by {@code topazladder.net} and in virtual time
 * by {@code topazladder.emulator}: {@link topazladder.service.ResponseListener},
 * {@link topazladder.service.ClientConnections}, {@link topazladder.service.RuntimePort},
 * {@link topazladder.service.DependencyPort} and {@link topazladder.service.Scheduler}.
 *
 * <p>All state belongs to one thread, the event loop: nothing here locks or blocks.
 */
package topazladder.service;
