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
 * How fast the group's time runs. The library counts its heartbeats in whole seconds, which is too slow for a hall
 * whose leases are of seconds: its clock and its timers are handed in so many times as fast.
 */
public final class RaftTiming {
    /** By the library's time: 1 s between heartbeats, 5 s without one until an election, 1 s for one election. */
    private static final int HEARTBEAT_S = 1;
    private static final int PATIENCE_S = 5;
    private static final int ELECTION_MS = 1000;
    /** Entries in one message: what is sent must fit the link's bound. */
    private static final int BATCH = 64;
    private static final int COMMITS_TO_SNAPSHOT = 512;
    private static final int MOST_PENDING = 4096;

    private final double factor;

    /** @param heartbeat seconds between a leader's heartbeats */
    public RaftTiming(double heartbeat) {
        factor = HEARTBEAT_S / heartbeat;
    }

    RaftConfig config() {
        return RaftConfig.newBuilder().setLeaderHeartbeatPeriodSecs(HEARTBEAT_S)
                .setLeaderHeartbeatTimeoutSecs(PATIENCE_S).setLeaderElectionTimeoutMillis(ELECTION_MS)
                .setAppendEntriesRequestBatchSize(BATCH).setCommitCountToTakeSnapshot(COMMITS_TO_SNAPSHOT)
                .setMaxPendingLogEntryCount(MOST_PENDING).setRaftNodeReportPublishPeriodSecs(PATIENCE_S).build();
    }

    /** Seconds until a group that lost its leader has another, at the longest without a split vote. */
    public double failover() {
        return (PATIENCE_S + 2 * ELECTION_MS / 1000.0) / factor;
    }

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
                return Math.round(seconds.getAsDouble() * factor * 1000);
            }
        };
    }

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
                timers.schedule(unit.toNanos(delay) / 1e9 / factor, task);
            }
        };
    }
}
