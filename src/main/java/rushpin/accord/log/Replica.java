package rushpin.accord.log;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.apache.ratis.conf.Parameters;
import org.apache.ratis.proto.RaftProtos.AppendEntriesReplyProto;
import org.apache.ratis.proto.RaftProtos.AppendEntriesReplyProto.AppendResult;
import org.apache.ratis.proto.RaftProtos.AppendEntriesRequestProto;
import org.apache.ratis.proto.RaftProtos.CommitInfoProto;
import org.apache.ratis.proto.RaftProtos.InstallSnapshotRequestProto;
import org.apache.ratis.proto.RaftProtos.LogEntryProto;
import org.apache.ratis.proto.RaftProtos.RaftRpcRequestProto;
import org.apache.ratis.proto.RaftProtos.RequestVoteReplyProto;
import org.apache.ratis.proto.RaftProtos.RequestVoteRequestProto;
import org.apache.ratis.proto.RaftProtos.ServerRpcProto;
import org.apache.ratis.proto.RaftProtos.StartLeaderElectionRequestProto;
import org.apache.ratis.protocol.ClientId;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.protocol.RaftClientRequest;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.protocol.SetConfigurationRequest;
import org.apache.ratis.protocol.TransferLeadershipRequest;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.raftlog.RaftLog;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.apache.ratis.thirdparty.com.google.protobuf.MessageLite;
import org.apache.ratis.thirdparty.com.google.protobuf.UnsafeByteOperations;
import rushpin.accord.Applied;
import rushpin.accord.Command;
import rushpin.accord.Encoding;
import rushpin.accord.Outcome;
import rushpin.accord.State;

/**
 * One voter's copy of the log. What others decide with it is told to a {@link Listener}; what this process wants decided is
 * {@linkplain #propose proposed} where it leads. No call blocks but {@link #start} and {@link #close}.
 *
 * <p>Threads of its own: one that speaks to the library, with at most {@value #PROPOSALS} proposals and {@value #REQUESTS}
 * requests of other voters before it, and one that keeps time, looks at the disk and tells who leads. What comes when
 * these are full is refused at once.
 */
public final class Replica implements AutoCloseable {
    /** Proposals without an outcome, at most. */
    public static final int PROPOSALS = 1_024;
    /** Bytes of a command, at most. */
    public static final int LARGEST = 64 << 10;
    /** Requests of other voters that wait, at most; each is one of {@link Settings#BATCH} bytes or a little more. */
    static final int REQUESTS = 64;

    private static final long MS = 1_000_000L;
    /** How often the time keeper looks. */
    private static final long LOOK = 100 * MS;
    /** A leader that proposed nothing for so long proposes {@link Command.Tick}. */
    private static final long TICK = 500 * MS;
    /** Looks without a sign of the disk's life, some 2 s, after which it hangs. */
    private static final int HANGS = 20;
    /** A proposal is not waited for any longer than so many longest elections. */
    private static final int ELECTIONS = 4;
    /** A voter that is back with its folder waits so many longest elections for a leader before it votes. */
    private static final int WAITS = 2;
    /** But not shorter: a connection that was refused is tried again after a second. */
    private static final long WAIT = 2_000 * MS;

    private static final long CLOSING = 5_000 * MS;
    /** How often it notes how far others' logs reached. */
    private static final long NOTE = 1_000 * MS;

    /**
     * A voter.
     *
     * @param id lives with the folder: a blank folder makes a new voter
     * @param name as in the operator's file; what a {@link Carrier} reaches it by
     */
    public record Peer(String id, String name) {}

    /**
     * Which log, and who votes when it is founded. On a folder that knows better, by changes of the voters since, that holds. A
     * voter that is to join a log by {@link #change} has none here: it waits to be called.
     */
    public record Group(UUID id, List<Peer> voters) {
        /** Copies. */
        public Group {
            voters = List.copyOf(voters);
        }
    }

