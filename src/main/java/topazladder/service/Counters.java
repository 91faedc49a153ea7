package topazladder.service;

import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * What an instance has received, sent and answered since its start: one number a kind, so that nothing grows. SIGUSR1
 * and the exit log them.
 */
public final class Counters {

    /** What is counted. The log has each name in small letters with hyphens, in this order. */
    public enum Count {
        // Callers' connections.
        CONNECTIONS_ACCEPTED,
        /** All places were taken by connections with open requests. */
        CONNECTIONS_REJECTED,
        /** Closed while idle, to make room for a new one. */
        CONNECTIONS_EVICTED,
        /** Closed because of a frame that breaks the protocol. */
        CONNECTIONS_CLOSED_MALFORMED,
        /** Closed because no frame came. */
        CONNECTIONS_CLOSED_SILENT,
        /** Closed because the rest of a frame did not come. */
        CONNECTIONS_CLOSED_INCOMPLETE,
        /** Closed because the start of a message took memory that others needed. */
        CONNECTIONS_CLOSED_OUT_OF_MEMORY,
        CONNECTIONS_CLOSED_TOO_MANY_OPEN,
        CONNECTIONS_CLOSED_TOO_MANY_CANCELLED,
        CONNECTIONS_CLOSED_TOO_MANY_INVALID,
        /** A connection had more messages than one turn of the event loop allows, and let others go first. */
        READS_POSTPONED,

        // Requests and health checks as they arrive.
        REQUESTS_RECEIVED,
        /** In a sound frame, but with a field that is missing, impossible or unknown to the settings. */
        REQUESTS_INVALID,
        /** Rejected unadmitted, as the heap had no room for another request or key. */
        REQUESTS_OUT_OF_MEMORY,
        /** Under the id of a request that runs or may have run, whose caller had left; answered as failed. */
        REQUESTS_SENT_AGAIN,
        /** Marked as retries by their callers. */
        REQUESTS_RETRIES,
        /** Whose idempotency key was known here. */
        REQUESTS_DUPLICATED,
        HEALTH_CHECKS_RECEIVED,
        /** Before the response. */
        CALLERS_DISCONNECTED,

        // Runs at the runtime.
        RUNS_STARTED,
        /** Sent again after a lost link. */
        RUNS_RESTARTED,
        /** After a lost link nothing shows whether the runtime read the start. */
        STARTS_UNCERTAIN,
        RUNS_SUCCEEDED,
        RUNS_FAILED,
        RUNS_KILLED,
        RUNS_NOT_STARTED,

        // Dependency calls of runs.
        CALLS_REQUESTED,
        CALLS_MADE,
        CALLS_SUCCEEDED,
        /** Proved to have had no effect. */
        CALLS_REJECTED,
        CALLS_FAILED,
        CALLS_RETRIED,
        CALLS_TIMED_OUT,
        CALLS_CONNECTION_LOST,
        /** The run went on without the call. */
        CALLS_SKIPPED,
        REPLIES_MALFORMED,
        /** Belonging to no call. */
        REPLIES_UNEXPECTED,

        // Responses.
        /** Answered from the run of another attempt. */
        REQUESTS_JOINED,
        LEVELS_POSTED,
        SERVED,
        REJECTED,
        FAILED,
        /** Nobody waited for the result any more. */
        RESULTS_UNCLAIMED,

        // The link to the runtime.
        /** Commands that the runtime refused, because it knows no such request. */
        COMMANDS_REFUSED,
        LINKS_LOST,
        LINKS_STALLED,
        GAUGES_READ,
        /** Not received in time for a tick. */
        GAUGES_MISSED,
        LINES_MALFORMED,

        // Settings.
        CONFIGURATIONS_RELOADED,
        CONFIGURATIONS_REJECTED,

        // Learning from peers, and teaching them.
        PEERS_ASKED,
        PEERS_FAILED,
        SHARES_RECEIVED,
        /** A peer that was asked told this instance to come back later. */
        SHARES_POSTPONED,
        SHARES_SENT,
        /** A peer that asked was told to come back later. */
        PEERS_POSTPONED,
        PEERS_REJECTED,
        ESTIMATES_LEARNED,

        // Messages consumed from brokers, and the replies to them.
        DELIVERIES_RECEIVED,
        DELIVERIES_ACKNOWLEDGED,
        DELIVERIES_DELAYED,
        DELIVERIES_REQUEUED,
        /** Given back at once because the instance shuts down. */
        DELIVERIES_HANDED_BACK,
        DELIVERIES_DEAD_LETTERED,
        /** Their link was lost before they were settled. */
        DELIVERIES_LOST,
        REPLIES_SENT,
        REPLIES_CONFIRMED,
        REPLIES_UNROUTABLE,
        /** For want of memory. */
        REPLIES_DROPPED,

        // The cluster.
        MEMBERS_CONNECTED,
        MEMBERS_REJECTED,
        MEMBERS_SUSPECTED,
        MEMBERS_GONE,
        MEMBER_MESSAGES_SENT,
        MEMBER_MESSAGES_RECEIVED,
        LEASES_ACQUIRED,
        LEASES_RELEASED,
        REPLICAS_FAILED,

        /** Errors of the program itself, which the log has with their stack. */
        INTERNAL_ERRORS
    }

    private final long[] counts = new long[Count.values().length];

    /** Counts one. */
    public void add(Count count) {
        counts[count.ordinal()]++;
    }

    /** Counts several at once. */
    public void add(Count count, long number) {
        counts[count.ordinal()] += number;
    }

    /** The number since the start. */
    public long get(Count count) {
        return counts[count.ordinal()];
    }

    /** Those that ever counted, as {@code name=number} on one line. */
    @Override
    public String toString() {
        return Arrays.stream(Count.values())
                .filter(count -> get(count) > 0)
                .map(count -> count.name().toLowerCase(Locale.ROOT).replace('_', '-') + "=" + get(count))
                .collect(Collectors.joining(" "));
    }
}
