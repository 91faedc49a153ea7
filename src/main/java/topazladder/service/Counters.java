package topazladder.service;

import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;

/** What was taken in, sent and answered since the start; one number a kind, so nothing grows. */
public final class Counters {

    public enum Count {
        CONNECTIONS_TAKEN, CONNECTIONS_TURNED_AWAY, CONNECTIONS_GIVEN_WAY, CONNECTIONS_ENDED_AS_MALFORMED,
        CONNECTIONS_ENDED_AS_SILENT, CONNECTIONS_ENDED_AS_HALF_SAID, CONNECTIONS_ENDED_AS_OVERFULL,
        CONNECTIONS_ENDED_AS_TAKING_BACK, CONNECTIONS_ENDED_AS_UNUSABLE, REQUESTS_TAKEN_IN, REQUESTS_UNUSABLE,
        REQUESTS_RETRIES, REQUESTS_REPEATED, CHECKS_TAKEN_IN, CALLERS_GONE, RUNS_STARTED, RUNS_STARTED_AGAIN,
        STARTS_IN_DOUBT, RUNS_PASSED, RUNS_FAILED, RUNS_KILLED, RUNS_NOT_STARTED, CALLS_WANTED, CALLS_MADE,
        CALLS_WELL, CALLS_TURNED_AWAY, CALLS_FAILED, CALLS_REPEATED, CALLS_TOO_LONG, CALLS_CUT_OFF,
        CALLS_LEFT_OUT, REPLIES_UNREADABLE, REPLIES_TO_NO_CALL, JOINED, LEVELS_POSTED, SERVED, REJECTED,
        FAILED, ANSWERS_NOBODY_WAITED_FOR, COMMANDS_NOT_CARRIED_OUT, LINKS_LOST, LINKS_STALLED, GAUGES_READ,
        GAUGES_MISSED, LINES_UNREADABLE, CONFIGURATIONS_READ, CONFIGURATIONS_REFUSED, PEERS_ASKED, PEERS_FAILED,
        SHARES_TAKEN, SHARES_PUT_OFF, SHARES_GIVEN, ASKERS_PUT_OFF, ASKERS_REFUSED, FACTS_LEARNED,
        DELIVERIES_TAKEN, DELIVERIES_ACKNOWLEDGED, DELIVERIES_DELAYED, DELIVERIES_RETURNED,
        DELIVERIES_HANDED_BACK, DELIVERIES_DEAD_LETTERED, DELIVERIES_LOST, REPLIES_SENT, REPLIES_CONFIRMED,
        REPLIES_UNROUTABLE, REPLIES_LET_GO, MEMBERS_TAKEN, MEMBERS_REFUSED, MEMBERS_SUSPECTED, MEMBERS_GONE,
        SAID_TO_MEMBERS, HEARD_OF_MEMBERS, DUTIES_TAKEN, DUTIES_STOPPED, REPLICAS_LOST, FAULTS
    }

    private final long[] counts = new long[Count.values().length];

    public void add(Count count) {
        counts[count.ordinal()]++;
    }

    public void add(Count count, long n) {
        counts[count.ordinal()] += n;
    }

    public long of(Count count) {
        return counts[count.ordinal()];
    }

    /** Those that ever counted, on one line. */
    @Override
    public String toString() {
        return Arrays.stream(Count.values()).filter(c -> of(c) > 0)
                .map(c -> c.name().toLowerCase(Locale.ROOT).replace('_', '-') + "=" + of(c))
                .collect(Collectors.joining(" "));
    }
}
