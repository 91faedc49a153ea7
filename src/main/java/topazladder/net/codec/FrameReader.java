package topazladder.net.codec;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import topazladder.service.IncomingRequest;

/** Reads the frames of one caller's connection from bytes that come in any pieces. */
public final class FrameReader {
    private static final int LEAST = 5;
    private static final int MOST = 262_144;
    private static final int LONGEST_BODY = 2048;
    /** No request that can be decided on is longer; of one that is, nothing is kept, or a few would fill the heap. */
    private static final int LONGEST_KEPT = 16_384;
    private static final double LARGEST_FOOTPRINT = 2000;
    private static final Pattern REF = Pattern.compile("[0-9a-fA-F]{16}");
    private static final Set<String> FIELDS = Set.of("service", "ref", "since", "sender", "project", "dup",
            "room", "class_rank", "replay", "lookup");

    private final Unread unread = new Unread();
    private long skip; // bytes left of a request that is too long
    private long skipped; // its stream

    public void feed(byte[] more) {
        unread.add(more);
    }

    /** Whether all that came was taken as whole messages. */
    public boolean isEmpty() {
        return skip == 0 && unread.size() == 0;
    }

    /** The next whole message, or null until more bytes have come. */
    public CallerMessage next() throws MalformedMessageException {
        CallerMessage message = read();
        if (message == null) {
            unread.trim();
        }
        return message;
    }

    private CallerMessage read() throws MalformedMessageException {
        if (skip > 0) {
            return skip();
        }
        if (unread.size() < 4) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(unread.bytes, unread.from, unread.size());
        long length = in.getInt() & 0xffff_ffffL;
        if (length < LEAST || length > MOST) {
            throw new MalformedMessageException("a frame of " + length + " bytes");
        }
        if (length > LONGEST_KEPT && in.remaining() >= LEAST) {
            if (in.get() != 16) {
                throw new MalformedMessageException("a frame of " + length + " bytes that is no request");
            }
            skipped = in.getInt() & 0xffff_ffffL;
            skip = length - LEAST;
            unread.from += 4 + LEAST;
            return skip();
        }
        if (in.remaining() < length) {
            return null;
        }
        in.limit(in.position() + (int) length);
        unread.from += 4 + (int) length;
        return message(in);
    }

    private CallerMessage skip() {
        long now = Math.min(skip, unread.size());
        unread.from += (int) now;
        skip -= now;
        return skip > 0 ? null : new CallerMessage.Unusable(skipped, "body");
    }

    private static CallerMessage message(ByteBuffer in) throws MalformedMessageException {
        int type = in.get() & 0xff;
        long stream = in.getInt() & 0xffff_ffffL;
        switch (type) {
            case 16 :
                if (stream == 0) {
                    throw new MalformedMessageException("a request on stream 0");
                }
                Map<String, String> fields = fields(in);
                byte[] body = new byte[in.remaining()];
                in.get(body);
                return submitted(stream, fields, body);
            case 18 :
                return new CallerMessage.GivenUp(stream);
            case 32 :
                return new CallerMessage.Check(stream, "1".equals(fields(in).get("inner")));
            default :
                throw new MalformedMessageException("a frame of type " + type);
        }
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

    private static CallerMessage submitted(long stream, Map<String, String> f, byte[] body) {
        String ref = f.get("ref");
        double since = number(f.get("since"));
        double room = number(f.get("room"));
        double rank = number(f.get("class_rank"));
        String dup = f.get("dup");
        String replay = f.get("replay");
        String why = !FIELDS.containsAll(f.keySet()) ? "unknown field"
                : f.get("service") == null ? "service"
                        : ref == null || !REF.matcher(ref).matches() ? "ref"
                                : !(since >= 0 && since < 1e15) ? "since"
                                        : !(room > 0 && room < LARGEST_FOOTPRINT) ? "room"
                                                : !(rank >= 0 && rank < 1) ? "class_rank"
                                                        : dup != null && !dup.equals("1") ? "dup"
                                                                : replay != null && replay.isEmpty() ? "replay"
                                                                        : body.length > LONGEST_BODY ? "body" : null;
        if (why != null) {
            return new CallerMessage.Unusable(stream, why);
        }
        return new CallerMessage.Submitted(stream, new IncomingRequest(ref, f.get("service"), f.get("project"),
                since / 1000, dup != null, room, rank, replay, body));
    }

    /** Not a number where the text is none, which no bound above lets pass. */
    private static double number(String text) {
        try {
            return text == null ? Double.NaN : Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
