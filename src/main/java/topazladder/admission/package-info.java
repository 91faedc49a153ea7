/**
 * Admission control: which requests one server admits, runs and rejects, and when it calls its dependency.
 *
 * <p>{@link topazladder.admission.AdmissionController} is the entry point and lists the rules that a request passes;
 * each rule is implemented by one class. The package does no I/O: time and random numbers are passed in, and decisions
 * are returned. docs/design.md describes the mechanism and its source, docs/decisions.md lists the rules.
 *
 * <p>All times are in seconds since the start of the server, and all memory sizes are in kilobytes. All state belongs
 * to one thread.
 */
package topazladder.admission;
