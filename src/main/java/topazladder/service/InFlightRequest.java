package topazladder.service;

import topazladder.request.Request;

/** One request between its arrival and the end of all that is done for it. */
public final class InFlightRequest {

    private enum RunState {
        NOT_STARTED, STARTED,
        /** It was started, and its end proves that it had no effect. */
        NOT_RUN
    }

    private enum CallState { NONE, IN_FLIGHT }

    private enum ResponseState {
        OWED,
        /** The response was sent, or its caller is gone. */
        SETTLED
    }

    private final IncomingRequest incoming;
    private final ResponseListener listener;
    private final Request request;
    private final byte[] digest;
    private IdempotencyRecord idempotencyRecord;
    private RunState runState = RunState.NOT_STARTED;
    private CallState callState = CallState.NONE;
    private ResponseState responseState = ResponseState.OWED;
    private long callNotificationNumber;
    private byte[] callBody;
    private double callStartedAt;

    /**
     * A request that was received just now.
     *
     * @param idempotencyRecord of its key, or null where that is not known yet
     * @param digest of what all attempts of the request carry, or null where it has no idempotency key
     */
    InFlightRequest(IncomingRequest incoming, ResponseListener listener, Request request,
            IdempotencyRecord idempotencyRecord, byte[] digest) {
        this.incoming = incoming;
        this.listener = listener;
        this.request = request;
        this.idempotencyRecord = idempotencyRecord;
        this.digest = digest;
    }

    /** What the caller sent. */
    IncomingRequest incoming() {
        return incoming;
    }

    String requestId() {
        return incoming.requestId();
    }

    ResponseListener listener() {
        return listener;
    }

    /** What the admission controller knows it by. */
    Request request() {
        return request;
    }

    byte[] digest() {
        return digest;
    }

    /** The record of its idempotency key, or null while that is not remembered. */
    IdempotencyRecord idempotencyRecord() {
        return idempotencyRecord;
    }

    void setIdempotencyRecord(IdempotencyRecord record) {
        idempotencyRecord = record;
    }

    /** Whether another attempt owns the record of its key, so that this one waits for what the other comes to. */
    boolean waitsForOtherAttempt() {
        return idempotencyRecord != null && !idempotencyRecord.isOwnedBy(this);
    }

    /** Whether its run was started, once or more. */
    boolean isStarted() {
        return runState != RunState.NOT_STARTED;
    }

    /** Whether it was started, and nothing proves that it had no effect. */
    boolean mayHaveRun() {
        return runState == RunState.STARTED;
    }

    void markNotRun() {
        runState = RunState.NOT_RUN;
    }

    void markStarted() {
        runState = RunState.STARTED;
    }

    boolean isResponseOwed() {
        return responseState == ResponseState.OWED;
    }

    void settleResponse() {
        responseState = ResponseState.SETTLED;
    }

    /** The run waits for a dependency call, which is not made yet. */
    void requestCall(long notificationNumber, byte[] body) {
        callNotificationNumber = notificationNumber;
        callBody = body;
    }

    /** The runtime's notification that asked for the last call. */
    long callNotificationNumber() {
        return callNotificationNumber;
    }

    byte[] callBody() {
        return callBody;
    }

    void startCall(double nowUnixSeconds) {
        callState = CallState.IN_FLIGHT;
        callStartedAt = nowUnixSeconds;
    }

    /** Returns whether a call was in flight. */
    boolean endCall() {
        boolean wasInFlight = callState == CallState.IN_FLIGHT;
        callState = CallState.NONE;
        return wasInFlight;
    }

    double callStartedAt() {
        return callStartedAt;
    }
}
