package topazladder.ticket;

/**
 * One who shares the fleet.
 *
 * @param name what notes call it
 * @param share its fraction of the service
 * @param quota tickets a second over the whole fleet that are within its share
 */
public record Customer(String name, double share, double quota) {
}
