package topazladder.request;

/**
 * One who shares the fleet.
 *
 * @param name what notes call it
 * @param share its fraction of the service
 * @param quota requests a second over the whole fleet that are within its share
 */
public record Tenant(String name, double share, double quota) {
}
