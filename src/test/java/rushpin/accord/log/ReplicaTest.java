package rushpin.accord.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.stream.Stream;
import org.apache.ratis.proto.RaftProtos.AppendEntriesRequestProto;
import org.apache.ratis.proto.RaftProtos.InstallSnapshotRequestProto;
import org.apache.ratis.proto.RaftProtos.RequestVoteReplyProto;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.leader.FollowerInfo;
import org.apache.ratis.server.leader.LeaderState;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rushpin.accord.Command;
import rushpin.accord.Outcome;

/** Voters of one process over a net in memory. */
@Tag("long")
class ReplicaTest {
    @TempDir
    Path root;

    @Test
    void threeAgreeOverALostLeaderAndARestart() throws Exception {
        try (Lan net = new Lan(root, 1)) {
            net.three();
            net.decide(1);
            Lan.Voter first = net.leader();
            first.replica.close();
            net.decide(2);
            Lan.Voter again = net.again(first.name);
            net.together(3);
            assertEquals(List.of(1L, 2L, 3L), again.numbers());
        }
    }

    @Test
    void aLeaderThatIsCutOffDecidesNothing() throws Exception {
        try (Lan net = new Lan(root, 2)) {
            net.three();
            net.decide(1);
            Lan.Voter old = net.leader();
            net.isolate(old.name);
            List<CompletableFuture<Outcome>> lost = new ArrayList<>();
            for (long number = 100; number < 110; number++) {
                lost.add(old.replica.propose(new Command.Renew(number)));
            }
            net.decide(2);
            for (CompletableFuture<Outcome> proposal : lost) {
                Throwable e = assertThrows(ExecutionException.class, () -> proposal.get(60, TimeUnit.SECONDS))
                        .getCause();
                assertTrue(e instanceof Replica.Uncertain || e instanceof Replica.NotLeading, e::toString);
            }
            net.await("the old leader steps down", () -> !old.replica.leads());
            ExecutionException refused = assertThrows(
                    ExecutionException.class,
                    () -> old.replica.propose(new Command.Renew(110)).get(60, TimeUnit.SECONDS));
            assertInstanceOf(Replica.NotLeading.class, refused.getCause());
            net.together(3);
            assertEquals(List.of(1L, 2L, 3L), old.numbers());
        }
    }

    /** A leader that is heard but hears nobody makes room, and so does one that hears all but is not heard. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void oneDirectionThatIsCutStopsNobodyElse(boolean heard) throws Exception {
        try (Lan net = new Lan(root, 3)) {
            net.three();
            net.decide(1);
            Lan.Voter old = net.leader();
            for (String other : net.voters.keySet()) {
                net.cut(heard ? other : old.name, heard ? old.name : other);
            }
            net.decide(2);
            net.together(3);
        }
    }

    /** Answers take longer than entries are waited for as a rule, as where a machine is crowded: there is a leader, and it decides. */
    @Test
    void slowAnswersAreWaitedFor() throws Exception {
        try (Lan net = new Lan(root, 12)) {
            net.delayLeast = (int) (Lan.TIMING.heartbeat() / 2 / 1_000_000) + 25;
            net.three();
            net.together(1);
        }
    }

    @Test
    void aMinorityDecidesNothing() throws Exception {
        try (Lan net = new Lan(root, 4)) {
            net.three();
            net.decide(1);
            Lan.Voter leader = net.leader();
            for (Lan.Voter voter : net.voters.values()) {
                if (voter != leader) {
                    voter.replica.close();
                }
            }
            CompletableFuture<Outcome> proposal = leader.replica.propose(new Command.Renew(2));
            assertThrows(ExecutionException.class, () -> proposal.get(60, TimeUnit.SECONDS));
            assertEquals(List.of(1L), leader.numbers());
        }
    }

    /** What was said to be done is in every log, whatever was lost, late and cut meanwhile. */
    @ParameterizedTest
    @ValueSource(longs = {11, 13})
    void whatWasDoneStays(long seed) throws Exception {
        Random chance = new Random(seed);
        try (Lan net = new Lan(root, seed)) {
            net.three();
            net.decide(0);
            net.trouble(0.05, 20);
            Set<Long> done = ConcurrentHashMap.newKeySet();
            List<CompletableFuture<?>> all = new ArrayList<>();
            for (int round = 0; round < 4; round++) {
                for (int i = 1; i <= 20; i++) {
                    long number = round * 100 + i;
                    for (Lan.Voter voter : net.voters.values()) {
                        if (voter.replica.leads()) {
                            all.add(voter.replica
                                    .propose(new Command.Renew(number))
                                    .handle((outcome, e) -> e == null && done.add(number)));
                        }
                    }
                }
                net.heal();
                net.trouble(0.05, 20);
                net.isolate(
                        chance.nextBoolean()
                                ? net.leader().name
                                : List.of("a", "b", "c").get(chance.nextInt(3)));
                net.decide(round * 100 + 50);
                done.add(round * 100 + 50L);
            }
            CompletableFuture.allOf(all.toArray(new CompletableFuture<?>[0])).get(60, TimeUnit.SECONDS);
            net.together(1_000);
            for (Lan.Voter voter : net.voters.values()) {
                assertTrue(
                        voter.numbers().containsAll(done),
                        () -> "seed " + seed + ": " + voter.name + " lacks some of " + done);
            }
        }
    }

