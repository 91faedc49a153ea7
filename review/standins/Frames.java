package standins;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** The binary frames between client stubs and a service instance. */
final class Frames {
    static final int REQUEST = 16;
    static final int ANSWER = 17;
    static final int GIVE_UP = 18;
    static final int CHECK = 32;
    static final int CHECKED = 33;
    static final int NO_NEW_REQUEST = 48;

    /** One frame that came from the service instance. */
    record Frame(int type, long stream, int code, Map<String, String> fields, byte[] body) {
    }

    private Frames() {}

    static byte[] request(long stream, Map<String, String> fields, byte[] body) throws IOException {
        return frame(REQUEST, stream, fields, body);
    }

    static byte[] check(long stream) throws IOException {
        return frame(CHECK, stream, Map.of(), new byte[0]);
    }

    static byte[] giveUp(long stream) throws IOException {
        return frame(GIVE_UP, stream, null, new byte[0]);
    }

    private static byte[] frame(int type, long stream, Map<String, String> fields, byte[] body) throws IOException {
        ByteArrayOutputStream payload = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(payload);
        out.writeByte(type);
        out.writeInt((int) stream);
        if (fields != null) {
            out.writeByte(fields.size());
            for (Map.Entry<String, String> field : fields.entrySet()) {
                byte[] name = field.getKey().getBytes(StandardCharsets.UTF_8);
                byte[] value = field.getValue().getBytes(StandardCharsets.UTF_8);
                out.writeByte(name.length);
                out.write(name);
                out.writeShort(value.length);
                out.write(value);
            }
        }
        out.write(body);
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        new DataOutputStream(whole).writeInt(payload.size());
        payload.writeTo(whole);
        return whole.toByteArray();
    }

    /** Reads one frame; throws at the end of the connection. */
    static Frame read(DataInputStream in) throws IOException {
        int length = in.readInt();
        int type = in.readUnsignedByte();
        long stream = Integer.toUnsignedLong(in.readInt());
        int left = length - 5;
        int code = 0;
        Map<String, String> fields = new LinkedHashMap<>();
        if (type == ANSWER || type == CHECKED) {
            code = in.readUnsignedByte();
            int count = in.readUnsignedByte();
            left -= 2;
            for (int i = 0; i < count; i++) {
                int nameLength = in.readUnsignedByte();
                String name = new String(in.readNBytes(nameLength), StandardCharsets.UTF_8);
                int valueLength = in.readUnsignedShort();
                fields.put(name, new String(in.readNBytes(valueLength), StandardCharsets.UTF_8));
                left -= 3 + nameLength + valueLength;
            }
        }
        return new Frame(type, stream, code, fields, in.readNBytes(left));
    }
}