    /**
     * Nanoseconds. The leader is heard each {@code electionLeast} / 2; whoever does not hear it for a time drawn between the other two
     * stands for election.
     *
     * @param heartbeat the longest wait for a voter's answer before the leader tries again; under {@code electionLeast} / 2, so that
     *     one lost request makes no election
     */
    public record Timing(long heartbeat, long electionLeast, long electionMost) {
        /** Checks the bounds. */
        public Timing {
            if (heartbeat < MS || heartbeat > electionLeast / 2 || electionLeast >= electionMost) {
                throw new IllegalArgumentException("timing out of bounds: heartbeat " + heartbeat + ", election "
                        + electionLeast + " to " + electionMost);
            }
        }
    }

    /** Hears of the log. Must not block: each call holds up the log of this voter. */
    public interface Listener {
        /** An entry of the log was applied here, in the log's order; after a start also those since the last snapshot, anew. */
        void applied(long at, Command command, Applied what);

        /** Who leads now, by name, or null; not before it may be proposed to. In order, on one thread. */
        void leads(boolean leads, String leader);

        /**
         * This voter takes no part any more: it neither votes nor answers nor leads. Where its disk hung, it takes part again when
         * the disk is back; otherwise it is over and the process has to start it anew.
         */
        void stepsBack(String why);

        /** A snapshot took the place of all that was applied; entries go on from it. */
        void restored(State state);
    }

    /** This voter does not lead: nothing was appended. */
    public static final class NotLeading extends Exception {
        private static final long serialVersionUID = 1L;
        private final String leader;

        NotLeading(String leader) {
            super(leader == null ? "nobody leads" : leader + " leads", null, false, false);
            this.leader = leader;
        }

        /** Who leads, by name; null where that is not known. */
        public String leader() {
            return leader;
        }
    }

    /** It was appended, and this voter can't tell whether it was decided: it may be, now or later. */
    public static final class Uncertain extends Exception {
        private static final long serialVersionUID = 1L;

        Uncertain(String message, Throwable cause) {
            super(message, cause, false, false);
        }
    }

    /** Too many proposals are out: nothing was appended. */
    public static final class Full extends Exception {
        private static final long serialVersionUID = 1L;

        Full() {
            super(PROPOSALS + " proposals are out", null, false, false);
        }
    }

    /** A proposal without an outcome. */
    private static final class Proposal {
        final CompletableFuture<Outcome> outcome = new CompletableFuture<>();
        final long since;
        /** Whether it has a place in the log: then nobody can call it back. */
        volatile boolean appended;

        Proposal(long since) {
            this.since = since;
        }
    }

    private final Peer me;
    private final Group group;
    private final Path path;
    private final Function<State, Applier> machine;
    private final Encoding encoding;
    private final Timing timing;
    private final LongSupplier clock;
    private final Listener listener;
    private final Supplier<CompletableFuture<Void>> store;
    private final Transport transport;
    private final RaftGroupId raftGroup;
    private final ClientId client = ClientId.randomId();
    private final AtomicLong calls = new AtomicLong();
    private final Map<Long, Proposal> proposals = new ConcurrentHashMap<>();
    private final AtomicInteger out = new AtomicInteger();
    private final AtomicInteger waiting = new AtomicInteger();
    private final ThreadPoolExecutor speaker;
    private final ScheduledThreadPoolExecutor keeper;
    /** Guarded by itself. */
    private final Stamp stamp = new Stamp();

    private volatile Folder folder;
    /** Where the vote and the log are. */
    private volatile Path files;

    private volatile RaftServer server;
    /** The library's part for this log. Tests hold its lock. */
    volatile RaftServer.Division division;

    private volatile boolean open;
    private volatile boolean hangs;
    private volatile boolean over;
    /** Whether the folder was found to be of an earlier moment. */
    private volatile boolean putBack;
    /** Whether its folder is known to be the newest one: it is new, or a leader has not found otherwise. */
    private volatile boolean known;