    @Test
    void aFreshVoterIsBroughtUpBySnapshotAndTheLogStaysSmall() throws Exception {
        try (Lan net = new Lan(root, 5)) {
            net.three();
            Lan.Voter leader = net.leader();
            net.many(5_000);
            long bytes = net.bytes(leader.name);
            assertTrue(bytes < 4 << 20, () -> "bytes of the log: " + bytes);
            Lan.Voter fresh = net.joiner("d", "d-1");
            net.change("a-1", "b-1", "c-1", "d-1");
            net.decide(7);
            net.everywhere(7);
            assertEquals(1, fresh.restored.size());
            assertEquals(4, fresh.replica.voters().size());
            Lan.Voter went = net.voters.get(leader.name.equals("a") ? "b" : "a");
            net.change(List.of("a-1", "b-1", "c-1", "d-1").stream()
                    .filter(id -> !id.equals(went.peer.id()))
                    .toArray(String[]::new));
            net.await("the removed one hears it", () -> went.back != null);
            net.voters.remove(went.name);
            net.together(8);
        }
    }

    /** With a blank folder a voter has no memory of what it voted: it is a new one, and is not taken for the old one. */
    @Test
    void aBlankFolderMakesANewVoter() throws Exception {
        try (Lan net = new Lan(root, 6)) {
            net.three();
            net.decide(1);
            Lan.Voter blank = net.other();
            blank.replica.close();
            Lan.Voter newcomer = net.blank(blank);
            net.decide(2);
            ExecutionException e = assertThrows(
                    ExecutionException.class,
                    () -> newcomer.replica
                            .received(
                                    Carrier.Kind.VOTE,
                                    Lan.vote(net.leader().peer.id(), blank.peer.id()))
                            .get(60, TimeUnit.SECONDS));
            assertTrue(e.getCause().getMessage().startsWith("for voter " + blank.peer.id()), e.getCause()::toString);
            assertEquals(List.of(), newcomer.numbers());
            net.change();
            net.together(3);
        }
    }

    /** It has its id, but not what it voted and stored since: it takes no part, and a new one takes its place. */
    @Test
    void aFolderThatIsPutBackIsFoundAndNeverVotes() throws Exception {
        try (Lan net = new Lan(root, 8)) {
            net.three();
            net.decide(1);
            net.everywhere(1);
            Lan.Voter third = net.other();
            Lan.Voter now = net.backedUp(third);
            net.decide(2);
            net.everywhere(2);
            now.replica.close();
            net.putBack(third.name);
            net.isolate(third.name);
            net.opening = TimeUnit.HOURS.toNanos(1);
            Lan.Voter old = net.again(third.name);
            ExecutionException e = assertThrows(
                    ExecutionException.class,
                    () -> old.replica
                            .received(
                                    Carrier.Kind.VOTE,
                                    Lan.vote(net.leader().peer.id(), third.peer.id()))
                            .get(60, TimeUnit.SECONDS));
            assertTrue(e.getCause().getMessage().startsWith("waits for a leader"), e.getCause()::toString);
            net.heal();
            net.await("it is found", () -> old.replica.isPutBack() && old.back != null);
            assertTrue(old.back.startsWith("the folder is an old one"), old.back);
            assertTrue(old.replica.isOver());
            old.replica.close();
            net.blank(old);
            net.change();
            net.withoutLeader(3);
            net.agree();
        }
    }

