/**
 * Leases: work that one member of the cluster at a time may do, such as consuming a queue or conducting a rollout.
 *
 * <p>Three state machines, all without I/O, clock or thread of their own:
 *
 * <ul>
 * <li>{@link topazladder.lease.LeaseStateMachine}, replicated to every voter by consensus, says who holds which lease
 * under which fencing token. It knows no times, as the voters' clocks differ.
 * <li>{@link topazladder.lease.LeaseManager}, on the leader among the voters, answers members' polls, decides who is
 * granted what, and proposes the expiry of leases that have run out.
 * <li>{@link topazladder.lease.LeaseHolder}, on each member, polls the leader, counts its leases down by its own
 * clock, and starts and stops the work.
 * </ul>
 *
 * <p>Together they keep three promises:
 *
 * <ol>
 * <li>A fencing token is granted once, and the tokens of a lease only grow.
 * <li>A lease is granted again only once its holder has stopped, or its time has surely run out: the holder counts
 * from before its request, the leader from after its response, with slack for clocks that run up to
 * {@link topazladder.lease.LeaseSettings#MAX_CLOCK_DRIFT} fast or slow.
 * <li>No response leaves a leader before a majority of the voters has confirmed, after the request came, that it leads.
 * </ol>
 */
package topazladder.lease;
