package rushpin.accord.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.ratis.proto.RaftProtos.AppendEntriesReplyProto;
import org.apache.ratis.proto.RaftProtos.AppendEntriesReplyProto.AppendResult;
import org.apache.ratis.proto.RaftProtos.AppendEntriesRequestProto;
import org.apache.ratis.proto.RaftProtos.CommitInfoProto;
import org.apache.ratis.proto.RaftProtos.LogEntryProto;
import org.apache.ratis.proto.RaftProtos.RaftPeerProto;
import org.apache.ratis.proto.RaftProtos.RaftRpcRequestProto;
import org.apache.ratis.proto.RaftProtos.RequestVoteReplyProto;
import org.apache.ratis.proto.RaftProtos.RequestVoteRequestProto;
import org.apache.ratis.proto.RaftProtos.TermIndexProto;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.server.RaftServerConfigKeys;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.junit.jupiter.api.Test;

/** What the library is told of answers. */
class TransportTest {
    private static final List<RaftPeer> VOTERS = List.of(peer("a"), peer("b"), peer("c"));

    private long now;
    private AppendEntriesReplyProto reply;
    private RequestVoteReplyProto vote;
    private final Transport transport = new Transport(
            (to, kind, body, patience) -> kind == Carrier.Kind.VOTE
                    ? CompletableFuture.completedFuture(vote.toByteArray())
                    : reply == null
                            ? CompletableFuture.failedFuture(new IOException("cut"))
                            : CompletableFuture.completedFuture(reply.toByteArray()),
            () -> now,
            1_000_000_000L,
            1_000_000_000L,
            new Transport.Memory() {
                @Override
                public void vote() {
                    // it may
                }

                @Override
                public void reached(long index) throws IOException {
                    if (index > 5) {
                        throw new IOException("ends before " + index);
                    }
                }
            });

    private static RaftPeer peer(String name) {
        return RaftPeer.newBuilder().setId(name).setAddress(name).build();
    }

    private static AppendEntriesRequestProto.Builder append() {
        return AppendEntriesRequestProto.newBuilder()
                .setServerRequest(RaftRpcRequestProto.newBuilder().setReplyId(ByteString.copyFromUtf8("b")))
                .setPreviousLog(TermIndexProto.newBuilder().setTerm(1).setIndex(2));
    }

    /** An old leader's log ends at 12, all its own but for 2: it must not count for what another one has put there. */
    @Test
    void anAnswerProvesNoMoreThanWasAsked() throws IOException {
        transport.addRaftPeers(VOTERS);
        transport.open(true);
        reply = AppendEntriesReplyProto.newBuilder()
                .setResult(AppendResult.SUCCESS)
                .setNextIndex(13)
                .build();
        assertEquals(3, transport.appendEntries(append().build()).getNextIndex());
        assertEquals(
                5,
                transport
                        .appendEntries(
                                append().addEntries(LogEntryProto.newBuilder().setIndex(3))
                                        .addEntries(LogEntryProto.newBuilder().setIndex(4))
                                        .build())
                        .getNextIndex());
        reply = reply.toBuilder().setResult(AppendResult.INCONSISTENCY).build();
        assertEquals(13, transport.appendEntries(append().build()).getNextIndex());
    }

    /** What it has stored is told to a voter, for it to look at, but not to its library, which would tell it on as committed. */
    @Test
    void whatIsSaidOfAVoterItselfGoesNoFurther() {
        AppendEntriesRequestProto both = append().addCommitInfos(info("a", 7))
                .addCommitInfos(info("b", 9))
                .build();
        assertEquals(9, Transport.reached(both));
        assertEquals(List.of(info("a", 7)), Transport.withoutOwn(both).getCommitInfosList());
    }

    private static CommitInfoProto info(String name, long index) {
        return CommitInfoProto.newBuilder()
                .setServer(RaftPeerProto.newBuilder().setId(ByteString.copyFromUtf8(name)))
                .setCommitIndex(index)
                .build();
    }

    /** Who is asked for its vote may know better how far the log of the one who asks reached: that one is no candidate. */
    @Test
    void aCandidateHearsHowFarItsLogReached() throws IOException {
        transport.addRaftPeers(VOTERS);
        transport.open(true);
        RequestVoteRequestProto ask = RequestVoteRequestProto.newBuilder()
                .setServerRequest(append().getServerRequest())
                .build();
        transport.noted(Map.of("b", 5L));
        vote = RequestVoteReplyProto.newBuilder()
                .setUnknownFields(transport.reminder(ask.getServerRequest().getReplyId()))
                .build();
        assertEquals(vote, transport.requestVote(ask));
        transport.noted(Map.of("b", 6L));
        vote = vote.toBuilder()
                .setUnknownFields(transport.reminder(ask.getServerRequest().getReplyId()))
                .build();
        assertEquals(
                "ends before 6",
                assertThrows(IOException.class, () -> transport.requestVote(ask))
                        .getMessage());
    }

    @Test
    void aMajorityIsWhoAnsweredLately() throws IOException {
        transport.addRaftPeers(VOTERS);
        transport.open(true);
        assertFalse(transport.majority(VOTERS, VOTERS.get(0).getId(), 10));
        reply = AppendEntriesReplyProto.newBuilder()
                .setResult(AppendResult.SUCCESS)
                .build();
        transport.appendEntries(append().build());
        now = 10;
        assertTrue(transport.majority(VOTERS, VOTERS.get(0).getId(), 10));
        reply = null;
        assertThrows(IOException.class, () -> transport.appendEntries(append().build()));
        now = 11;
        assertFalse(transport.majority(VOTERS, VOTERS.get(0).getId(), 10));
    }

    /** It may have the only log that a majority votes for; the library would keep it from standing for 10 s. */
    @Test
    void aLeaderThatLostItsMajorityMayStandAgainSoon() {
        assertEquals(
                Lan.TIMING.electionMost(),
                RaftServerConfigKeys.LeaderElection.leaderStepDownWaitTime(Settings.of(Path.of("log"), Lan.TIMING))
                        .toLong(TimeUnit.NANOSECONDS));
    }

    @Test
    void nothingGoesOutWhileItIsShut() {
        transport.addRaftPeers(VOTERS);
        reply = AppendEntriesReplyProto.newBuilder()
                .setResult(AppendResult.SUCCESS)
                .build();
        assertThrows(IOException.class, () -> transport.appendEntries(append().build()));
    }
}
