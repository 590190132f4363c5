package rushpin.accord.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.apache.ratis.proto.RaftProtos.RaftRpcRequestProto;
import org.apache.ratis.proto.RaftProtos.RequestVoteRequestProto;
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
            net.decide(3);
            net.everywhere(3);
            assertEquals(List.of(1L, 2L, 3L), again.numbers());
            net.agree();
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
                Throwable e = assertThrows(ExecutionException.class, () -> proposal.get(60, TimeUnit.SECONDS)).getCause();
                assertTrue(e instanceof Replica.Uncertain || e instanceof Replica.NotLeading, e::toString);
            }
            net.await("the old leader steps down", () -> !old.replica.leads());
            ExecutionException refused = assertThrows(ExecutionException.class,
                () -> old.replica.propose(new Command.Renew(110)).get(60, TimeUnit.SECONDS));
            assertInstanceOf(Replica.NotLeading.class, refused.getCause());
            net.heal();
            net.decide(3);
            net.everywhere(3);
            assertEquals(List.of(1L, 2L, 3L), old.numbers());
            net.agree();
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
            net.heal();
            net.decide(3);
            net.everywhere(3);
            net.agree();
        }
    }

    /** Answers take longer than entries are waited for as a rule, as where a machine is crowded: there is a leader, and it decides. */
    @Test
    void slowAnswersAreWaitedFor() throws Exception {
        try (Lan net = new Lan(root, 12)) {
            net.delayLeast = (int) (Lan.TIMING.heartbeat() / 2 / 1_000_000) + 25;
            net.three();
            net.decide(1);
            net.everywhere(1);
            net.agree();
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
                            all.add(voter.replica.propose(new Command.Renew(number)).handle((outcome, e) -> e == null && done.add(number)));
                        }
                    }
                }
                net.heal();
                net.trouble(0.05, 20);
                net.isolate(chance.nextBoolean() ? net.leader().name : List.of("a", "b", "c").get(chance.nextInt(3)));
                net.decide(round * 100 + 50);
                done.add(round * 100 + 50L);
            }
            CompletableFuture.allOf(all.toArray(new CompletableFuture<?>[0])).get(60, TimeUnit.SECONDS);
            net.heal();
            net.decide(1_000);
            net.everywhere(1_000);
            for (Lan.Voter voter : net.voters.values()) {
                assertTrue(voter.numbers().containsAll(done), () -> "seed " + seed + ": " + voter.name + " lacks some of " + done);
            }
            net.agree();
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
            net.change(List.of("a-1", "b-1", "c-1", "d-1").stream().filter(id -> !id.equals(went.peer.id())).toArray(String[]::new));
            net.await("the removed one hears it", () -> went.back != null);
            net.voters.remove(went.name);
            net.decide(8);
            net.everywhere(8);
            net.agree();
        }
    }

    /** With a blank folder a voter has no memory of what it voted: it is a new one, and is not taken for the old one. */
    @Test
    void aBlankFolderMakesANewVoter() throws Exception {
        try (Lan net = new Lan(root, 6)) {
            net.three();
            net.decide(1);
            Lan.Voter blank = net.voters.get(net.leader().name.equals("c") ? "b" : "c");
            blank.replica.close();
            Lan.erase(net.folder(blank.name));
            Lan.Voter newcomer = net.joiner(blank.name, blank.name + "-2");
            net.decide(2);
            byte[] vote = RequestVoteRequestProto.newBuilder().setServerRequest(RaftRpcRequestProto.newBuilder()
                .setReplyId(ByteString.copyFromUtf8(blank.peer.id()))).build().toByteArray();
            ExecutionException e = assertThrows(ExecutionException.class,
                () -> newcomer.replica.received(Carrier.Kind.VOTE, vote).get(60, TimeUnit.SECONDS));
            assertTrue(e.getCause().getMessage().startsWith("for voter " + blank.peer.id()), e.getCause()::toString);
            assertEquals(List.of(), newcomer.numbers());
            List<String> ids = new ArrayList<>(List.of("a-1", "b-1", "c-1"));
            ids.set(ids.indexOf(blank.peer.id()), newcomer.peer.id());
            net.change(ids.toArray(String[]::new));
            net.decide(3);
            net.everywhere(3);
            net.agree();
        }
    }

    /** It has its id, but not what it voted and stored since: it takes no part, and a new one takes its place. */
    @Test
    void aFolderThatIsPutBackIsFoundAndNeverVotes() throws Exception {
        try (Lan net = new Lan(root, 8)) {
            net.three();
            net.decide(1);
            net.everywhere(1);
            Lan.Voter third = net.voters.get(net.leader().name.equals("c") ? "b" : "c");
            third.replica.close();
            Lan.copy(net.folder(third.name), root.resolve("copy"));
            Lan.Voter now = net.again(third.name);
            net.decide(2);
            net.everywhere(2);
            now.replica.close();
            Lan.erase(net.folder(third.name));
            Lan.copy(root.resolve("copy"), net.folder(third.name));
            net.isolate(third.name);
            Lan.Voter old = net.again(third.name);
            byte[] vote = RequestVoteRequestProto.newBuilder().setServerRequest(RaftRpcRequestProto.newBuilder()
                .setReplyId(ByteString.copyFromUtf8(third.peer.id())).setRaftGroupId(net.group())).build().toByteArray();
            ExecutionException e = assertThrows(ExecutionException.class,
                () -> old.replica.received(Carrier.Kind.VOTE, vote).get(60, TimeUnit.SECONDS));
            assertTrue(e.getCause().getMessage().startsWith("waits for a leader"), e.getCause()::toString);
            net.heal();
            net.await("it is found", () -> old.replica.isPutBack() && old.back != null);
            assertTrue(old.back.startsWith("the folder is an old one"), old.back);
            assertTrue(old.replica.isOver());
            old.replica.close();
            Lan.erase(net.folder(third.name));
            Lan.Voter fresh = net.joiner(third.name, third.name + "-2");
            List<String> ids = new ArrayList<>(List.of("a-1", "b-1", "c-1"));
            ids.set(ids.indexOf(third.peer.id()), fresh.peer.id());
            net.change(ids.toArray(String[]::new));
            net.isolate(net.leader().name);
            net.decide(3);
            net.heal();
            net.everywhere(3);
            net.agree();
        }
    }

    /** All are started anew, so nobody has it in mind how far the others' logs reached: it was noted. */
    @Test
    void aFolderThatIsPutBackIsFoundByThoseWhoWereStartedAnew() throws Exception {
        try (Lan net = new Lan(root, 11)) {
            net.three();
            net.decide(1);
            net.everywhere(1);
            String third = net.leader().name.equals("c") ? "b" : "c";
            net.voters.get(third).replica.close();
            Lan.copy(net.folder(third), root.resolve("copy"));
            // as far as the copy's, or a little further
            long copied = net.again(third).replica.last();
            net.decide(2);
            net.everywhere(2);
            net.await("notes of the others", () -> net.noted(third) > copied);
            for (Lan.Voter voter : net.voters.values()) {
                voter.replica.close();
            }
            Lan.erase(net.folder(third));
            Lan.copy(root.resolve("copy"), net.folder(third));
            for (String name : List.of("a", "b", "c")) {
                net.again(name);
            }
            Lan.Voter old = net.voters.get(third);
            // That the two others go on behind it is open (ROADMAP): once in some runs they had no leader within 30 s.
            net.await("it is found", () -> old.replica.isPutBack() && old.back != null);
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
            Lan.erase(net.folder(went.name));
            Lan.Voter fresh = net.joiner(went.name, went.name + "-2");
            List<Replica.Peer> peers = Stream.of("a", "b", "c").map(name -> name.equals(went.name) ? fresh.peer : Lan.peer(name)).toList();
            ByteString id = ByteString.copyFromUtf8(fresh.peer.id());
            net.lost = request -> request.getServerRequest().getReplyId().equals(id) && request.getEntriesList().stream()
                .anyMatch(entry -> entry.hasConfigurationEntry() && entry.getConfigurationEntry().getPeersList().stream()
                    .anyMatch(peer -> peer.getId().equals(id)));
            leader.replica.storing = TimeUnit.MINUTES.toNanos(10);
            CompletableFuture<Void> change = leader.replica.change(peers);
            net.await("the others have decided", () -> net.voters.values().stream().filter(v -> v != fresh)
                .allMatch(v -> v.replica.voters().equals(leader.replica.voters()) && v.replica.voters().contains(fresh.peer)
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
            net.isolate(net.leader().name);
            net.decide(3);
            net.heal();
            net.everywhere(3);
            net.agree();
        }
    }

    /** It hears from both others, within the same moment, that there is a later term: it follows, and does not stand still. */
    @Test
    void aLeaderThatComesBackFollows() throws Exception {
        try (Lan net = new Lan(root, 10)) {
            net.three();
            for (long number = 1; number <= 12; number++) {
                Lan.Voter old = net.leader();
                net.isolate(old.name);
                net.decide(number);
                net.heal();
                net.everywhere(number);
            }
            net.agree();
        }
    }

    @Test
    void moreThanOneVoterAtATimeIsRefused() throws Exception {
        try (Lan net = new Lan(root, 7)) {
            net.three();
            List<Replica.Peer> two = List.of(Lan.peer("a"), Lan.peer("b"), Lan.peer("c"), Lan.peer("d"), Lan.peer("e"));
            ExecutionException e = assertThrows(ExecutionException.class,
                () -> net.leader().replica.change(two).get(60, TimeUnit.SECONDS));
            assertInstanceOf(IllegalArgumentException.class, e.getCause());
        }
    }
}
