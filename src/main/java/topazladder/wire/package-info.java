/**
 * The simulator's binary protocol on standard input and output. The simulator sends batches of events for many
 * simulated servers, and each batch is answered by one batch of decisions.
 *
 * <p>All numbers are little-endian and all times are in nanoseconds. A batch of events consists of the length of its
 * records (unsigned, 4 bytes), the simulator's clock (8 bytes) and the records. A batch of decisions consists of the
 * length of its records, their number (4 bytes each) and the records. A record consists of a code (2 bytes), the number
 * of the server (4 bytes) and fields that depend on the code.
 *
 * <p>The simulator calls a {@link topazladder.request.Request} a ticket. The subject and the caller of a ticket are not
 * used, and its idempotency key is sent as the id of the original ticket. Settings are sent as text, which
 * {@link topazladder.config.SettingsReader} parses.
 */
package topazladder.wire;
