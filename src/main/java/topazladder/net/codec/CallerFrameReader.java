package topazladder.net.codec;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import topazladder.service.IncomingRequest;

/**
 * Reads the frames of one caller's connection from bytes that come in any pieces. A frame that breaks the protocol is a
 * {@link MalformedMessageException}; a sound frame with a request that can't be decided on is an
 * {@link CallerMessage.InvalidRequest}.
 */
public final class CallerFrameReader {
    private static final int MAX_FRAME_BYTES = 262_144;
    private static final int MAX_BODY_BYTES = 2048;
    /** No valid request is longer; a longer frame is skipped unbuffered, or a few of them would fill the heap. */
    private static final int MAX_BUFFERED_FRAME_BYTES = 16_384;
    private static final double MAX_MEMORY_COST_KILOBYTES = 2000;
    private static final double MAX_ARRIVAL_MILLIS = 1e15;
    private static final Pattern REFERENCE = Pattern.compile("[0-9a-fA-F]{16}");
    private static final Set<String> KNOWN_FIELDS = Set.of(CallerProtocol.REQUEST_CLASS, CallerProtocol.REFERENCE,
            CallerProtocol.ARRIVAL_MILLIS, CallerProtocol.SENDER, CallerProtocol.TENANT, CallerProtocol.RETRY,
            CallerProtocol.MEMORY_COST_KILOBYTES, CallerProtocol.RANK, CallerProtocol.IDEMPOTENCY_KEY,
            CallerProtocol.LOOKUP_KEY);

    private final ReceiveBuffer received = new ReceiveBuffer();
    private long bytesToSkip; // of a request that is too long
    private long skippedStream;

    /** Adds bytes in the order in which they came. */
    public void feed(byte[] bytes) {
        received.add(bytes);
    }

    /** Whether all that came was taken as whole messages. */
    public boolean isEmpty() {
        return bytesToSkip == 0 && received.size() == 0;
    }

    /** The memory that unread bytes hold. */
    public int bufferedBytes() {
        return received.capacity();
    }

    /** Drops what was not read, as nothing more is to be read. */
    public void clear() {
        received.clear();
    }

    /**
     * Returns the next whole message, or null until more bytes have come.
     *
     * @throws MalformedMessageException if the bytes are no frame; the connection can't be read any further
     */
    public CallerMessage next() throws MalformedMessageException {
        CallerMessage message = read();
        if (message == null) {
            received.trim();
        }
        return message;
    }

    private CallerMessage read() throws MalformedMessageException {
        if (bytesToSkip > 0) {
            return skip();
        }
        if (received.size() < CallerProtocol.LENGTH_BYTES) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(received.bytes, received.from, received.size());
        long length = unsigned(in.getInt());
        if (length < CallerProtocol.HEADER_BYTES || length > MAX_FRAME_BYTES) {
            throw new MalformedMessageException("a frame of " + length + " bytes");
        }
        if (length > MAX_BUFFERED_FRAME_BYTES && in.remaining() >= CallerProtocol.HEADER_BYTES) {
            return startSkipping(in, length);
        }
        if (in.remaining() < length) {
            return null;
        }
        in.limit(in.position() + (int) length);
        received.from += CallerProtocol.LENGTH_BYTES + (int) length;
        return message(in);
    }

    private CallerMessage startSkipping(ByteBuffer in, long length) throws MalformedMessageException {
        if (in.get() != CallerProtocol.REQUEST_FRAME) {
            throw new MalformedMessageException("a frame of " + length + " bytes that is no request");
        }
        skippedStream = unsigned(in.getInt());
        bytesToSkip = length - CallerProtocol.HEADER_BYTES;
        received.from += CallerProtocol.LENGTH_BYTES + CallerProtocol.HEADER_BYTES;
        return skip();
    }

    private CallerMessage skip() {
        long skipped = Math.min(bytesToSkip, received.size());
        received.from += (int) skipped;
        bytesToSkip -= skipped;
        return bytesToSkip > 0 ? null : new CallerMessage.InvalidRequest(skippedStream, "body");
    }

    private static CallerMessage message(ByteBuffer in) throws MalformedMessageException {
        int type = in.get() & 0xff;
        long stream = unsigned(in.getInt());
        return switch (type) {
            case CallerProtocol.REQUEST_FRAME -> request(stream, in);
            case CallerProtocol.CANCELLATION_FRAME -> new CallerMessage.RequestCancelled(stream);
            case CallerProtocol.HEALTH_CHECK_FRAME -> new CallerMessage.HealthCheck(stream,
                    CallerProtocol.SET.equals(fields(in).get(CallerProtocol.DEEP_CHECK)));
            default -> throw new MalformedMessageException("a frame of type " + type);
        };
    }

