/**
 * Disruption budgets: how many instances, and how many dependencies, may be unavailable at once by agreement.
 *
 * <ul>
 * <li>{@link topazladder.disruption.DisruptionStateMachine}, replicated to every voter by consensus, says what is
 * unavailable or waits to be, and checks every grant against the budgets once more.
 * <li>{@link topazladder.disruption.DisruptionController}, on the leader among the voters, proposes: whose turn it is,
 * who is lost, who has returned and is steady again.
 * <li>{@link topazladder.disruption.ThroughputMeter}, on each instance, measures what the leader compares instances by.
 * </ul>
 *
 * <p>A disruption goes through {@link topazladder.disruption.Disruption.Phase}: asked, granted, gone, returning. From
 * the grant until the target is steady again it uses the budgets that cover it. Instances that a signal ends, or that
 * nobody hears, use them as well, so that faults and agreed disruptions never add up to more than the budgets allow.
 */
package topazladder.disruption;
