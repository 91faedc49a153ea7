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
 * Raft's timeouts. The library counts heartbeats in whole seconds, which is too slow for leases of seconds, so its
 * clock and its executor run faster: library time = time * {@link #LIBRARY_HEARTBEAT_SECONDS} / heartbeat. Invariant:
 * heartbeat and leader election timeout are in the ratio that Raft's availability asks for, broadcast time well below
 * the election timeout (Raft dissertation, section 3.9).
 */
final class RaftTiming {
    /** By the library's time, as all its other settings. */
    private static final int LIBRARY_HEARTBEAT_SECONDS = 1;
    /** Without a heartbeat for as long, a follower takes its leader for dead. */
    private static final int LIBRARY_HEARTBEAT_TIMEOUT_SECONDS = 5;
    /** After as long a candidate without a majority begins another election, with a random part added. */
    private static final int LIBRARY_ELECTION_TIMEOUT_MILLIS = 1000;
    /** Entries in one message: what is sent must fit the link's bound. */
    private static final int MAX_APPENDED_ENTRIES = 64;
    private static final int COMMITS_PER_SNAPSHOT = 512;
    private static final int MAX_UNCOMMITTED_ENTRIES = 4096;

    private final double libraryTimeFactor;

    /** For a leader that sends its heartbeats so many seconds apart. */
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

    /** The library's clock, from one that counts seconds. */
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

    /** The library's executor, on the one thread of the timers. */
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