    private volatile long opened;
    private volatile long proposed;
    /** Nanoseconds: a new voter is waited for no longer until it has stored that it is in. Tests take longer. */
    volatile long storing;
    // the time keeper's
    private final Hang hang = new Hang(HANGS);
    private CompletableFuture<long[]> look;
    private boolean toldLeads;
    private String toldLeader;
    private long notedAt;
    /** Whether a note waits for the speaker. */
    private final AtomicBoolean noting = new AtomicBoolean();
    /** How far others' logs reached, by id; the speaker's after the start. */
    private final Map<String, Long> reached = new HashMap<>();

    /**
     * A voter; opens nothing yet.
     *
     * @param folder settled by {@link Folder#settle} with this id and group
     * @param machine what entries are applied to, from a snapshot; {@link State#EMPTY} at first
     * @param clock monotonic nanoseconds
     */
    public Replica(
            Peer me,
            Group group,
            Path folder,
            Function<State, Applier> machine,
            Encoding encoding,
            Carrier carrier,
            Timing timing,
            LongSupplier clock,
            Listener listener) {
        this(
                me,
                group,
                folder,
                machine,
                encoding,
                carrier,
                timing,
                clock,
                listener,
                () -> CompletableFuture.completedFuture(null));
    }

    /** As above, with what the log waits for beside the disk at each write: so a disk can be made to hang. */
    Replica(
            Peer me,
            Group group,
            Path folder,
            Function<State, Applier> machine,
            Encoding encoding,
            Carrier carrier,
            Timing timing,
            LongSupplier clock,
            Listener listener,
            Supplier<CompletableFuture<Void>> store) {
        this.store = store;
        this.me = me;
        this.group = group;
        this.path = folder;
        this.machine = machine;
        this.encoding = encoding;
        this.timing = timing;
        this.storing = ELECTIONS * timing.electionMost;
        this.clock = clock;
        this.listener = listener;
        this.transport = new Transport(carrier, clock, timing.heartbeat, timing.electionMost, new Transport.Memory() {
            @Override
            public void vote() throws IOException {
                mayVote();
                Folder.force(files);
            }

            @Override
            public void reached(long index) throws IOException {
                remember(index);
            }
        });
        this.raftGroup = RaftGroupId.valueOf(group.id);
        ThreadFactory threads = task -> {
            Thread thread = new Thread(task, "accord-log");
            thread.setDaemon(true);
            return thread;
        };
        // all that comes is counted before: the queue holds proposals, requests, one change, one look, one note
        speaker = new ThreadPoolExecutor(
                1, 1, 0, TimeUnit.SECONDS, new ArrayBlockingQueue<>(PROPOSALS + REQUESTS + 3), threads);
        keeper = new ScheduledThreadPoolExecutor(1, threads);
        keeper.setRemoveOnCancelPolicy(true);
    }

    /**
     * Opens the log and takes part from now on. Blocks on the disk.
     *
     * @throws IOException with a line for the operator: another one's folder, a log that is damaged, a disk that can't be written
     */
    public void start() throws IOException {
        folder = Folder.open(path);
        if (folder.blank() || !me.id.equals(folder.id()) || !group.id.equals(folder.group())) {
            throw new IOException(path + " is not the folder of voter " + me.id + " in group " + group.id);
        }
        files = folder.memory();
        known = !folder.begun();
        reached.putAll(folder.reached());
        transport.noted(reached);
        Settings.tame();
        Parameters parameters = new Parameters();
        parameters.put(Wire.TRANSPORT, transport, Transport.class);
        try {
            server = RaftServer.newBuilder()
                    .setServerId(RaftPeerId.valueOf(me.id))
                    .setGroup(RaftGroup.valueOf(raftGroup, peers(group.voters)))
                    .setStateMachine(new Copy(machine, encoding, store, new Told()))
                    .setOption(RaftStorage.StartupOption.RECOVER)
                    .setProperties(Settings.of(folder.log(), timing))
                    .setParameters(parameters)
                    .build();
            server.start();
            division = server.getDivision(raftGroup);
            folder.begin();
        } catch (IOException | RuntimeException e) {
            close();
            throw new IOException("the log in " + path + " can't be opened: " + reason(e), e);
        }
        proposed = clock.getAsLong();
        transport.addRaftPeers(division.getRaftConf().getAllPeers());
        // not before: while the log is opened, which takes seconds on a crowded machine, no leader can be heard
        opened = clock.getAsLong();
        open = true;
        transport.open(true);
        keeper.scheduleWithFixedDelay(this::keep, LOOK, LOOK, TimeUnit.NANOSECONDS);
    }

