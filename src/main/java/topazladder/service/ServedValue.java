package topazladder.service;

/**
 * Sums of priority weights over the requests of an instance since its start.
 *
 * @param offered of all requests that were received
 * @param served of those whose run succeeded and was answered
 */
public record ServedValue(double offered, double served) {
}
