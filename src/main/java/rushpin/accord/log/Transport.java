package rushpin.accord.log;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;
import org.apache.ratis.proto.RaftProtos.AppendEntriesReplyProto;
import org.apache.ratis.proto.RaftProtos.AppendEntriesRequestProto;
import org.apache.ratis.proto.RaftProtos.CommitInfoProto;
import org.apache.ratis.proto.RaftProtos.InstallSnapshotReplyProto;
import org.apache.ratis.proto.RaftProtos.InstallSnapshotRequestProto;
import org.apache.ratis.proto.RaftProtos.RaftPeerProto;
import org.apache.ratis.proto.RaftProtos.RaftRpcRequestProto;
import org.apache.ratis.proto.RaftProtos.RequestVoteReplyProto;
import org.apache.ratis.proto.RaftProtos.RequestVoteRequestProto;
import org.apache.ratis.proto.RaftProtos.StartLeaderElectionReplyProto;
import org.apache.ratis.proto.RaftProtos.StartLeaderElectionRequestProto;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.rpc.RpcType;
import org.apache.ratis.server.RaftServerRpc;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.apache.ratis.thirdparty.com.google.protobuf.InvalidProtocolBufferException;
import org.apache.ratis.thirdparty.com.google.protobuf.MessageLite;
import org.apache.ratis.thirdparty.com.google.protobuf.Parser;
import org.apache.ratis.thirdparty.com.google.protobuf.UnknownFieldSet;

/**
 * Requests of the library as bytes over a {@link Carrier}, one answer each, nothing resent here. Each call comes on a thread of
 * the library's own for that one voter and waits there, never longer than the patience.
 */
final class Transport implements RaftServerRpc {
    /** A field that we add to the library's votes; its own are numbered from 1. */
    private static final int REACHED = 1_000;

    private final Carrier carrier;
    private final LongSupplier clock;
    private final Memory memory;
    /** Nanoseconds: for entries, as a rule, and for what is asked once or takes long. */
    private final long shortly;

    private final long writing;
    /** Voters' names by their ids. */
    private final Map<RaftPeerId, String> names = new ConcurrentHashMap<>();
    /** What voters have said to have stored, each by entries of the newest term in which this voter led. */
    private final Map<RaftPeerId, Stored> stored = new ConcurrentHashMap<>();
    /** How far voters' logs reached as was noted, before this start too; replaced whole. */
    private volatile Map<String, Long> noted = Map.of();
    /** How long an answer to entries is waited for, where that is longer than shortly. */
    private final Map<RaftPeerId, Long> patience = new ConcurrentHashMap<>();
    /** When voters answered last, by the clock. */
    private final Map<RaftPeerId, Long> answers = new ConcurrentHashMap<>();

    private volatile boolean open;

    private record Stored(long term, long index) {}

    /** What this voter has voted and stored. */
    interface Memory {
        /** Puts this voter's vote on the disk for good, or fails where it may not vote. */
        void vote() throws IOException;

        /** Another voter knows how far this one's log reached, -1 if it does not; fails where it ends before that. */
        void reached(long index) throws IOException;
    }

    /** A way over a carrier; opens nothing. */
    Transport(Carrier carrier, LongSupplier clock, long shortly, long writing, Memory memory) {
        this.memory = memory;
        this.carrier = carrier;
        this.clock = clock;
        this.shortly = shortly;
        this.writing = writing;
    }

    /** Whether anything goes out; nothing does before the first call, nor while the disk hangs. */
    void open(boolean may) {
        open = may;
    }

    /** Whether a majority of these, with the one whose transport this is, has answered within so long. */
    boolean majority(Collection<RaftPeer> voters, RaftPeerId me, long within) {
        long now = clock.getAsLong();
        int there = 0;
        for (RaftPeer voter : voters) {
            Long at = answers.get(voter.getId());
            if (voter.getId().equals(me) || at != null && now - at <= within) {
                there++;
            }
        }
        return there > voters.size() / 2;
    }

