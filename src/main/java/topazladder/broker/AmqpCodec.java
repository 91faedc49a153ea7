package topazladder.broker;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Date;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import topazladder.broker.AmqpSpec.Argument;
import topazladder.broker.AmqpSpec.Method;
import topazladder.broker.AmqpSpec.Type;
import topazladder.broker.Message.Props;

/** Frames, methods, tables and properties of AMQP 0-9-1, both ways, on their own: no client library is behind it. */
final class AmqpCodec {
    static final int METHOD = 1;
    static final int HEADER = 2;
    static final int BODY = 3;
    static final int HEARTBEAT = 8;
    private static final int END = 0xCE;
    static final byte[] GREETING = {'A', 'M', 'Q', 'P', 0, 0, 9, 1};
    static final int OVERHEAD = 8;
    private static final int DEEPEST = 16;

    /** What is no frame, or breaks a rule of the protocol, with the code that the specification gives it. */
    static final class Broken extends Exception {
        private static final long serialVersionUID = 1L;
        final int code;

        Broken(int code, String text) {
            super(text);
            this.code = code;
        }
    }

    record Frame(int type, int channel, byte[] payload) {
    }

    /** A method with its arguments by name. */
    record Call(Method method, Map<String, Object> arguments) {

        String text(String name) {
            return (String) arguments.get(name);
        }

        boolean bit(String name) {
            return (Boolean) arguments.get(name);
        }

        long number(String name) {
            return ((Number) arguments.get(name)).longValue();
        }

        @SuppressWarnings("unchecked")
        Map<String, Object> table(String name) {
            return (Map<String, Object>) arguments.get(name);
        }
    }

    private AmqpCodec() {}

    /** Takes bytes in any pieces. */
    static final class Reader {
        private final ByteBuf unread = Unpooled.buffer();
        private int longest;

        Reader(int longest) {
            this.longest = longest;
        }

        void longest(int bytes) {
            longest = bytes;
        }

        void feed(byte[] more) {
            unread.discardReadBytes();
            unread.writeBytes(more);
        }

        /** Whether the greeting has come whole; what is none of it is broken at its first wrong byte. */
        boolean greeted() throws Broken {
            for (int i = 0; i < Math.min(GREETING.length, unread.readableBytes()); i++) {
                if (unread.getByte(unread.readerIndex() + i) != GREETING[i]) {
                    throw new Broken(501, "no greeting of 0-9-1");
                }
            }
            if (unread.readableBytes() < GREETING.length) {
                return false;
            }
            unread.skipBytes(GREETING.length);
            return true;
        }

        /** The next whole frame, or null. */
        Frame next() throws Broken {
            if (unread.readableBytes() < 7) {
                return null;
            }
            int at = unread.readerIndex();
            int type = unread.getUnsignedByte(at);
            long size = unread.getUnsignedInt(at + 3);
            if (type != METHOD && type != HEADER && type != BODY && type != HEARTBEAT) {
                throw new Broken(501, "a frame of type " + type);
            }
            if (size + OVERHEAD > longest) {
                throw new Broken(501, "a frame of " + size + " bytes");
            }
            if (unread.readableBytes() < size + OVERHEAD) {
                return null;
            }
            int channel = unread.getUnsignedShort(at + 1);
            byte[] payload = new byte[(int) size];
            unread.getBytes(at + 7, payload);
            if (unread.getUnsignedByte(at + 7 + (int) size) != END) {
                throw new Broken(501, "a frame without its end");
            }
            unread.skipBytes((int) size + OVERHEAD);
            return new Frame(type, channel, payload);
        }
    }

    static byte[] frame(int type, int channel, byte[] payload) {
        ByteBuf out = Unpooled.buffer(payload.length + OVERHEAD);
        out.writeByte(type).writeShort(channel).writeInt(payload.length).writeBytes(payload).writeByte(END);
        return ByteBufUtil.getBytes(out);
    }

    // ---- Methods

    static Call call(byte[] payload) throws Broken {
        ByteBuf in = Unpooled.wrappedBuffer(payload);
        try {
            int classId = in.readUnsignedShort();
            int methodId = in.readUnsignedShort();
            Method m = AmqpSpec.of(classId, methodId);
            if (m == null) {
                throw new Broken(540, "method " + classId + "." + methodId + " is not spoken here");
            }
            Map<String, Object> values = new LinkedHashMap<>();
            int bits = 0;
            int bit = 8;
            for (Argument a : m.arguments()) {
                if (a.type() == Type.BIT) {
                    if (bit >= 8) {
                        bits = in.readUnsignedByte();
                        bit = 0;
                    }
                    values.put(a.name(), (bits >> bit++ & 1) == 1);
                } else {
                    bit = 8;
                    values.put(a.name(), value(in, a.type()));
                }
            }
            return new Call(m, values);
        } catch (IndexOutOfBoundsException e) {
            throw new Broken(502, "a method that is cut short");
        }
    }

