package topazladder.disruption;

/**
 * An instance's own measurement of its recent load; sent to the leader with each lease request. Payoff is the priority
 * weight of the requests.
 *
 * @param version that the instance runs, or empty where its settings name none
 * @param spanSeconds over which the rates are measured; 0 for an instance that has measured nothing yet
 * @param offeredPerSecond payoff of the requests that arrived
 * @param servedPerSecond payoff of the requests that were served
 * @param failedPerSecond number of requests that failed
 * @param capacityPerSecond highest payoff a second that was measured; 0 for unknown
 * @param memoryMegabytes that the process holds
 */
public record LoadReport(String version, double spanSeconds, double offeredPerSecond, double servedPerSecond,
        double failedPerSecond, double capacityPerSecond, double memoryMegabytes) {

    /** Of an instance that has measured nothing yet. */
    public static final LoadReport EMPTY = new LoadReport("", 0, 0, 0, 0, 0, 0);

    /** Part of the offered payoff that was served; 1 where nothing was offered. */
    public double servedShare() {
        return offeredPerSecond <= 0 ? 1 : Math.min(1, servedPerSecond / offeredPerSecond);
    }
}