    private static CallerMessage request(long stream, ByteBuffer in) throws MalformedMessageException {
        if (stream == CallerProtocol.CONNECTION_STREAM) {
            throw new MalformedMessageException("a request on stream 0");
        }
        Map<String, String> fields = fields(in);
        byte[] body = new byte[in.remaining()];
        in.get(body);
        double arrivalMillis = number(fields.get(CallerProtocol.ARRIVAL_MILLIS));
        double memoryCostKilobytes = number(fields.get(CallerProtocol.MEMORY_COST_KILOBYTES));
        double rank = number(fields.get(CallerProtocol.RANK));
        Optional<String> invalid = invalidField(fields, arrivalMillis, memoryCostKilobytes, rank, body);
        if (invalid.isPresent()) {
            return new CallerMessage.InvalidRequest(stream, invalid.get());
        }
        return new CallerMessage.RequestSubmitted(stream, new IncomingRequest(fields.get(CallerProtocol.REFERENCE),
                fields.get(CallerProtocol.REQUEST_CLASS), fields.get(CallerProtocol.TENANT), arrivalMillis / 1000,
                fields.containsKey(CallerProtocol.RETRY), memoryCostKilobytes, rank,
                fields.get(CallerProtocol.IDEMPOTENCY_KEY), body));
    }

    /** Returns the first field that a decision can't be made on; without a lambda, as every request comes by here. */
    private static Optional<String> invalidField(Map<String, String> fields, double arrivalMillis,
            double memoryCostKilobytes, double rank, byte[] body) {
        Optional<String> invalid = invalidText(fields);
        if (invalid.isEmpty()) {
            invalid = invalidNumber(arrivalMillis, memoryCostKilobytes, rank);
        }
        return invalid.isEmpty() ? invalidOption(fields, body) : invalid;
    }

    private static Optional<String> invalidText(Map<String, String> fields) {
        if (!KNOWN_FIELDS.containsAll(fields.keySet())) {
            return Optional.of("unknown field");
        }
        if (fields.get(CallerProtocol.REQUEST_CLASS) == null) {
            return Optional.of(CallerProtocol.REQUEST_CLASS);
        }
        String reference = fields.get(CallerProtocol.REFERENCE);
        if (reference == null || !REFERENCE.matcher(reference).matches()) {
            return Optional.of(CallerProtocol.REFERENCE);
        }
        return Optional.empty();
    }

    /** The bounds are written so that what is not a number is within none of them. */
    private static Optional<String> invalidNumber(double arrivalMillis, double memoryCostKilobytes, double rank) {
        if (!(arrivalMillis >= 0 && arrivalMillis < MAX_ARRIVAL_MILLIS)) {
            return Optional.of(CallerProtocol.ARRIVAL_MILLIS);
        }
        if (!(memoryCostKilobytes > 0 && memoryCostKilobytes < MAX_MEMORY_COST_KILOBYTES)) {
            return Optional.of(CallerProtocol.MEMORY_COST_KILOBYTES);
        }
        if (!(rank >= 0 && rank < 1)) {
            return Optional.of(CallerProtocol.RANK);
        }
        return Optional.empty();
    }

    private static Optional<String> invalidOption(Map<String, String> fields, byte[] body) {
        String retry = fields.get(CallerProtocol.RETRY);
        if (retry != null && !retry.equals(CallerProtocol.SET)) {
            return Optional.of(CallerProtocol.RETRY);
        }
        String idempotencyKey = fields.get(CallerProtocol.IDEMPOTENCY_KEY);
        if (idempotencyKey != null && idempotencyKey.isEmpty()) {
            return Optional.of(CallerProtocol.IDEMPOTENCY_KEY);
        }
        return body.length > MAX_BODY_BYTES ? Optional.of("body") : Optional.empty();
    }

    private static Map<String, String> fields(ByteBuffer in) throws MalformedMessageException {
        try {
            Map<String, String> fields = new HashMap<>();
            for (int count = in.get() & 0xff; count > 0; count--) {
                String name = text(in, in.get() & 0xff);
                if (fields.put(name, text(in, in.getShort() & 0xffff)) != null) {
                    throw new MalformedMessageException("a field given twice: " + name);
                }
            }
            return fields;
        } catch (BufferUnderflowException e) {
            throw new MalformedMessageException("fields cut short");
        }
    }

    private static String text(ByteBuffer in, int length) {
        if (length > in.remaining()) {
            throw new BufferUnderflowException();
        }
        String text = new String(in.array(), in.arrayOffset() + in.position(), length, StandardCharsets.UTF_8);
        in.position(in.position() + length);
        return text;
    }

    private static long unsigned(int number) {
        return Integer.toUnsignedLong(number);
    }

    /** Returns NaN where the text is no number. */
    private static double number(String text) {
        try {
            return text == null ? Double.NaN : Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