    /** @param values in the order of the method's arguments */
    static byte[] method(String name, Object... values) {
        Method m = AmqpSpec.of(name);
        ByteBuf out = Unpooled.buffer();
        out.writeShort(m.classId()).writeShort(m.methodId());
        int bits = 0;
        int bit = 0;
        for (int i = 0; i < m.arguments().size(); i++) {
            Argument a = m.arguments().get(i);
            if (a.type() == Type.BIT) {
                bits |= (Boolean) values[i] ? 1 << bit : 0;
                bit++;
            }
            boolean last = i + 1 == m.arguments().size() || m.arguments().get(i + 1).type() != Type.BIT;
            if (a.type() == Type.BIT && (last || bit == 8)) {
                out.writeByte(bits);
                bits = 0;
                bit = 0;
            } else if (a.type() != Type.BIT) {
                write(out, a.type(), values[i]);
            }
        }
        return ByteBufUtil.getBytes(out);
    }

    private static Object value(ByteBuf in, Type type) throws Broken {
        return switch (type) {
            case OCTET -> (long) in.readUnsignedByte();
            case SHORT -> (long) in.readUnsignedShort();
            case LONG -> in.readUnsignedInt();
            case LONGLONG -> in.readLong();
            case SHORTSTR -> shortText(in);
            case LONGSTR -> longText(in);
            case TABLE -> table(in, 0);
            case BIT -> throw new IllegalStateException("bits are read together");
        };
    }

    @SuppressWarnings("unchecked")
    private static void write(ByteBuf out, Type type, Object value) {
        switch (type) {
            case OCTET -> out.writeByte(((Number) value).intValue());
            case SHORT -> out.writeShort(((Number) value).intValue());
            case LONG -> out.writeInt((int) ((Number) value).longValue());
            case LONGLONG -> out.writeLong(((Number) value).longValue());
            case SHORTSTR -> shortText(out, (String) value);
            case LONGSTR -> longText(out, (String) value);
            case TABLE -> table(out, (Map<String, Object>) value);
            case BIT -> throw new IllegalStateException("bits are written together");
        }
    }

    private static String shortText(ByteBuf in) {
        int length = in.readUnsignedByte();
        return in.readCharSequence(length, StandardCharsets.UTF_8).toString();
    }

    private static void shortText(ByteBuf out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.writeByte(bytes.length).writeBytes(bytes);
    }

    private static String longText(ByteBuf in) throws Broken {
        long length = in.readUnsignedInt();
        if (length > in.readableBytes()) {
            throw new Broken(502, "a text of " + length + " bytes");
        }
        return in.readCharSequence((int) length, StandardCharsets.UTF_8).toString();
    }

    private static void longText(ByteBuf out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.writeInt(bytes.length).writeBytes(bytes);
    }

    // ---- Tables

    private static Map<String, Object> table(ByteBuf in, int depth) throws Broken {
        long length = in.readUnsignedInt();
        if (length > in.readableBytes() || depth > DEEPEST) {
            throw new Broken(502, "a table of " + length + " bytes, " + depth + " deep");
        }
        ByteBuf part = in.readSlice((int) length);
        Map<String, Object> all = new LinkedHashMap<>();
        while (part.isReadable()) {
            all.put(shortText(part), field(part, depth));
        }
        return all;
    }

    private static Object field(ByteBuf in, int depth) throws Broken {
        char type = (char) in.readByte();
        return switch (type) {
            case 't' -> in.readByte() != 0;
            case 'b' -> in.readByte();
            case 'B' -> in.readUnsignedByte();
            case 's' -> in.readShort();
            case 'u' -> in.readUnsignedShort();
            case 'I' -> in.readInt();
            case 'i' -> in.readUnsignedInt();
            case 'l' -> in.readLong();
            case 'f' -> in.readFloat();
            case 'd' -> in.readDouble();
            case 'D' -> {
                int scale = in.readUnsignedByte();
                yield BigDecimal.valueOf(in.readInt(), scale);
            }
            case 'S' -> longText(in);
            case 'T' -> new Date(in.readLong() * 1000);
            case 'F' -> table(in, depth + 1);
            case 'V' -> "";
            case 'x' -> longText(in);
            case 'A' -> {
                long length = in.readUnsignedInt();
                if (length > in.readableBytes() || depth > DEEPEST) {
                    throw new Broken(502, "an array of " + length + " bytes");
                }
                ByteBuf part = in.readSlice((int) length);
                List<Object> all = new ArrayList<>();
                while (part.isReadable()) {
                    all.add(field(part, depth + 1));
                }
                yield all;
            }
            default -> throw new Broken(502, "a field of type " + (int) type);
        };
    }

