package topazladder.disruption;

/**
 * What an instance did of late, by its own count; said to the group's leader with each ask.
 *
 * @param version it runs, or empty where its settings name none
 * @param span seconds over which the rates are taken; 0 for an instance that has counted nothing yet
 * @param asked payoff a second that was asked of it
 * @param served payoff a second that it served
 * @param failed requests a second that it broke off
 * @param capacity the most payoff a second that it has been seen to honour; 0 for unknown
 * @param megabytes of memory that it holds
 */
public record LoadReport(String version, double span, double asked, double served, double failed, double capacity,
        double megabytes) {

    public static final LoadReport NOTHING = new LoadReport("", 0, 0, 0, 0, 0, 0);

    /** Part of what was asked that was served; 1 where nothing was asked. */
    public double share() {
        return asked <= 0 ? 1 : Math.min(1, served / asked);
    }
}
