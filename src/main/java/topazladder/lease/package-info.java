/**
 * Leases for tasks that only one member of the cluster may run at a time, such as consuming a queue or controlling a
 * rollout.
 *
 * <p>The package consists of three state machines, which do no I/O and have no clock or thread of their own:
 *
 * <ul>
 * <li>{@link topazladder.lease.LeaseStateMachine}, replicated to every voter by consensus, records which member holds
 * which lease under which fencing token. It contains no times, as the voters' clocks differ.
 * <li>{@link topazladder.lease.LeaseManager}, on the leader of the consensus group, answers members' polls, decides
 * which member is granted which lease, and proposes the expiry of leases that were not renewed.
 * <li>{@link topazladder.lease.LeaseHolder}, on each member, polls the leader, tracks the expiry of its leases by its
 * own clock, and starts and stops the tasks.
 * </ul>
 *
 * <p>Together they guarantee:
 *
 * <ol>
 * <li>A fencing token of a lease is granted once, and each grant has a higher token than the one before.
 * <li>A lease is granted again only once its holder has stopped, or the lease has expired at the holder for certain:
 * the holder counts from before its request, the leader from its response, with slack for clocks that run fast or slow
 * by up to {@link topazladder.lease.LeaseSettings#MAX_CLOCK_DRIFT}.
 * <li>A leader sends no response before a majority of the voters has confirmed, in a round that began after the request
 * arrived, that it leads.
 * </ol>
 */
package topazladder.lease;
