package topazladder;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;

/** Stands in for a caller, one connection each. */
public final class Stub implements AutoCloseable {
    private final Socket socket;
    private final DataInputStream in;
    private boolean reset;

    public Stub(int port) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(20_000);
        socket.setTcpNoDelay(true);
        in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
    }

    public Stub send(byte[]... frames) throws IOException {
        ByteArrayOutputStream joined = new ByteArrayOutputStream();
        for (byte[] frame : frames) {
            joined.write(frame);
        }
        socket.getOutputStream().write(joined.toByteArray());
        return this;
    }

    /** It sends no more, and goes on reading. */
    public void saysNoMore() throws IOException {
        socket.shutdownOutput();
    }

    /** One frame: its type, stream, code, fields and body, or what ended the connection. */
    public String hear() throws IOException {
        try {
            byte[] frame = in.readNBytes(in.readInt());
            return Frames.text(frame);
        } catch (EOFException e) {
            return "closed";
        } catch (SocketException e) {
            reset = true;
            return "closed";
        }
    }

    /** Whether the connection ended otherwise than by a close in order. */
    public boolean wasReset() {
        return reset;
    }

    /**
     * The same for an end that was heard as one in order: the first byte after it is taken if it was. A connection that
     * was closed over unread bytes ends in order first, and is reset a moment later.
     */
    public boolean wasResetAfterItsEnd() {
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
