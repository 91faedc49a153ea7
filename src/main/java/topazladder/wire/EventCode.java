package topazladder.wire;

/** Record codes of the events that the simulator sends. */
final class EventCode {
    static final int SERVER_STARTED = 256;
    static final int REQUEST_ARRIVED = 257;
    static final int RUN_ENDED = 258;
    static final int DEPENDENCY_CALL_REQUESTED = 259;
    static final int DEPENDENCY_CALL_ENDED = 260;
    static final int DRAIN = 261;
    static final int CALLER_DISCONNECTED = 262;
    static final int TICK = 263;
    static final int SERVER_KILLED = 264;

    private EventCode() {}
}
