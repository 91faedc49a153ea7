/**
 * Disruption budgets: how many instances, and how many dependency endpoints, may be unavailable at once.
 *
 * <ul>
 * <li>{@link topazladder.disruption.DisruptionStateMachine}, replicated to every voter by consensus, holds what is
 * unavailable or waits to be, and checks every grant against the budgets.
 * <li>{@link topazladder.disruption.DisruptionController}, on the leader, proposes commands: which request is granted,
 * and which instances are lost, have returned, or are steady again.
 * <li>{@link topazladder.disruption.ThroughputMeter}, on each instance, measures the load by which the leader compares
 * the instances.
 * </ul>
 *
 * <p>A disruption goes through {@link topazladder.disruption.Disruption.Phase}: asked, granted, gone, returning. From
 * the grant until the target is steady again it uses the budgets that cover it. Instances that a signal ends, or that
 * no member hears from, use them as well, so that nothing is granted beside failures beyond what the budgets allow.
 */
package topazladder.disruption;
