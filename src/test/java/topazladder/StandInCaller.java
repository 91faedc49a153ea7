package topazladder;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;

/** Stands in for a caller, with one connection on which frames are written and read by hand. */
public final class StandInCaller implements AutoCloseable {
    /** What {@link #receive} returns at the end of the connection. */
    public static final String CLOSED = "closed";

    private static final int READ_TIMEOUT_MILLIS = 20_000;

    private final Socket socket;
    private final DataInputStream in;
    private boolean reset;

    /** Connects to a port of the loopback interface. */
    public StandInCaller(int port) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        socket.setTcpNoDelay(true);
        in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
    }

    /** Writes the frames at once. */
    public StandInCaller send(byte[]... frames) throws IOException {
        ByteArrayOutputStream joined = new ByteArrayOutputStream();
        for (byte[] frame : frames) {
            joined.write(frame);
        }
        socket.getOutputStream().write(joined.toByteArray());
        return this;
    }

    /** It sends no more, and goes on reading. */
    public void shutdownOutput() throws IOException {
        socket.shutdownOutput();
    }

    /** Returns one frame as text, its type, stream, code, fields and body, or {@link #CLOSED}. */
    public String receive() throws IOException {
        try {
            byte[] frame = in.readNBytes(in.readInt());
            return CallerFrameBuilder.text(frame);
        } catch (EOFException e) {
            return CLOSED;
        } catch (SocketException e) {
            reset = true;
            return CLOSED;
        }
    }

    /** Whether the connection ended otherwise than by an orderly close. */
    public boolean wasReset() {
        return reset;
    }

    /**
     * The same for an end that was read as an orderly one: the first byte after it is taken if it was. A connection
     * that was closed over unread bytes ends in order first, and is reset a moment later.
     */
    public boolean wasResetAfterClose() {
        try {
            socket.getOutputStream().write(0);
        } catch (IOException e) {
            reset = true;
        }
        return reset;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
