/**
 * Bytes to typed messages and back, one codec a protocol: the callers' frames, the lines of the runtime and of the
 * dependency, and the messages of members and peers. Codecs do no I/O and know no connection; they are fed bytes in any
 * pieces. What is no message of its protocol is a {@link topazladder.net.codec.MalformedMessageException}.
 *
 * <p>Names that a protocol gives its fields stay on the wire and are mapped to the program's terms here.
 */
package topazladder.net.codec;
