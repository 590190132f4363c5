package rushpin.accord.log;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.Comparator;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.apache.ratis.proto.RaftProtos.AppendEntriesReplyProto;
import org.apache.ratis.proto.RaftProtos.AppendEntriesRequestProto;
import org.apache.ratis.proto.RaftProtos.InstallSnapshotReplyProto;
import org.apache.ratis.proto.RaftProtos.InstallSnapshotRequestProto;
import org.apache.ratis.rpc.CallId;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.leader.FollowerInfo;
import org.apache.ratis.server.leader.LeaderState;
import org.apache.ratis.server.leader.LogAppenderBase;
import org.apache.ratis.server.raftlog.RaftLog;
import org.apache.ratis.statemachine.SnapshotInfo;
import org.apache.ratis.util.Timestamp;

/**
 * Sends the log to one voter while this one leads, one request at a time, on a thread of the library's own.
 *
 * <p>As the library's plain one, but for its lock. A leader that hears of a later term steps down under the server's lock and waits there
 * for its senders; the library's sender asks for the same lock to tell of a later term. Where two requests are answered so within
 * a moment of each other (a leader that was cut off, and comes back), the voter stands still for ever. What is told needs no lock: it is
 * put into the leader's queue. For the same reason a snapshot's chunks are made beside that lock.
 */
final class Sender extends LogAppenderBase {
    Sender(RaftServer.Division server, LeaderState leads, FollowerInfo to) {
        super(beside(server), leads, to);
    }

    /**
     * The same server as another object: the library makes each chunk of a snapshot under the lock of the one that its sender was given, and
     * this sender has to end while that lock is held. The chunk's term may so be of a moment after this lead; see {@link #ofThisLead}.
     */
    private static RaftServer.Division beside(RaftServer.Division server) {
        return (RaftServer.Division) Proxy.newProxyInstance(
                RaftServer.Division.class.getClassLoader(),
                new Class<?>[] {RaftServer.Division.class},
                (self, method, arguments) -> {
                    try {
                        return method.invoke(server, arguments);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }

    @Override
    public long getCallId() {
        return CallId.get();
    }

    @Override
    public Comparator<Long> getCallIdComparator() {
        return CallId.getComparator();
    }

    /** Takes no lock. */
    @Override
    public boolean onFollowerTerm(long term) {
        try {
            return getLeaderState().onFollowerTerm(getFollower(), term);
        } catch (IllegalStateException e) {
            // The server's term is no more that of this lead: it steps down already.
            return true;
        }
    }

    @Override
    public void run() throws InterruptedException, IOException {
        while (isRunning()) {
            if (shouldSendAppendEntries()) {
                SnapshotInfo snapshot = shouldInstallSnapshot();
                if (snapshot == null) {
                    entries();
                } else if (!snapshot(snapshot) && isRunning()) {
                    // a voter that is not there, or can't take it now, is not asked again at once
                    getServer().properties().rpcSleepTime().sleep();
                }
            }
            if (isRunning() && !hasAppendEntries()) {
                getEventAwaitForSignal().await(getHeartbeatWaitTimeMs(), TimeUnit.MILLISECONDS);
            }
            getLeaderState().checkHealth(getFollower());
        }
    }

    /** Sends what comes next until it is answered. */
    private void entries() throws InterruptedException, IOException {
        AppendEntriesRequestProto request = null;
        while (isRunning()) {
            if (request == null || request.getEntriesCount() == 0) {
                request = newAppendEntriesRequest(CallId.getAndIncrement(), false);
            }
            if (request == null || !isRunning()) {
                return;
            }
            try {
                resetHeartbeatTrigger();
                Timestamp sent = Timestamp.currentTime();
                getFollower().updateLastRpcSendTime(request.getEntriesCount() == 0);
                AppendEntriesReplyProto reply = getServerRpc().appendEntries(request);
                getFollower().updateLastRpcResponseTime();
                getFollower().updateLastRespondedAppendEntriesSendTime(sent);
                getLeaderState().onFollowerCommitIndex(getFollower(), reply.getFollowerCommit());
                answered(
                        reply,
                        request.getEntriesCount() > 0 ? request.getEntries(0).getIndex() : RaftLog.INVALID_LOG_INDEX);
                return;
            } catch (InterruptedIOException e) {
                throw e;
            } catch (IOException e) {
                getServerRpc().handleException(getFollowerId(), e, false);
            }
            if (isRunning()) {
                getServer().properties().rpcSleepTime().sleep();
            }
        }
    }

    private void answered(AppendEntriesReplyProto reply, long first) {
        switch (reply.getResult()) {
            case SUCCESS -> {
                long next = reply.getNextIndex(), before = getFollower().getNextIndex();
                if (next < before) {
                    throw new IllegalStateException("next index " + next + " after " + before);
                }
                if (next > before) {
                    getFollower().updateMatchIndex(next - 1);
                    getFollower().increaseNextIndex(next);
                    getLeaderState().onFollowerSuccessAppendEntries(getFollower());
                }
            }
            case NOT_LEADER -> onFollowerTerm(reply.getTerm());
            case INCONSISTENCY -> getFollower().setNextIndex(getNextIndexForInconsistency(first, reply.getNextIndex()));
            default -> {
                // of no meaning to this version
            }
        }
        getLeaderState().onAppendEntriesReply(this, reply);
    }

    /** Sends a snapshot in chunks, and returns whether it was taken; where one is not answered, all are sent anew in the next round. */
    private boolean snapshot(SnapshotInfo snapshot) throws InterruptedIOException {
        InstallSnapshotReplyProto reply = null;
        try {
            for (InstallSnapshotRequestProto chunk :
                    newInstallSnapshotRequests(UUID.randomUUID().toString(), snapshot)) {
                if (!ofThisLead(chunk)) {
                    return false;
                }
                getFollower().updateLastRpcSendTime(false);
                reply = getServerRpc().installSnapshot(chunk);
                getFollower().updateLastRpcResponseTime();
                if (!reply.getServerReply().getSuccess()) {
                    break;
                }
            }
        } catch (InterruptedIOException e) {
            throw e;
        } catch (IOException | RuntimeException e) {
            getServerRpc()
                    .handleException(
                            getFollowerId(), e instanceof IOException ? (IOException) e : new IOException(e), false);
            return false;
        }
        if (reply == null) {
            return false;
        }
        boolean taken = reply.getServerReply().getSuccess();
        if (taken) {
            getFollower().setSnapshotIndex(snapshot.getTermIndex().getIndex());
            getServer().getRaftServerMetrics().onSnapshotInstalled();
        }
        switch (reply.getResult()) {
            case NOT_LEADER -> onFollowerTerm(reply.getTerm());
            case SUCCESS, SNAPSHOT_UNAVAILABLE, ALREADY_INSTALLED, SNAPSHOT_EXPIRED ->
                getFollower().setAttemptedToInstallSnapshot();
            default -> {
                // told again in the next round
            }
        }
        return taken;
    }

    /** Whether a chunk says the term of this lead, and not a later one in which another voter leads: who took it would follow this one. */
    boolean ofThisLead(InstallSnapshotRequestProto chunk) {
        try {
            return chunk.getLeaderTerm()
                    == getLeaderState()
                            .newAppendEntriesRequestProto(getFollower(), List.of(), null, CallId.getAndIncrement())
                            .getLeaderTerm();
        } catch (IllegalStateException e) {
            // The server's term is no more that of this lead: it steps down already.
            return false;
        }
    }
}
