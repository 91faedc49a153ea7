package topazladder.disruption;

/**
 * What an instance served lately, by its own count; sent to the leader with each lease request. Payoff is the priority
 * weight of the requests.
 *
 * @param version it runs, or empty where its settings name none
 * @param spanSeconds over which the rates are taken; 0 for an instance that has counted nothing yet
 * @param offeredPerSecond payoff of the requests that arrived
 * @param servedPerSecond payoff of the requests that it served
 * @param failedPerSecond requests that failed
 * @param capacityPerSecond the most payoff that it has been seen to serve; 0 for unknown
 * @param memoryMegabytes that the process holds
 */
public record LoadReport(String version, double spanSeconds, double offeredPerSecond, double servedPerSecond,
        double failedPerSecond, double capacityPerSecond, double memoryMegabytes) {

    /** Of an instance that has counted nothing yet. */
    public static final LoadReport EMPTY = new LoadReport("", 0, 0, 0, 0, 0, 0);

    /** Part of the offered payoff that was served; 1 where nothing was offered. */
    public double servedShare() {
        return offeredPerSecond <= 0 ? 1 : Math.min(1, servedPerSecond / offeredPerSecond);
    }
}
