/**
 * Admission control: what one server admits, runs and rejects, and when it calls its dependency.
 *
 * <p>{@link topazladder.admission.AdmissionController} is the entry point and shows the way of a request through the
 * rules, each of which is a class of its own. The core does no I/O: time and chance are handed in, the decisions are
 * returned. docs/design.md gives the mechanism and its source, docs/decisions.md a line for each rule.
 *
 * <p>All times are in seconds since the start of the server, all memory is in kilobytes. One thread owns all state.
 */
package topazladder.admission;
