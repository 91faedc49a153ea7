package topazladder.net.codec;

/**
 * Numbers and field names of the callers' protocol. The protocol's own names stay on the wire; here, and nowhere else,
 * they are mapped to the terms that the rest of the program uses.
 */
public final class CallerProtocol {
    public static final int REQUEST_FRAME = 16;
    public static final int RESPONSE_FRAME = 17;
    public static final int CANCELLATION_FRAME = 18;
    public static final int HEALTH_CHECK_FRAME = 32;
    public static final int HEALTH_RESPONSE_FRAME = 33;
    public static final int NO_NEW_REQUEST_FRAME = 48;

    public static final int SERVED_CODE = 0;
    public static final int REJECTED_CODE = 1;
    public static final int FAILED_CODE = 2;
    public static final int HEALTHY_CODE = 0;
    public static final int UNHEALTHY_CODE = 1;

    /** What is sent on it belongs to the connection, not to a request. */
    public static final long CONNECTION_STREAM = 0;

    public static final String REQUEST_CLASS = "service";
    public static final String REFERENCE = "ref";
    public static final String ARRIVAL_MILLIS = "since";
    public static final String SENDER = "sender";
    public static final String TENANT = "project";
    public static final String RETRY = "dup";
    public static final String MEMORY_COST_KILOBYTES = "room";
    public static final String RANK = "class_rank";
    public static final String IDEMPOTENCY_KEY = "replay";
    public static final String LOOKUP_KEY = "lookup";
    public static final String DEEP_CHECK = "inner";
    public static final String LEVEL = "pressure";
    public static final String RETRY_AFTER_MILLIS = "cooldown";
    public static final String NOT_ELSEWHERE = "nowhere";
    /** The value of a field that is absent where it does not hold. */
    public static final String SET = "1";

    /** Of the length, which counts all that follows it. */
    public static final int LENGTH_BYTES = 4;
    /** Type and stream, which every frame has. */
    public static final int HEADER_BYTES = 5;

    private CallerProtocol() {}
}