    /**
     * Wants a command decided. Ends in exactly one way: the outcome, or one of {@link NotLeading}, {@link Full} (nothing was
     * appended), {@link Uncertain}.
     *
     * @throws IllegalArgumentException a command of more than {@value #LARGEST} bytes
     */
    public CompletableFuture<Outcome> propose(Command command) {
        byte[] bytes = encoding.bytes(command);
        if (bytes.length > LARGEST) {
            throw new IllegalArgumentException("a command of " + bytes.length + " bytes");
        }
        if (!leads()) {
            return CompletableFuture.failedFuture(new NotLeading(leader()));
        }
        if (out.incrementAndGet() > PROPOSALS) {
            out.decrementAndGet();
            return CompletableFuture.failedFuture(new Full());
        }
        long call = calls.incrementAndGet();
        proposed = clock.getAsLong();
        Proposal proposal = new Proposal(proposed);
        proposals.put(call, proposal);
        proposal.outcome.whenComplete((outcome, e) -> {
            proposals.remove(call);
            out.decrementAndGet();
        });
        try {
            speaker.execute(() -> submit(call, proposal, bytes));
        } catch (RejectedExecutionException e) {
            proposal.outcome.completeExceptionally(over ? new NotLeading(null) : new Full());
        }
        return proposal.outcome;
    }

    private void submit(long call, Proposal proposal, byte[] bytes) {
        if (proposal.outcome.isDone()) {
            return;
        }
        RaftClientRequest request = RaftClientRequest.newBuilder()
                .setClientId(client)
                .setServerId(server.getId())
                .setGroupId(raftGroup)
                .setCallId(call)
                .setType(RaftClientRequest.writeRequestType())
                .setMessage(Message.valueOf(UnsafeByteOperations.unsafeWrap(bytes)))
                .build();
        try {
            server.submitClientRequestAsync(request).whenComplete((reply, e) -> end(proposal, reply, e));
        } catch (IOException | RuntimeException e) {
            end(proposal, null, e);
        }
    }

    private void end(Proposal proposal, RaftClientReply reply, Throwable e) {
        if (e == null && reply.isSuccess() && reply.getMessage() instanceof Copy.Said said) {
            proposal.outcome.complete(said.outcome());
        } else if (proposal.appended) {
            proposal.outcome.completeExceptionally(
                    new Uncertain("lost the lead before it was decided", e != null ? e : reply.getException()));
        } else {
            proposal.outcome.completeExceptionally(new NotLeading(leads() ? null : leader()));
        }
    }

    /**
     * Whether this voter leads and may be proposed to: it was elected and hears a majority. Another one may lead already: every
     * decision asks a majority. (The library looks for its majority only while nothing is proposed.)
     */
    public boolean leads() {
        RaftServer.Division now = division;
        return open
                && !hangs
                && !over
                && now != null
                && now.getInfo().isLeaderReady()
                && transport.majority(now.getRaftConf().getCurrentPeers(), now.getId(), timing.electionMost);
    }

    /** Whether it takes no part any more, for good: closed, or a disk that failed. */
    public boolean isOver() {
        return over;
    }

    /**
     * Whether it is over because its folder is of an earlier moment, as a leader could tell: what it voted and stored since is
     * forgotten, so nobody may take part by it again. The folder is to be emptied, and a new voter comes of it.
     */
    public boolean isPutBack() {
        return putBack;
    }