    @SuppressWarnings("unchecked")
    private static void table(ByteBuf out, Map<String, Object> table) {
        ByteBuf part = Unpooled.buffer();
        table.forEach((name, value) -> {
            shortText(part, name);
            field(part, value);
        });
        out.writeInt(part.readableBytes()).writeBytes(part);
    }

    @SuppressWarnings("unchecked")
    private static void field(ByteBuf out, Object value) {
        if (value instanceof Boolean b) {
            out.writeByte('t').writeBoolean(b);
        } else if (value instanceof Long || value instanceof Date) {
            out.writeByte(value instanceof Long ? 'l' : 'T');
            out.writeLong(value instanceof Date d ? d.getTime() / 1000 : (Long) value);
        } else if (value instanceof Double d) {
            out.writeByte('d').writeDouble(d);
        } else if (value instanceof Number n) {
            out.writeByte('I').writeInt(n.intValue());
        } else if (value instanceof Map<?, ?> m) {
            out.writeByte('F');
            table(out, (Map<String, Object>) m);
        } else if (value instanceof List<?> l) {
            ByteBuf part = Unpooled.buffer();
            l.forEach(v -> field(part, v));
            out.writeByte('A').writeInt(part.readableBytes()).writeBytes(part);
        } else {
            out.writeByte('S');
            longText(out, String.valueOf(value));
        }
    }

    // ---- Content headers

    record Content(long size, Props props, Map<String, Object> headers) {
    }

    static Content content(byte[] payload) throws Broken {
        ByteBuf in = Unpooled.wrappedBuffer(payload);
        try {
            in.skipBytes(4);
            long size = in.readLong();
            int flags = in.readUnsignedShort();
            String contentType = has(flags, 15) ? shortText(in) : null;
            if (has(flags, 14)) {
                shortText(in);
            }
            Map<String, Object> headers = has(flags, 13) ? table(in, 0) : Map.of();
            Integer mode = has(flags, 12) ? (int) in.readUnsignedByte() : null;
            Integer priority = has(flags, 11) ? (int) in.readUnsignedByte() : null;
            String correlation = has(flags, 10) ? shortText(in) : null;
            String reply = has(flags, 9) ? shortText(in) : null;
            String expiration = has(flags, 8) ? shortText(in) : null;
            String id = has(flags, 7) ? shortText(in) : null;
            Long timestamp = has(flags, 6) ? (Long) in.readLong() : null;
            String type = has(flags, 5) ? shortText(in) : null;
            String user = has(flags, 4) ? shortText(in) : null;
            String app = has(flags, 3) ? shortText(in) : null;
            return new Content(size, new Props(contentType, mode, priority, correlation, reply, expiration, id,
                    timestamp,
                    type, user, app), headers);
        } catch (IndexOutOfBoundsException e) {
            throw new Broken(502, "a content header that is cut short");
        }
    }

    private static boolean has(int flags, int bit) {
        return (flags >> bit & 1) == 1;
    }

    static byte[] content(long size, Props p, Map<String, Object> headers) {
        ByteBuf values = Unpooled.buffer();
        int flags = 0;
        flags |= text(values, p.contentType(), 15);
        if (!headers.isEmpty()) {
            table(values, headers);
            flags |= 1 << 13;
        }
        flags |= octet(values, p.deliveryMode(), 12) | octet(values, p.priority(), 11);
        flags |= text(values, p.correlationId(), 10) | text(values, p.replyTo(), 9) | text(values, p.expiration(), 8)
                | text(values, p.messageId(), 7);
        if (p.timestamp() != null) {
            values.writeLong(p.timestamp());
            flags |= 1 << 6;
        }
        flags |= text(values, p.type(), 5) | text(values, p.userId(), 4) | text(values, p.appId(), 3);
        ByteBuf out = Unpooled.buffer();
        out.writeShort(60).writeShort(0).writeLong(size).writeShort(flags).writeBytes(values);
        return ByteBufUtil.getBytes(out);
    }

    private static int text(ByteBuf out, String value, int bit) {
        if (value == null) {
            return 0;
        }
        shortText(out, value);
        return 1 << bit;
    }

    private static int octet(ByteBuf out, Integer value, int bit) {
        if (value == null) {
            return 0;
        }
        out.writeByte(value);
        return 1 << bit;
    }
}
