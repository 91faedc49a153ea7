/**
 * Consensus among the voters, by the Raft implementation of the MicroRaft library (Ongaro, "Consensus: Bridging Theory
 * and Practice", 2014; comments cite it as the Raft dissertation). {@link topazladder.consensus.ConsensusReplica} hosts
 * the state machines and leader services that the domains register; this package depends on no domain. Executor,
 * transport, clock, randomness and store are injected, and one thread owns all state.
 */
package topazladder.consensus;