    /** Who leads as far as is known here, by name, or null. */
    public String leader() {
        RaftServer.Division now = division;
        if (now == null || over || hangs) {
            return null;
        }
        RaftPeerId id = now.getInfo().getLeaderId();
        RaftPeer peer = id == null ? null : now.getRaftConf().getPeer(id);
        return peer == null ? null : peer.getAddress();
    }

    /**
     * What another voter's carrier brought; completes with the answer, or exceptionally where there is none: this voter takes no part,
     * the request is for another one (a voter that had this name before), too many wait.
     */
    public CompletableFuture<byte[]> received(Carrier.Kind kind, byte[] body) {
        if (!open || hangs || over) {
            return CompletableFuture.failedFuture(new IOException("takes no part"));
        }
        if (waiting.incrementAndGet() > REQUESTS) {
            waiting.decrementAndGet();
            return CompletableFuture.failedFuture(new IOException("full"));
        }
        CompletableFuture<byte[]> answer = new CompletableFuture<>();
        try {
            speaker.execute(() -> {
                waiting.decrementAndGet();
                try {
                    answer(kind, body).whenComplete((reply, e) -> {
                        if (e != null) {
                            answer.completeExceptionally(e);
                        } else {
                            answer.complete(reply.toByteArray());
                        }
                    });
                } catch (IOException | RuntimeException e) {
                    answer.completeExceptionally(e);
                }
            });
        } catch (RejectedExecutionException e) {
            waiting.decrementAndGet();
            answer.completeExceptionally(new IOException("takes no part", e));
        }
        return answer;
    }

    private CompletableFuture<? extends MessageLite> answer(Carrier.Kind kind, byte[] body) throws IOException {
        switch (kind) {
            case VOTE: {
                RequestVoteRequestProto vote = RequestVoteRequestProto.parseFrom(body);
                check(vote.getServerRequest());
                remember(Transport.reached(vote.getUnknownFields()));
                mayVote();
                RequestVoteReplyProto given = server.requestVote(vote);
                // the library writes the vote beside the one before and renames it
                Folder.force(files);
                return CompletableFuture.completedFuture(given.toBuilder()
                        .setUnknownFields(
                                transport.reminder(vote.getServerRequest().getRequestorId()))
                        .build());
            }
            case APPEND: {
                AppendEntriesRequestProto append = AppendEntriesRequestProto.parseFrom(body);
                check(append.getServerRequest());
                remember(Transport.reached(append));
                known = true;
                long own = clock.getAsLong();
                CompletableFuture<AppendEntriesReplyProto> reply =
                        server.appendEntriesAsync(Transport.withoutOwn(append));
                return append.getEntriesCount() == 0
                        ? reply
                        : reply.whenComplete((said, e) -> {
                            if (e == null && said.getResult() == AppendResult.SUCCESS) {
                                learned(append.getEntriesList(), own);
                            }
                        });
            }
            case SNAPSHOT: {
                InstallSnapshotRequestProto snapshot = InstallSnapshotRequestProto.parseFrom(body);
                check(snapshot.getServerRequest());
                return CompletableFuture.completedFuture(server.installSnapshot(snapshot));
            }
            case START_ELECTION: {
                StartLeaderElectionRequestProto election = StartLeaderElectionRequestProto.parseFrom(body);
                check(election.getServerRequest());
                return CompletableFuture.completedFuture(server.startLeaderElection(election));
            }
            default:
                throw new IOException("unknown kind " + kind);
        }
    }

    /** A request for the voter that stood here with another folder is not this one's: it never promised what that one did. */
    private void check(RaftRpcRequestProto head) throws IOException {
        if (!head.getReplyId().equals(ByteString.copyFromUtf8(me.id))) {
            throw new IOException("for voter " + head.getReplyId().toStringUtf8() + ", this is " + me.id);
        }
        if (!head.getRaftGroupId().getId().equals(raftGroup.toByteString())) {
            throw new IOException("another group's");
        }
    }

