package topazladder.request;

/**
 * One of the parties that share the fleet.
 *
 * @param name its name in the settings and in messages
 * @param share its fraction of the service, from 0 to 1
 * @param quota requests per second, over the whole fleet, that are within its share
 */
public record Tenant(String name, double share, double quota) {
}
