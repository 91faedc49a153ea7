/**
 * The domains that the voters agree on, registered with the {@link topazladder.consensus.ConsensusReplica}: for each an
 * adapter that carries commands and messages between the replica and the domain's own classes, which do no I/O and know
 * nothing of consensus. One thread owns all of it.
 */
package topazladder.replication;
