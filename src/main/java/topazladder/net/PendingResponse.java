package topazladder.net;

import topazladder.service.Caller;
import topazladder.service.InFlightRequest;
import topazladder.service.Response;

/** The one response that a stream of a connection is owed, to a request or to a health check. */
final class PendingResponse implements Caller {
    private final CallerStreams streams;
    private final long stream;
    private InFlightRequest request; // null for a health check, and for a request answered as it was read

    PendingResponse(CallerStreams streams, long stream) {
        this.streams = streams;
        this.stream = stream;
    }

    void requestDispatched(InFlightRequest dispatched) {
        request = dispatched;
    }

    InFlightRequest request() {
        return request;
    }

    @Override
    public void answer(Response response) {
        streams.answer(stream, response);
    }

    @Override
    public void unusable(Response response) {
        streams.answerInvalid(stream, response);
    }

    @Override
    public void health(boolean healthy, Double level) {
        streams.answerHealthCheck(stream, healthy, level);
    }
}
