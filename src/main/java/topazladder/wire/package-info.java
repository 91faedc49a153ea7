/**
 * The simulator's protocol on standard input and output: batches of events for many simulated servers come in, and one
 * batch of decisions goes out for each.
 *
 * <p>All numbers are little-endian, times are in nanoseconds. A batch of events is its length (unsigned, 4 bytes,
 * without this head), the simulator's clock (8 bytes) and that many bytes of records; a batch of decisions is its
 * length, its number of records and the records. A record is a code (2 bytes), the number of the server (4 bytes), and
 * fields that depend on the code.
 *
 * <p>This is the edge where the simulator's words meet ours: a ticket is a {@link topazladder.request.Request}, its
 * subject and caller are not used, and its idempotency key comes as the id of the original. The settings come as text
 * that {@link topazladder.config.SettingsReader} reads.
 */
package topazladder.wire;