    /**
     * All are started anew, so nobody has it in mind how far the others' logs reached: it was noted. A leader tells it, and where there is none
     * yet, who asks for a vote does: with that vote one who was away would lead, and take back what was decided without it.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aFolderThatIsPutBackIsFoundByThoseWhoWereStartedAnew(boolean asked) throws Exception {
        try (Lan net = new Lan(root, 11)) {
            net.three();
            net.decide(1);
            net.everywhere(1);
            String ahead = net.leader().name,
                    third = ahead.equals("c") ? "b" : "c",
                    away = ahead.equals("a") ? "b" : "a";
            // as far as the copy's, or a little further
            long copied = net.backedUp(net.voters.get(third)).replica.last();
            net.decide(2);
            net.everywhere(2);
            net.await("notes of the others", () -> net.noted(third) > copied);
            byte[] answer = net.voters
                    .get(ahead)
                    .replica
                    .received(
                            Carrier.Kind.VOTE,
                            Lan.vote(Lan.peer(third).id(), Lan.peer(ahead).id()))
                    .get(60, TimeUnit.SECONDS);
            assertTrue(
                    Transport.reached(RequestVoteReplyProto.parseFrom(answer).getUnknownFields()) > copied,
                    "who asks is told");
            net.voters.get(away).replica.close();
            net.decide(3);
            net.voters.values().forEach(voter -> voter.replica.close());
            net.putBack(third);
            net.again(away);
            if (!asked) {
                net.again(ahead);
                net.decide(4);
            }
            Lan.Voter old = net.again(third);
            net.await("it is found", () -> old.replica.isPutBack() && old.back != null);
            if (asked) {
                net.again(ahead);
            }
            net.voters.remove(third);
            net.decide(5);
            net.everywhere(3);
            net.everywhere(5);
            net.agree();
        }
    }

    /**
     * Others can decide that a voter is in before it has heard so, and by then one of them may be lost: the change is done only when the new
     * one can be counted upon.
     */
    @Test
    void aVoterIsInWhenItHasStoredSo() throws Exception {
        try (Lan net = new Lan(root, 9)) {
            net.three();
            net.decide(1);
            Lan.Voter leader = net.leader();
            Lan.Voter went = net.voters.get(leader.name.equals("c") ? "b" : "c");
            went.replica.close();
            Lan.Voter fresh = net.blank(went);
            List<Replica.Peer> peers = Stream.of("a", "b", "c")
                    .map(name -> name.equals(went.name) ? fresh.peer : Lan.peer(name))
                    .toList();
            ByteString id = ByteString.copyFromUtf8(fresh.peer.id());
            net.lost = request -> request.getServerRequest().getReplyId().equals(id)
                    && request.getEntriesList().stream()
                            .anyMatch(entry -> entry.hasConfigurationEntry()
                                    && entry.getConfigurationEntry().getPeersList().stream()
                                            .anyMatch(peer -> peer.getId().equals(id)));
            leader.replica.storing = TimeUnit.MINUTES.toNanos(10);
            CompletableFuture<Void> change = leader.replica.change(peers);
            net.await(
                    "the others have decided",
                    () -> net.voters.values().stream()
                            .filter(v -> v != fresh)
                            .allMatch(v -> v.replica.voters().equals(leader.replica.voters())
                                    && v.replica.voters().contains(fresh.peer)
                                    && v.replica.counts()));
            net.decide(2);
            assertFalse(change.isDone() && !change.isCompletedExceptionally(), "it is not in yet");
            net.lost = request -> false;
            try {
                change.get(60, TimeUnit.SECONDS);
            } catch (ExecutionException e) {
                // the lead went to another one, as happens on a crowded machine: that one tells it
                assertFalse(e.getCause() instanceof Replica.Uncertain, e::toString);
                net.await("it is in", fresh.replica::counts);
            }
            net.withoutLeader(3);
            net.agree();
        }
    }

    /** It hears from both others, within the same moment, that there is a later term: it follows, and does not stand still. */
    @Test
    void aLeaderThatComesBackFollows() throws Exception {
        try (Lan net = new Lan(root, 10)) {
            net.three();
            for (long number = 1; number <= 12; number++) {
                net.withoutLeader(number);
            }
            net.agree();
        }
    }

    /** A leader that steps down holds its server's lock until its senders have ended: none may wait for it, nor speak for a later leader. */
    @Test
    void aSnapshotIsSentWithoutTheServersLock() throws Exception {
        try (Lan net = new Lan(root, 12)) {
            RaftServer.Division server = net.alone().replica.division;
            net.many(2_500);
            net.await("a snapshot", () -> server.getStateMachine().getLatestSnapshot() != null);
            FollowerInfo to =
                    fake(FollowerInfo.class, method -> method.equals("getId") ? RaftPeerId.valueOf("b-1") : "b-1");
            long term = server.getInfo().getCurrentTerm();
            AtomicLong lead = new AtomicLong(term);
            Sender sender = new Sender(
                    server,
                    fake(
                            LeaderState.class,
                            method -> AppendEntriesRequestProto.newBuilder()
                                    .setLeaderTerm(lead.get())
                                    .build()),
                    to);
            InstallSnapshotRequestProto chunk;
            synchronized (server) {
                chunk = CompletableFuture.supplyAsync(() -> sender.newInstallSnapshotRequests(
                                        "", server.getStateMachine().getLatestSnapshot())
                                .iterator()
                                .next())
                        .get(60, TimeUnit.SECONDS);
            }
            assertEquals(term, chunk.getLeaderTerm());
            assertTrue(sender.ofThisLead(chunk));
            lead.set(term - 1);
            assertFalse(sender.ofThisLead(chunk));
        }
    }

    private static <T> T fake(Class<T> type, Function<String, Object> answers) {
        return type.cast(Proxy.newProxyInstance(
                type.getClassLoader(),
                new Class<?>[] {type},
                (self, method, arguments) -> answers.apply(method.getName())));
    }

    @Test
    void moreThanOneVoterAtATimeIsRefused() throws Exception {
        try (Lan net = new Lan(root, 7)) {
            net.three();
            List<Replica.Peer> two = List.of(Lan.peer("a"), Lan.peer("b"), Lan.peer("c"), Lan.peer("d"), Lan.peer("e"));
            ExecutionException e = assertThrows(
                    ExecutionException.class,
                    () -> net.leader().replica.change(two).get(60, TimeUnit.SECONDS));
            assertInstanceOf(IllegalArgumentException.class, e.getCause());
        }
    }
}
