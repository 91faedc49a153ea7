/**
 * Connects the replicated domains (leases, disruptions, ejections and rollouts) to the
 * {@link topazladder.consensus.ConsensusReplica}. Each domain has an adapter that passes commands and messages between
 * the replica and the domain's own classes, which do no I/O and do not depend on consensus. One thread owns all objects
 * of this package.
 */
package topazladder.replication;
