package topazladder.consensus;

import io.microraft.RaftConfig;
import io.microraft.executor.RaftNodeExecutor;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import topazladder.service.Scheduler;

/**
 * Raft's timeouts. The library only takes heartbeat intervals of whole seconds, which is too slow for leases that last
 * seconds, so its clock and its executor run faster than real time: library time = time *
 * {@link #LIBRARY_HEARTBEAT_SECONDS} / heartbeat. Invariant: the ratio of heartbeat interval and election timeout keeps
 * the broadcast time well below the election timeout, as Raft's availability requires (Raft dissertation, section 3.9).
 */
final class RaftTiming {
    /** In library time, as all settings of the library. */
    private static final int LIBRARY_HEARTBEAT_SECONDS = 1;
    /** Time without a heartbeat after which a follower considers its leader dead. */
    private static final int LIBRARY_HEARTBEAT_TIMEOUT_SECONDS = 5;
    /** Time after which a candidate without a majority starts another election; the library adds a random delay. */
    private static final int LIBRARY_ELECTION_TIMEOUT_MILLIS = 1000;
    /** Log entries per message, which must fit in the link's largest frame. */
    private static final int MAX_APPENDED_ENTRIES = 64;
    private static final int COMMITS_PER_SNAPSHOT = 512;
    private static final int MAX_UNCOMMITTED_ENTRIES = 4096;

    private final double libraryTimeFactor;

    /** @param heartbeatSeconds interval between the leader's heartbeats, in real time */
    RaftTiming(double heartbeatSeconds) {
        libraryTimeFactor = LIBRARY_HEARTBEAT_SECONDS / heartbeatSeconds;
    }

    RaftConfig config() {
        return RaftConfig.newBuilder()
                .setLeaderHeartbeatPeriodSecs(LIBRARY_HEARTBEAT_SECONDS)
                .setLeaderHeartbeatTimeoutSecs(LIBRARY_HEARTBEAT_TIMEOUT_SECONDS)
                .setLeaderElectionTimeoutMillis(LIBRARY_ELECTION_TIMEOUT_MILLIS)
                .setAppendEntriesRequestBatchSize(MAX_APPENDED_ENTRIES)
                .setCommitCountToTakeSnapshot(COMMITS_PER_SNAPSHOT)
                .setMaxPendingLogEntryCount(MAX_UNCOMMITTED_ENTRIES)
                .setRaftNodeReportPublishPeriodSecs(LIBRARY_HEARTBEAT_TIMEOUT_SECONDS)
                .build();
    }

    /** The library's clock, derived from a clock in seconds of real time. */
    Clock clock(DoubleSupplier seconds) {
        return new Clock() {
            @Override
            public ZoneId getZone() {
                return ZoneOffset.UTC;
            }

            @Override
            public Clock withZone(ZoneId zone) {
                return this;
            }

            @Override
            public Instant instant() {
                return Instant.ofEpochMilli(millis());
            }

            @Override
            public long millis() {
                return Math.round(seconds.getAsDouble() * libraryTimeFactor * 1000);
            }
        };
    }

    /** The library's executor, which runs everything on the timers' thread. */
    RaftNodeExecutor executor(Scheduler timers) {
        return new RaftNodeExecutor() {
            @Override
            public void execute(Runnable task) {
                timers.schedule(0, task);
            }

            @Override
            public void submit(Runnable task) {
                timers.schedule(0, task);
            }

            @Override
            public void schedule(Runnable task, long delay, TimeUnit unit) {
                timers.schedule(unit.toNanos(delay) / 1e9 / libraryTimeFactor, task);
            }
        };
    }
}