    /**
     * A folder that was put back to an earlier moment has forgotten votes. By itself a voter can't tell; a leader that is there
     * tells at once, so it is waited for, as long as an election would take that finds out that there is none.
     */
    private void mayVote() throws IOException {
        if (!known && (!open || clock.getAsLong() - opened < Math.max(WAIT, WAITS * timing.electionMost))) {
            throw new IOException("waits for a leader to say that its folder is not an old one");
        }
    }

    /** Looks whether the log reaches as far as this voter has said to whoever led, as another one tells. */
    private void remember(long reached) throws IOException {
        long last = last();
        if (reached > last) {
            putBack = true;
            String why = "the folder is an old one: the log ends at " + last + " and reached " + reached;
            broken(why, null);
            throw new IOException(why);
        }
    }

    /** Where this voter's log ends. */
    long last() {
        return division.getRaftLog().getNextIndex() - 1;
    }

    private void learned(List<LogEntryProto> entries, long own) {
        for (int i = entries.size() - 1; i >= 0; i--) {
            if (entries.get(i).hasStateMachineLogEntry()) {
                learned(Copy.stamp(entries.get(i).getStateMachineLogEntry().getLogData()), own);
                return;
            }
        }
    }

    private void learned(long at, long own) {
        synchronized (stamp) {
            stamp.learned(at, own);
        }
    }

    /**
     * Makes these the voters, where this one leads: one more, one less, or one that takes the place of another one of its
     * name. A voter that is new is brought up to date before it counts, and this is done when it has stored that it counts: those
     * who were there before may decide so without it, and until it has heard of it its vote can't be had when one of them is lost. Not
     * done is not known to be undone: look at {@link #voters}.
     */
    public CompletableFuture<Void> change(List<Peer> voters) {
        if (!leads()) {
            return CompletableFuture.failedFuture(new NotLeading(leader()));
        }
        Set<Peer> came = new HashSet<>(voters);
        Set<Peer> went = new HashSet<>(voters());
        came.removeAll(voters());
        went.removeAll(voters);
        boolean one = came.size() + went.size() == 1
                || came.size() == 1
                        && went.size() == 1
                        && came.iterator().next().name.equals(went.iterator().next().name);
        if (!one) {
            return CompletableFuture.failedFuture(
                    new IllegalArgumentException("one voter at a time: " + came + " for " + went));
        }
        Collection<RaftPeer> peers = peers(voters);
        transport.addRaftPeers(peers);
        CompletableFuture<Void> done = new CompletableFuture<>();
        try {
            speaker.execute(() -> {
                try {
                    server.setConfigurationAsync(new SetConfigurationRequest(
                                    client, server.getId(), raftGroup, calls.incrementAndGet(), new ArrayList<>(peers)))
                            .whenComplete((reply, e) -> {
                                if (e != null || !reply.isSuccess()) {
                                    done.completeExceptionally(e != null ? e : reply.getException());
                                } else if (came.isEmpty()) {
                                    done.complete(null);
                                } else {
                                    // An end for where this one is closed meanwhile.
                                    done.orTimeout(2 * storing, TimeUnit.NANOSECONDS);
                                    heard(
                                            RaftPeerId.valueOf(came.iterator().next().id),
                                            division.getRaftConf().getLogEntryIndex(),
                                            clock.getAsLong(),
                                            done);
                                }
                            });
                } catch (IOException | RuntimeException e) {
                    done.completeExceptionally(e);
                }
            });
        } catch (RejectedExecutionException e) {
            done.completeExceptionally(new Full());
        }
        return done;
    }

    /** Ends a change as done when the new voter has stored the entry that says so. */
    private void heard(RaftPeerId voter, long entry, long since, CompletableFuture<Void> done) {
        if (transport.hasStored(voter, entry)) {
            done.complete(null);
        } else if (!leads()) {
            done.completeExceptionally(new NotLeading(leader()));
        } else if (clock.getAsLong() - since > storing) {
            done.completeExceptionally(new Uncertain("decided, but the new voter has not stored it", null));
        } else if (!done.isDone()) {
            try {
                keeper.schedule(() -> heard(voter, entry, since, done), LOOK, TimeUnit.NANOSECONDS);
            } catch (RejectedExecutionException e) {
                done.completeExceptionally(new NotLeading(null));
            }
        }
    }

