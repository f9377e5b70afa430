package marlford.consensus;

import io.microraft.RaftConfig;

/** The configuration of the Raft engine, in its own time, of which {@link EngineExecutor#FACTOR} ms are one real ms. */
final class EngineConfig {
    private static final int ELECTION_MS = 1500; // 300 ms
    private static final int HEARTBEAT_S = 1; // 200 ms
    private static final int LEADER_SILENCE_S = 5; // 1 s, after which a leader is given up
    private static final int SNAPSHOT_ENTRIES = 5000; // committed between two snapshots
    private static final int PENDING_ENTRIES_MAX = 5000;
    private static final int REPORT_S = 3600;

    private EngineConfig() {}

    static RaftConfig create() {
        return RaftConfig.newBuilder()
                .setLeaderElectionTimeoutMillis(ELECTION_MS)
                .setLeaderHeartbeatPeriodSecs(HEARTBEAT_S)
                .setLeaderHeartbeatTimeoutSecs(LEADER_SILENCE_S)
                .setCommitCountToTakeSnapshot(SNAPSHOT_ENTRIES)
                .setMaxPendingLogEntryCount(PENDING_ENTRIES_MAX)
                .setRaftNodeReportPublishPeriodSecs(REPORT_S)
                .build();
    }
}
