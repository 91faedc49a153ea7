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
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import topazladder.request.Outcome;

/**
 * Runs simulated servers for a simulator: reads batches of events, passes each event to the admission controller of its
 * server, and writes one batch of decisions for each batch of events.
 */
public final class SimulatorHost {
    private static final int MAX_BATCH_BYTES = 1 << 30;
    private static final int INPUT_BUFFER_BYTES = 1 << 16;
    private static final int CLOCK_BYTES = 8;

    private final DataInputStream in;
    private final OutputStream out;
    /** Running servers by number; a killed server is removed. */
    private final Map<Integer, SimulatedServer> servers = new HashMap<>();
    private final DecisionBatch decisions = new DecisionBatch();

    /** Creates a host that reads events from {@code in} and writes decisions to {@code out}; it closes neither. */
    public SimulatorHost(InputStream in, OutputStream out) {
        this.in = new DataInputStream(new BufferedInputStream(in, INPUT_BUFFER_BYTES));
        this.out = out;
    }

    /**
     * Processes batches until the end of input.
     *
     * @throws MalformedWireException if the input violates the protocol
     */
    public void run() throws IOException {
        for (ByteBuffer batch = nextBatch(); batch != null; batch = nextBatch()) {
            long clock = batch.getLong();
            decisions.clear();
            handleBatch(batch, clock);
            decisions.writeTo(out);
            out.flush();
        }
    }

    /** Returns the next batch without its length, or null at the end of input. */
    private ByteBuffer nextBatch() throws IOException {
        int first = in.read();
        if (first < 0) {
            return null;
        }
        try {
            byte[] rest = new byte[Integer.BYTES - 1];
            in.readFully(rest);
            long length = first | (rest[0] & 0xffL) << 8 | (rest[1] & 0xffL) << 16 | (rest[2] & 0xffL) << 24;
            if (length > MAX_BATCH_BYTES) {
                throw new MalformedWireException(
                        "batch too long: length_bytes=" + length + ", expected at most " + MAX_BATCH_BYTES);
            }
            byte[] batch = new byte[(int) length + CLOCK_BYTES];
            in.readFully(batch);
            return ByteBuffer.wrap(batch).order(ByteOrder.LITTLE_ENDIAN);
        } catch (EOFException e) {
            throw new MalformedWireException("input ended within a batch of events, expected a complete batch");
        }
    }

    private void handleBatch(ByteBuffer batch, long clock) {
        Set<SimulatedServer> touched = new LinkedHashSet<>();
        while (batch.hasRemaining()) {
            int position = batch.position();
            try {
                SimulatedServer server = handleEvent(batch, clock);
                if (server != null) {
                    touched.add(server);
                }
            } catch (BufferUnderflowException e) {
                throw new MalformedWireException("event record truncated: batch_offset_bytes=" + position);
            }
        }
        touched.forEach(SimulatedServer::forgetEnded);
    }

    /** Handles the next record; returns its server, or null if the record killed the server. */
    private SimulatedServer handleEvent(ByteBuffer batch, long clock) {
        int code = Short.toUnsignedInt(batch.getShort());
        int number = batch.getInt();
        if (code == EventCode.SERVER_STARTED) {
            return startServer(batch, clock, number);
        }
        if (code < EventCode.SERVER_STARTED || code > EventCode.SERVER_KILLED) {
            throw new MalformedWireException("unknown event code: code=" + code + " server=" + number
                    + ", expected " + EventCode.SERVER_STARTED + " to " + EventCode.SERVER_KILLED);
        }
        SimulatedServer server = servers.get(number);
        if (server == null) {
            throw new MalformedWireException(
                    "event for a server that is not running: server=" + number + " code=" + code);
        }
        if (code == EventCode.SERVER_KILLED) {
            servers.remove(number);
            return null;
        }
        handleEvent(code, batch, clock, server);
        return server;
    }

    private SimulatedServer startServer(ByteBuffer batch, long clock, int number) {
        long seed = batch.getLong();
        String settings = readText(batch, batch.getInt());
        SimulatedServer server = new SimulatedServer(number, clock, decisions);
        servers.put(number, server);
        server.handle(() -> server.start(seed, settings));
        return server;
    }

    /** Reads all fields even if the server has failed and ignores the event, so that the next record is found. */
    private static void handleEvent(int code, ByteBuffer batch, long clock, SimulatedServer server) {
        switch (code) {
            case EventCode.REQUEST_ARRIVED -> {
                ArrivalRecord arrival = ArrivalRecord.read(batch);
                server.handle(() -> server.requestArrived(clock, arrival));
            }
            case EventCode.RUN_ENDED -> {
                long id = batch.getLong();
                long elapsed = batch.getLong();
                Outcome outcome = readOutcome(batch);
                server.handle(() -> server.runEnded(clock, id, outcome, elapsed));
            }
            case EventCode.DEPENDENCY_CALL_REQUESTED -> {
                long id = batch.getLong();
                server.handle(() -> server.dependencyCallRequested(clock, id));
            }
            case EventCode.DEPENDENCY_CALL_ENDED -> {
                long id = batch.getLong();
                Outcome outcome = readOutcome(batch);
                long elapsed = batch.getLong();
                server.handle(() -> server.dependencyCallEnded(clock, id, outcome, elapsed));
            }
            case EventCode.DRAIN -> {
                long nanosecondsToStop = batch.getLong();
                server.handle(() -> server.drain(clock, nanosecondsToStop));
            }
            case EventCode.CALLER_DISCONNECTED -> {
                long id = batch.getLong();
                server.handle(() -> server.callerDisconnected(clock, id));
            }
            default -> {
                batch.getLong(); // the tag of the tick, which is not used
                double[] gauges = readGauges(batch);
                server.handle(() -> server.tick(clock, gauges));
            }
        }
    }

    private static Outcome readOutcome(ByteBuffer batch) {
        return OutcomeCode.toOutcome(Short.toUnsignedInt(batch.getShort()));
    }

    private static double[] readGauges(ByteBuffer batch) {
        double[] gauges = new double[Byte.toUnsignedInt(batch.get())];
        for (int i = 0; i < gauges.length; i++) {
            gauges[i] = batch.getFloat();
        }
        return gauges;
    }

    private static String readText(ByteBuffer batch, int length) {
        if (length < 0 || length > batch.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] bytes = new byte[length];
        batch.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