    /**
     * Hands the lead to the voter that was heard last, where this one leads; completes when that is done or has come to nothing, both
     * after {@code patience} nanoseconds at the latest.
     */
    public CompletableFuture<Void> resign(long patience) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        if (!leads()) {
            done.complete(null);
            return done;
        }
        try {
            speaker.execute(() -> {
                try {
                    RaftPeerId next =
                            division.getInfo().getRoleInfoProto().getLeaderInfo().getFollowerInfoList().stream()
                                    .min(Comparator.comparingLong(ServerRpcProto::getLastRpcElapsedTimeMs))
                                    .map(heard ->
                                            RaftPeerId.valueOf(heard.getId().getId()))
                                    .orElseThrow(() -> new IOException("no other voter"));
                    server.transferLeadershipAsync(new TransferLeadershipRequest(
                                    client,
                                    server.getId(),
                                    raftGroup,
                                    calls.incrementAndGet(),
                                    next,
                                    Math.max(1, patience / MS)))
                            .whenComplete((reply, e) -> done.complete(null));
                } catch (IOException | RuntimeException e) {
                    // The others choose one when they miss it.
                    done.complete(null);
                }
            });
        } catch (RejectedExecutionException e) {
            done.complete(null);
        }
        return done.completeOnTimeout(null, patience, TimeUnit.NANOSECONDS);
    }

    /** Who votes, as far as is known here. */
    public List<Peer> voters() {
        RaftServer.Division now = division;
        List<Peer> voters = new ArrayList<>();
        if (now != null) {
            for (RaftPeer peer : now.getRaftConf().getCurrentPeers()) {
                voters.add(new Peer(peer.getId().toString(), peer.getAddress()));
            }
        }
        return voters;
    }

    /** Whether this voter's vote counts, by voters that are not on the way from one set to the next. */
    public boolean counts() {
        RaftServer.Division now = division;
        return now != null
                && now.getRaftConf().getPreviousPeers().isEmpty()
                && voters().stream().anyMatch(each -> each.id().equals(me.id));
    }

    /** Takes no part any more. What was proposed ends as uncertain. Blocks on the disk for a bounded time. */
    @Override
    public void close() {
        over = true;
        open = false;
        transport.open(false);
        keeper.shutdownNow();
        Thread closing = new Thread(this::shut, "accord-log-close");
        closing.setDaemon(true);
        closing.start();
        try {
            closing.join(CLOSING / MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        giveUp(Long.MIN_VALUE, "closed");
    }

    private void shut() {
        try {
            if (server != null) {
                server.close();
            }
        } catch (IOException e) {
            // nothing is lost by it: what was promised is on the disk
        } finally {
            speaker.shutdownNow();
        }
    }

    private void keep() {
        try {
            watch();
            long now = clock.getAsLong();
            giveUp(now - ELECTIONS * timing.electionMost, "not decided in time");
            if (leads() && now - proposed >= TICK) {
                propose(new Command.Tick());
            }
            tell();
            if (now - notedAt >= NOTE && noting.compareAndSet(false, true)) {
                notedAt = now;
                speaker.execute(this::note);
            }
        } catch (RuntimeException e) {
            broken("time keeper failed", e);
        }
    }

    /**
     * Leaders tell all voters how far each has committed. It is kept over starts: when all who know are started anew, one whose folder was put
     * back meanwhile is told so by it.
     */
    private void note() {
        noting.set(false);
        try {
            Map<String, Long> now = new HashMap<>();
            for (RaftPeer peer : division.getRaftConf().getAllPeers()) {
                String id = peer.getId().toString();
                if (!id.equals(me.id) && reached.containsKey(id)) {
                    now.put(id, reached.get(id));
                }
            }
            for (CommitInfoProto info : division.getCommitInfos()) {
                String id = info.getServer().getId().toStringUtf8();
                if (!id.equals(me.id) && info.getCommitIndex() >= 0) {
                    now.merge(id, info.getCommitIndex(), Math::max);
                }
            }
            if (!now.equals(reached)) {
                reached.clear();
                reached.putAll(now);
                transport.noted(reached);
                folder.reached(reached);
            }
        } catch (IOException | RuntimeException e) {
            // Closed by the library, or no room: what fails for good is found by the log's own writes.
        }
    }

    /** The look goes by the thread that speaks to the library: where that one is held up, so is this voter. */
    private void watch() {
        if (look != null && !look.isDone()) {
            hang.silent();
        } else {
            if (look != null && look.isCompletedExceptionally()) {
                hang.silent();
            } else if (look != null) {
                hang.seen(look.join()[0], look.join()[1]);
            }
            look = new CompletableFuture<>();
            CompletableFuture<long[]> answer = look;
            speaker.execute(() -> {
                try {
                    RaftLog log = division.getRaftLog();
                    answer.complete(new long[] {log.getNextIndex() - 1, log.getFlushIndex()});
                } catch (RuntimeException e) {
                    // closed by the library
                    answer.completeExceptionally(e);
                }
            });
        }
        if (hang.hangs() != hangs && !over) {
            hangs = hang.hangs();
            transport.open(!hangs);
            if (hangs) {
                listener.stepsBack("the disk hangs");
            }
        }
    }

    /** Ends proposals made before a moment. */
    private void giveUp(long before, String why) {
        for (Proposal proposal : proposals.values()) {
            if (before == Long.MIN_VALUE || proposal.since - before < 0) {
                proposal.outcome.completeExceptionally(new Uncertain(why, null));
            }
        }
    }

    private void tell() {
        boolean leads = leads();
        String leader = leads ? me.name : leader();
        if (!leads && me.name.equals(leader)) {
            // elected, but not ready yet, or lost it just now
            leader = null;
        }
        if (leads != toldLeads || !Objects.equals(leader, toldLeader)) {
            toldLeads = leads;
            toldLeader = leader;
            listener.leads(leads, leader);
        }
    }

    private void broken(String why, Throwable cause) {
        if (over) {
            return;
        }
        over = true;
        open = false;
        transport.open(false);
        String line = cause == null ? why : why + ": " + reason(cause);
        try {
            keeper.execute(() -> {
                tell();
                listener.stepsBack(line);
                close();
            });
        } catch (RejectedExecutionException e) {
            // closed meanwhile
        }
    }

    private final class Told implements Copy.Ear {
        @Override
        public long appending(long call) {
            Proposal proposal = proposals.get(call);
            if (proposal != null) {
                proposal.appended = true;
            }
            synchronized (stamp) {
                return stamp.next(clock.getAsLong());
            }
        }

        @Override
        public void applied(long at, Command command, Applied what) {
            learned(at, clock.getAsLong());
            listener.applied(at, command, what);
        }

        @Override
        public void restored(State state) {
            learned(state.now(), clock.getAsLong());
            listener.restored(state);
        }

        @Override
        public void leadership() {
            try {
                keeper.execute(Replica.this::tell);
            } catch (RejectedExecutionException e) {
                // closed meanwhile
            }
        }

        @Override
        public void broken(String why, Throwable cause) {
            Replica.this.broken(why, cause);
        }
    }

    private static List<RaftPeer> peers(List<Peer> voters) {
        List<RaftPeer> peers = new ArrayList<>();
        for (Peer voter : voters) {
            peers.add(
                    RaftPeer.newBuilder().setId(voter.id).setAddress(voter.name).build());
        }
        return peers;
    }

    /** The innermost reason, in one line. */
    private static String reason(Throwable e) {
        Throwable reason = e;
        while (reason.getCause() != null) {
            reason = reason.getCause();
        }
        return reason.getMessage() == null ? reason.toString() : reason.getMessage();
    }
}
