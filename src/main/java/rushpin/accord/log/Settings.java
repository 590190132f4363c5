package rushpin.accord.log;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.ratis.RaftConfigKeys;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.server.RaftServerConfigKeys;
import org.apache.ratis.util.ExitUtils;
import org.apache.ratis.util.SizeInBytes;
import org.apache.ratis.util.TimeDuration;

/** The library's bounds, small enough for a voter within 48 MB of heap. */
final class Settings {
    /** Bytes of entries in one request at most; an entry is far smaller. */
    static final int BATCH = 128 << 10;

    private static final int SEGMENT = 1 << 20;
    /** Entries from one snapshot to the next. */
    private static final int SNAPSHOT = 2_048;
    /** Entries that are kept before a snapshot for voters that lag. */
    private static final int KEPT = 512;
    /** A process that was stopped for longer than this would be closed by the library. */
    private static final TimeDuration NEVER = TimeDuration.valueOf(10_000, TimeUnit.DAYS);

    /** Held here: a logger that nobody holds forgets its level. */
    private static final Logger LOGGER = Logger.getLogger("org.apache.ratis");

    private Settings() {}

    /**
     * The library ends the process where its disk fails, and puts a handler of its own to all threads. Neither is wanted in an edge
     * node: a voter that fails steps back, and requests go on. It also writes a stack trace for each request that fails; what an
     * operator has to know the {@link Replica.Listener} hears, so its log is off where nobody set its level.
     */
    static synchronized void tame() {
        Thread.UncaughtExceptionHandler before = Thread.getDefaultUncaughtExceptionHandler();
        ExitUtils.disableSystemExit();
        ExitUtils.setTerminateOnUncaughtException(false);
        Thread.setDefaultUncaughtExceptionHandler(before);
        if (LOGGER.getLevel() == null) {
            LOGGER.setLevel(Level.OFF);
        }
    }

    static RaftProperties of(Path folder, Replica.Timing timing) {
        RaftProperties keys = new RaftProperties();
        RaftConfigKeys.Rpc.setType(keys, new Wire());
        RaftServerConfigKeys.setStorageDir(keys, List.of(folder.toFile()));
        RaftServerConfigKeys.setCloseThreshold(keys, NEVER);
        TimeDuration least = nanos(timing.electionLeast());
        TimeDuration most = nanos(timing.electionMost());
        RaftServerConfigKeys.Rpc.setTimeoutMin(keys, least);
        RaftServerConfigKeys.Rpc.setTimeoutMax(keys, most);
        RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMin(keys, least);
        RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMax(keys, most);
        RaftServerConfigKeys.Rpc.setRequestTimeout(keys, nanos(timing.heartbeat()));
        RaftServerConfigKeys.Rpc.setSleepTime(keys, nanos(timing.heartbeat()));
        RaftServerConfigKeys.LeaderElection.setPreVote(keys, true);
        // A leader that lost its majority lets the others stand first, but it may have the only log that a majority
        // votes for.
        RaftServerConfigKeys.LeaderElection.setLeaderStepDownWaitTime(keys, most);

        RaftServerConfigKeys.Log.setSegmentSizeMax(keys, SizeInBytes.valueOf(SEGMENT));
        RaftServerConfigKeys.Log.setPreallocatedSize(keys, SizeInBytes.valueOf(64 << 10));
        RaftServerConfigKeys.Log.setWriteBufferSize(keys, SizeInBytes.valueOf(BATCH + 1_024));
        RaftServerConfigKeys.Log.setSegmentCacheNumMax(keys, 2);
        RaftServerConfigKeys.Log.setSegmentCacheSizeMax(keys, SizeInBytes.valueOf(2 * SEGMENT));
        RaftServerConfigKeys.Log.setQueueElementLimit(keys, Replica.PROPOSALS);
        RaftServerConfigKeys.Log.setQueueByteLimit(keys, SizeInBytes.valueOf(4 * SEGMENT));
        RaftServerConfigKeys.Log.setPurgeGap(keys, 1);
        RaftServerConfigKeys.Log.setPurgeUptoSnapshotIndex(keys, true);
        RaftServerConfigKeys.Log.setPurgePreservationLogNum(keys, KEPT);

        RaftServerConfigKeys.Log.Appender.setBufferByteLimit(keys, SizeInBytes.valueOf(BATCH));
        RaftServerConfigKeys.Log.Appender.setBufferElementLimit(keys, Replica.PROPOSALS);
        RaftServerConfigKeys.Log.Appender.setSnapshotChunkSizeMax(keys, SizeInBytes.valueOf(BATCH));
        RaftServerConfigKeys.Log.Appender.setInstallSnapshotEnabled(keys, true);

        RaftServerConfigKeys.Snapshot.setAutoTriggerEnabled(keys, true);
        RaftServerConfigKeys.Snapshot.setAutoTriggerThreshold(keys, SNAPSHOT);
        RaftServerConfigKeys.Snapshot.setCreationGap(keys, SNAPSHOT);
        RaftServerConfigKeys.Snapshot.setRetentionFileNum(keys, 2);
        RaftServerConfigKeys.Snapshot.setTriggerWhenStopEnabled(keys, false);

        RaftServerConfigKeys.Write.setElementLimit(keys, Replica.PROPOSALS);
        RaftServerConfigKeys.Write.setByteLimit(keys, SizeInBytes.valueOf(4 * SEGMENT));
        // proposals come one after the other
        RaftServerConfigKeys.ThreadPool.setClientCached(keys, false);
        RaftServerConfigKeys.ThreadPool.setClientSize(keys, 1);
        RaftServerConfigKeys.Watch.setElementLimit(keys, 1);
        // nothing is asked twice under one number: answers need not be kept
        RaftServerConfigKeys.RetryCache.setExpiryTime(keys, TimeDuration.ONE_SECOND);
        RaftServerConfigKeys.RetryCache.setStatisticsExpiryTime(keys, TimeDuration.ONE_SECOND);
        return keys;
    }

    private static TimeDuration nanos(long nanos) {
        return TimeDuration.valueOf(TimeUnit.NANOSECONDS.toMillis(nanos), TimeUnit.MILLISECONDS);
    }
}
