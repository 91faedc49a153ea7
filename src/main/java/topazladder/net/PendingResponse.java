package topazladder.net;

import topazladder.service.AdmissionLevel;
import topazladder.service.InFlightRequest;
import topazladder.service.Response;
import topazladder.service.ResponseListener;

/** The one response that a stream of a connection is owed, to a request or to a health check. */
final class PendingResponse implements ResponseListener {
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
    public void onResponse(Response response) {
        streams.answer(stream, response);
    }

    @Override
    public void onInvalidRequest(Response response) {
        streams.answerInvalid(stream, response);
    }

    @Override
    public void onHealth(boolean healthy, AdmissionLevel level) {
        streams.answerHealthCheck(stream, healthy, level);
    }
}