    @Override
    public RequestVoteReplyProto requestVote(RequestVoteRequestProto request) throws IOException {
        // who asks has voted for itself
        memory.vote();
        ByteString to = request.getServerRequest().getReplyId();
        // asked once an election, which waits no longer itself
        RequestVoteReplyProto reply = call(
                request.getServerRequest(),
                Carrier.Kind.VOTE,
                request.toBuilder().setUnknownFields(reminder(to)).build(),
                RequestVoteReplyProto.parser(),
                writing);
        memory.reached(reached(reply.getUnknownFields()));
        return reply;
    }

    @Override
    public AppendEntriesReplyProto appendEntries(AppendEntriesRequestProto request) throws IOException {
        RaftPeerId to = RaftPeerId.valueOf(request.getServerRequest().getReplyId());
        AppendEntriesReplyProto reply = proven(request, patiently(reminded(request, to), to));
        if (reply.getResult() == AppendEntriesReplyProto.AppendResult.SUCCESS && request.getEntriesCount() > 0) {
            Stored now = new Stored(request.getLeaderTerm(), reply.getNextIndex() - 1);
            stored.merge(to, now, (old, one) -> old.term == one.term && old.index > one.index ? old : one);
        }
        return reply;
    }

    /**
     * Where answers take longer than is usual, on a busy machine or a slow way, each one would be given up just before it came: after one that
     * did not come in time the next has twice the time, up to the longest election, and less again when answers are quick.
     */
    private AppendEntriesReplyProto patiently(AppendEntriesRequestProto request, RaftPeerId to) throws IOException {
        long wait = patience.getOrDefault(to, shortly), sent = clock.getAsLong();
        try {
            AppendEntriesReplyProto reply = call(
                    request.getServerRequest(), Carrier.Kind.APPEND, request, AppendEntriesReplyProto.parser(), wait);
            if (2 * (clock.getAsLong() - sent) < wait) {
                patience.put(to, Math.max(shortly, wait / 2));
            }
            return reply;
        } catch (IOException e) {
            if (clock.getAsLong() - sent >= wait) {
                patience.put(to, Math.min(2 * wait, writing));
            }
            throw e;
        }
    }

    /** Whether a voter has said that its log reaches as far as an entry made by this voter's newest lead. */
    boolean hasStored(RaftPeerId voter, long index) {
        Stored of = stored.get(voter);
        return of != null && of.index >= index;
    }

    /** How far others' logs reached, by id, now or before this start. */
    void noted(Map<String, Long> reached) {
        noted = Map.copyOf(reached);
    }

    /**
     * The library tells each voter what all have committed as far as the leader knows; here also what this one has stored, and what it had
     * committed as the leader noted, before it was started anew too.
     */
    private AppendEntriesRequestProto reminded(AppendEntriesRequestProto request, RaftPeerId to) {
        Stored of = stored.get(to);
        long reached = Math.max(
                of == null || of.term != request.getLeaderTerm() ? -1 : of.index,
                noted.getOrDefault(to.toString(), -1L));
        return reached < 0
                ? request
                : request.toBuilder()
                        .addCommitInfos(CommitInfoProto.newBuilder()
                                .setCommitIndex(reached)
                                .setServer(RaftPeerProto.newBuilder()
                                        .setId(request.getServerRequest().getReplyId())))
                        .build();
    }

    /**
     * Who asks for a vote tells how far the log of the voter it asks reached, as was noted, and who is asked tells it of the one who asks:
     * where none leads, nobody else can, and with a vote that forgot what it stored one who lacks it would be elected. The library passes
     * over a field that it doesn't know.
     */
    UnknownFieldSet reminder(ByteString voter) {
        Long reached = noted.get(voter.toStringUtf8());
        return reached == null
                ? UnknownFieldSet.getDefaultInstance()
                : UnknownFieldSet.newBuilder()
                        .addField(
                                REACHED,
                                UnknownFieldSet.Field.newBuilder()
                                        .addVarint(reached)
                                        .build())
                        .build();
    }

    /** How far the log of a voter reached by a reminder; -1 if unknown. */
    static long reached(UnknownFieldSet reminder) {
        return reminder.getField(REACHED).getVarintList().stream()
                .mapToLong(Long::longValue)
                .max()
                .orElse(-1);
    }

