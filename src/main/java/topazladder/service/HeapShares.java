package topazladder.service;

/**
 * How much of the heap each kind of what a dispatcher holds may take. The requests' own memory at the runtime is the
 * admission controller's; this is the memory of the process.
 *
 * @param inFlightBytes of requests between their arrival and their end
 * @param idempotencyKeys remembered at once
 * @param resultBytes of results kept with their keys
 * @param startedRequestIds remembered at once, of requests that must run at most once
 */
record HeapShares(long inFlightBytes, int idempotencyKeys, long resultBytes, int startedRequestIds) {
    private static final double IN_FLIGHT_SHARE = 0.15;
    private static final double KEY_SHARE = 0.15;
    private static final double RESULT_SHARE = 0.2;
    private static final double REQUEST_ID_SHARE = 0.05;
    private static final long MAX_RESULT_BYTES = 8 << 20;
    /** A record with its key, and what the admission controller keeps of its request until the window ends. */
    private static final int BYTES_PER_KEY = 1000;
    private static final int BYTES_PER_REQUEST_ID = 200;

    /** The shares of a heap of so many bytes. */
    static HeapShares of(long heapBytes) {
        return new HeapShares((long) (IN_FLIGHT_SHARE * heapBytes),
                count(KEY_SHARE * heapBytes / BYTES_PER_KEY),
                Math.min(MAX_RESULT_BYTES, (long) (RESULT_SHARE * heapBytes)),
                count(REQUEST_ID_SHARE * heapBytes / BYTES_PER_REQUEST_ID));
    }

    private static int count(double number) {
        return (int) Math.min(Integer.MAX_VALUE, number);
    }
}
