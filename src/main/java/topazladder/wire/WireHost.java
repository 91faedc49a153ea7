package topazladder.wire;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import topazladder.request.Outcome;

/** Reads batches of events, lets each server's door decide, and writes one reply per batch. */
public final class WireHost {
    private static final int LONGEST = 1 << 30;

    private final DataInputStream in;
    private final OutputStream out;
    /** Emptied by KILL, one entry a living server. */
    private final Map<Integer, Door> doors = new HashMap<>();
    private final Reply reply = new Reply();

    public WireHost(InputStream in, OutputStream out) {
        this.in = new DataInputStream(new BufferedInputStream(in, 1 << 16));
        this.out = out;
    }

    /** Returns at the end of input. */
    public void run() throws IOException {
        for (ByteBuffer batch = next(); batch != null; batch = next()) {
            long clock = batch.getLong();
            reply.clear();
            decide(batch, clock);
            reply.writeTo(out);
            out.flush();
        }
    }

    private ByteBuffer next() throws IOException {
        int first = in.read();
        if (first < 0) {
            return null;
        }
        try {
            byte[] rest = new byte[3];
            in.readFully(rest);
            long length = first | (rest[0] & 0xffL) << 8 | (rest[1] & 0xffL) << 16 | (rest[2] & 0xffL) << 24;
            if (length > LONGEST) {
                throw new MalformedWireException("a batch of " + length + " bytes is past belief");
            }
            byte[] frame = new byte[(int) length + 8];
            in.readFully(frame);
            return ByteBuffer.wrap(frame).order(ByteOrder.LITTLE_ENDIAN);
        } catch (EOFException e) {
            throw new MalformedWireException("input ends inside a batch");
        }
    }

    private void decide(ByteBuffer batch, long clock) {
        Map<Door, Boolean> touched = new LinkedHashMap<>();
        while (batch.hasRemaining()) {
            int at = batch.position();
            try {
                Door door = event(batch, clock);
                if (door != null) {
                    touched.put(door, true);
                }
            } catch (BufferUnderflowException e) {
                throw new MalformedWireException("a record at byte " + at + " of a batch is cut short");
            }
        }
        touched.keySet().forEach(Door::sweep);
    }

    private Door event(ByteBuffer b, long clock) {
        int code = b.getShort() & 0xffff;
        int instance = b.getInt();
        if (code == 256) {
            long seed = b.getLong();
            String text = text(b, b.getInt());
            Door door = new Door(instance, clock, reply);
            doors.put(instance, door);
            door.guarded(() -> door.start(seed, text));
            return door;
        }
        if (code < 256 || code > 264) {
            throw new MalformedWireException("unknown record code " + code);
        }
        Door door = doors.get(instance);
        if (door == null) {
            throw new MalformedWireException("record " + code + " for a server that was not started: " + instance);
        }
        switch (code) {
            case 257 -> {
                Arrival a = new Arrival(b.getLong(), b.getShort() & 0xffff, b.getShort() & 0xffff, b.getLong(),
                        b.getLong(), b.getLong(), b.getFloat(), b.getFloat(), b.get() & 0xff, b.getInt(),
                        b.getLong(), b.getLong());
                door.guarded(() -> door.arrive(clock, a));
            }
            case 258 -> {
                long id = b.getLong();
                long elapsed = b.getLong();
                Outcome ending = ending(b.getShort() & 0xffff);
                door.guarded(() -> door.runEnded(clock, id, ending, elapsed));
            }
            case 259 -> {
                long id = b.getLong();
                door.guarded(() -> door.callWanted(clock, id));
            }
            case 260 -> {
                long id = b.getLong();
                Outcome ending = ending(b.getShort() & 0xffff);
                long elapsed = b.getLong();
                door.guarded(() -> door.callEnded(clock, id, ending, elapsed));
            }
            case 261 -> {
                long left = b.getLong();
                door.guarded(() -> door.leave(clock, left));
            }
            case 262 -> {
                long id = b.getLong();
                door.guarded(() -> door.callerGone(clock, id));
            }
            case 263 -> {
                b.getLong();
                float[] readings = new float[b.get() & 0xff];
                for (int i = 0; i < readings.length; i++) {
                    readings[i] = b.getFloat();
                }
                door.guarded(() -> door.timer(clock, readings));
            }
            default -> {
                doors.remove(instance);
                return null;
            }
        }
        return door;
    }

    private static String text(ByteBuffer b, int length) {
        if (length < 0 || length > b.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] bytes = new byte[length];
        b.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static Outcome ending(int code) {
        return switch (code) {
            case 0 -> Outcome.SUCCEEDED;
            case 5 -> Outcome.FAILED;
            case 11 -> Outcome.REJECTED;
            case 110 -> Outcome.TIMED_OUT;
            case 111 -> Outcome.UNREACHABLE;
            case 104 -> Outcome.CONNECTION_LOST;
            case 125 -> Outcome.CANCELLED;
            case 114 -> Outcome.NOT_STARTED;
            default -> throw new MalformedWireException("unknown ending " + code);
        };
    }

    /** A request as it lies on the wire, its fields in the wire's order. */
    record Arrival(long id, int requestClass, int tenant, long subject, long left, long estimate,
            float footprint, float rank, int bits, int caller, long waited, long original) {
    }
}
