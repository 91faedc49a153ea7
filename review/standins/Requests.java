package standins;

import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** All requests that client stubs wrote, which the platform's runtime knows as well: what came, and what is over. */
final class Requests {
    /** One try of a request. Times are seconds of the record, but for {@code since}. */
    static final class Sent {
        final String id;
        final String serviceClass;
        final String replay;
        final byte[] body;
        final long since;
        final int stub;
        final double dueAt;
        volatile double writtenAt;
        volatile double answeredAt = Double.NaN;
        volatile int code = -1;
        volatile byte[] answer;
        volatile int answers;
        volatile double gaveUpAt = Double.NaN;
        volatile double connectionEndedAt = Double.NaN;

        Sent(String id, String serviceClass, String replay, byte[] body, long since, int stub, double dueAt) {
            this.id = id;
            this.serviceClass = serviceClass;
            this.replay = replay;
            this.body = body;
            this.since = since;
            this.stub = stub;
            this.dueAt = dueAt;
        }

        boolean isAnswered() {
            return code >= 0;
        }

        boolean isOver() {
            return isAnswered() || !Double.isNaN(gaveUpAt) || !Double.isNaN(connectionEndedAt);
        }
    }

    private final Map<String, Sent> byId = new ConcurrentHashMap<>();

    void add(Sent sent) {
        byId.put(sent.id, sent);
    }

    Sent find(String id) {
        return byId.get(id);
    }

    Map<String, Sent> all() {
        return byId;
    }

    boolean isKnown(String id, String serviceClass, byte[] body) {
        Sent sent = byId.get(id);
        return sent != null && sent.serviceClass.equals(serviceClass) && Arrays.equals(sent.body, body);
    }
}