    /** How far the log of a voter reached by what it has said itself to whoever leads, or to a leader before; -1 if unknown. */
    static long reached(AppendEntriesRequestProto request) {
        ByteString to = request.getServerRequest().getReplyId();
        return request.getCommitInfosList().stream()
                .filter(info -> info.getServer().getId().equals(to))
                .mapToLong(CommitInfoProto::getCommitIndex)
                .max()
                .orElse(-1);
    }

    /**
     * A request without what it says of the voter it is for. The library keeps the greatest it ever heard of anybody, itself too, and tells it
     * on as committed; what was only stored may still be taken back by another leader, and the voter would be held for one put back.
     */
    static AppendEntriesRequestProto withoutOwn(AppendEntriesRequestProto request) {
        ByteString to = request.getServerRequest().getReplyId();
        List<CommitInfoProto> others = request.getCommitInfosList().stream()
                .filter(info -> !info.getServer().getId().equals(to))
                .toList();
        return others.size() == request.getCommitInfosCount()
                ? request
                : request.toBuilder()
                        .clearCommitInfos()
                        .addAllCommitInfos(others)
                        .build();
    }

    /**
     * The library's appender takes the next index of any answer for how far the two logs are the same. In the answer to a mere
     * heartbeat it is where the voter's own log ends, and that may be entries of a leader of before which nobody else has: they would
     * be counted as stored copies of other entries. So it is set to what this request has proven.
     */
    private static AppendEntriesReplyProto proven(AppendEntriesRequestProto request, AppendEntriesReplyProto reply) {
        if (reply.getResult() != AppendEntriesReplyProto.AppendResult.SUCCESS) {
            return reply;
        }
        int count = request.getEntriesCount();
        long next = count > 0
                ? request.getEntries(count - 1).getIndex() + 1
                : request.hasPreviousLog() ? request.getPreviousLog().getIndex() + 1 : 0;
        return reply.toBuilder().setNextIndex(next).build();
    }

    @Override
    public InstallSnapshotReplyProto installSnapshot(InstallSnapshotRequestProto request) throws IOException {
        return call(
                request.getServerRequest(),
                Carrier.Kind.SNAPSHOT,
                request,
                InstallSnapshotReplyProto.parser(),
                writing);
    }

    @Override
    public StartLeaderElectionReplyProto startLeaderElection(StartLeaderElectionRequestProto request)
            throws IOException {
        return call(
                request.getServerRequest(),
                Carrier.Kind.START_ELECTION,
                request,
                StartLeaderElectionReplyProto.parser(),
                shortly);
    }

    private <T> T call(
            RaftRpcRequestProto head, Carrier.Kind kind, MessageLite request, Parser<T> parser, long patience)
            throws IOException {
        RaftPeerId to = RaftPeerId.valueOf(head.getReplyId());
        String name = names.get(to);
        if (!open || name == null) {
            throw new IOException(open ? "no name for voter " + to : "stepped back");
        }
        CompletableFuture<byte[]> answer = carrier.carry(name, kind, request.toByteArray(), patience);
        try {
            // the carrier ends it by the same patience; this is for one that does not
            byte[] bytes = answer.get(2 * patience, TimeUnit.NANOSECONDS);
            answers.put(to, clock.getAsLong());
            return parser.parseFrom(bytes);
        } catch (InterruptedException e) {
            throw (IOException) new InterruptedIOException(kind + " to " + name).initCause(e);
        } catch (ExecutionException | TimeoutException | InvalidProtocolBufferException e) {
            throw new IOException(kind + " to " + name, e);
        }
    }

    @Override
    public void addRaftPeers(Collection<RaftPeer> peers) {
        for (RaftPeer peer : peers) {
            names.put(peer.getId(), peer.getAddress());
        }
    }

    @Override
    public void handleException(RaftPeerId server, Exception e, boolean reconnect) {
        // connections are the carrier's
    }

    @Override
    public void start() {
        // opened by the replica
    }

    /** Voters are known by name; nobody listens here. */
    @Override
    public InetSocketAddress getInetSocketAddress() {
        return InetSocketAddress.createUnresolved("voter", 0);
    }

    @Override
    public RpcType getRpcType() {
        return new Wire();
    }

    @Override
    public void close() {
        open = false;
    }
}
