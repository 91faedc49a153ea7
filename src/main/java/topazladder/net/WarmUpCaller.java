package topazladder.net;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import topazladder.config.SettingsReader;
import topazladder.net.codec.CallerFrameEncoder;
import topazladder.net.codec.CallerProtocol;
import topazladder.request.RequestClass;
import topazladder.request.RequestClass.Idempotency;

/** Stands in for the callers of the warm-up: sends requests of all classes in turn, a few at once. */
final class WarmUpCaller {
    private static final int REQUESTS_IN_FLIGHT = 8;
    private static final int BODY_BYTES = 40;
    private static final String MEMORY_COST_KILOBYTES = "10";
    private static final String RANK = "0.5";
    private static final String SENDER = "1";

    private final SettingsReader settings;
    private int responses;

    WarmUpCaller(SettingsReader settings) {
        this.settings = settings;
    }

    /** Responses that came so far. */
    int responses() {
        return responses;
    }

    /** Sends the requests on the connections in turn until all are answered or the deadline is over. */
    void send(long deadlineNanos, Socket... connections) throws IOException {
        List<RequestClass> requestClasses = settings.requestClasses();
        DataInputStream[] in = new DataInputStream[connections.length];
        for (int i = 0; i < connections.length; i++) {
            in[i] = new DataInputStream(new BufferedInputStream(connections[i].getInputStream()));
        }
        for (int i = 0; i < WarmUp.REQUESTS + REQUESTS_IN_FLIGHT && System.nanoTime() < deadlineNanos; i++) {
            int connection = i % connections.length;
            if (i >= REQUESTS_IN_FLIGHT) {
                readResponse(in[connection]);
                responses++;
            }
            if (i < WarmUp.REQUESTS) {
                RequestClass requestClass = requestClasses.get(i % requestClasses.size());
                connections[connection].getOutputStream().write(request(i + 1, requestClass));
            }
        }
    }

    private static void readResponse(DataInputStream in) throws IOException {
        byte type;
        do {
            byte[] frame = in.readNBytes(in.readInt());
            type = frame.length > 0 ? frame[0] : 0;
        } while (type == CallerProtocol.NO_NEW_REQUEST_FRAME);
    }

    private byte[] request(int number, RequestClass requestClass) {
        String reference = String.format("%016x", number);
        boolean keyed = requestClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY;
        boolean hasTenants = !settings.tenants().isEmpty();
        List<String> fields = List.of(
                CallerProtocol.REQUEST_CLASS, requestClass.name(),
                CallerProtocol.REFERENCE, reference,
                CallerProtocol.ARRIVAL_MILLIS, String.valueOf(System.currentTimeMillis()),
                CallerProtocol.MEMORY_COST_KILOBYTES, MEMORY_COST_KILOBYTES,
                CallerProtocol.RANK, RANK,
                hasTenants ? CallerProtocol.TENANT : CallerProtocol.SENDER,
                hasTenants ? settings.tenants().get(0).name() : SENDER,
                keyed ? CallerProtocol.IDEMPOTENCY_KEY : CallerProtocol.LOOKUP_KEY, reference);
        return CallerFrameEncoder.request(number, fields, new byte[BODY_BYTES]);
    }
}
