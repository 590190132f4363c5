package rushpin.accord.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.apache.ratis.proto.RaftProtos.AppendEntriesRequestProto;
import org.apache.ratis.proto.RaftProtos.RaftGroupIdProto;
import org.apache.ratis.proto.RaftProtos.RaftRpcRequestProto;
import org.apache.ratis.proto.RaftProtos.RequestVoteRequestProto;
import org.apache.ratis.proto.RaftProtos.TermIndexProto;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.apache.ratis.thirdparty.com.google.protobuf.InvalidProtocolBufferException;
import rushpin.accord.Applied;
import rushpin.accord.Command;
import rushpin.accord.Encoding;
import rushpin.accord.Entry;
import rushpin.accord.Outcome;
import rushpin.accord.Plan;
import rushpin.accord.State;
import rushpin.accord.Who;

/** Voters of one process that reach each other in memory: each direction of each pair can be cut, lossy and slow. */
final class Lan implements AutoCloseable {
    private static final UUID GROUP = new UUID(7, 7);
    private static final long MS = 1_000_000L;
    private static final long PATIENCE_S = 60;
    static final Replica.Timing TIMING = new Replica.Timing(250 * MS, 600 * MS, 1_200 * MS);

    private final Path root;
    private final Random random;
    private final ScheduledExecutorService wire = Executors.newScheduledThreadPool(2);
    private final Set<String> cuts = ConcurrentHashMap.newKeySet();
    private volatile double loss;
    /** Requests that this holds for are lost. */
    volatile Predicate<AppendEntriesRequestProto> lost = request -> false;

    private volatile int delayMost;
    /** Each message takes so many milliseconds at least. */
    volatile int delayLeast;
    /** For voters that are started from now on: so many nanoseconds go by while the log is opened. */
    volatile long opening;

    final Map<String, Voter> voters = new ConcurrentHashMap<>();

    Lan(Path root, long seed) {
        this.root = root;
        this.random = new Random(seed);
    }

    /** One voter and what it heard. */
    final class Voter implements Replica.Listener {
        final String name;
        final Replica.Peer peer;
        final Replica replica;
        /** Guarded by the net. */
        final List<Entry> heard = new ArrayList<>();

        final List<State> restored = new ArrayList<>();
        volatile String back;
        private volatile long late;
        /** Writes wait for it. */
        volatile CompletableFuture<Void> disk = CompletableFuture.completedFuture(null);

        Voter(String name, String id, List<Replica.Peer> founders) throws IOException {
            this.name = name;
            this.peer = new Replica.Peer(id, name);
            Folder folder = Folder.open(folder(name));
            if (folder.blank()) {
                folder.settle(id, 1, GROUP);
            }
            replica = new Replica(
                    peer,
                    new Replica.Group(GROUP, founders),
                    folder(name),
                    this::machine,
                    new Text(),
                    (to, kind, body, patience) -> carry(name, to, kind, body, patience),
                    TIMING,
                    () -> System.nanoTime() + late,
                    this,
                    () -> disk);
            voters.put(name, this);
        }

        private Applier machine(State from) {
            late = opening;
            return new Sum(from);
        }

        @Override
        public void applied(long at, Command command, Applied what) {
            synchronized (Lan.this) {
                heard.add(new Entry(at, command));
                Lan.this.notifyAll();
            }
        }

        @Override
        public void leads(boolean leads, String leader) {
            stir();
        }

        @Override
        public void stepsBack(String why) {
            back = why;
            stir();
        }

        @Override
        public void restored(State state) {
            synchronized (Lan.this) {
                heard.clear();
                restored.add(state);
                Lan.this.notifyAll();
            }
        }

        /** Numbers of what was applied here, without ticks. */
        List<Long> numbers() {
            synchronized (Lan.this) {
                return heard.stream()
                        .filter(e -> e.command() instanceof Command.Renew)
                        .map(e -> ((Command.Renew) e.command()).session())
                        .toList();
            }
        }
    }

    /** Asks for a vote, in a term that is over. */
    static byte[] vote(String from, String to) {
        return RequestVoteRequestProto.newBuilder()
                .setServerRequest(RaftRpcRequestProto.newBuilder()
                        .setRequestorId(ByteString.copyFromUtf8(from))
                        .setReplyId(ByteString.copyFromUtf8(to))
                        .setRaftGroupId(RaftGroupIdProto.newBuilder()
                                .setId(RaftGroupId.valueOf(GROUP).toByteString())))
                .setCandidateLastEntry(TermIndexProto.getDefaultInstance())
                .build()
                .toByteArray();
    }

    Path folder(String name) {
        return root.resolve(name);
    }

    static Replica.Peer peer(String name) {
        return new Replica.Peer(name + "-1", name);
    }

    /** Starts three voters a, b, c that found a log. */
    void three() throws IOException {
        List<Replica.Peer> founders = List.of(peer("a"), peer("b"), peer("c"));
        for (Replica.Peer founder : founders) {
            new Voter(founder.name(), founder.id(), founders).replica.start();
        }
    }

    /** Starts a voter that is all of its group. */
    Voter alone() throws IOException {
        Voter voter = new Voter("a", "a-1", List.of(peer("a")));
        voter.replica.start();
        return voter;
    }

    /** Starts a voter again, on the folder it left. */
    Voter again(String name) throws IOException {
        Voter voter = new Voter(name, voters.get(name).peer.id(), List.of(peer("a"), peer("b"), peer("c")));
        voter.replica.start();
        return voter;
    }

    /** Starts a voter that waits to be called by a change of the voters. */
    Voter joiner(String name, String id) throws IOException {
        Voter voter = new Voter(name, id, List.of());
        voter.replica.start();
        return voter;
    }

    /** Makes these ids the voters, by whoever leads. */
    void change(String... ids) throws InterruptedException {
        List<Replica.Peer> peers = Stream.of(ids)
                .map(id -> new Replica.Peer(id, id.substring(0, id.indexOf('-'))))
                .toList();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (System.nanoTime() < end) {
            Voter leader = leader();
            if (Set.copyOf(leader.replica.voters()).equals(Set.copyOf(peers))) {
                return;
            }
            try {
                leader.replica.change(peers).get(PATIENCE_S, TimeUnit.SECONDS);
                return;
            } catch (ExecutionException e) {
                // another one leads by now, or it is under way
            } catch (TimeoutException e) {
                break;
            }
        }
        throw new AssertionError("voters not changed to " + peers);
    }

    /** Has many numbers decided, in batches that fit. */
    void many(int count) throws Exception {
        for (int done = 0; done < count; ) {
            List<CompletableFuture<Boolean>> batch = new ArrayList<>();
            Voter leader = leader();
            for (int i = 0; i < 500; i++) {
                batch.add(leader.replica
                        .propose(new Command.Renew(10_000 + done + i))
                        .handle((outcome, e) -> e == null));
            }
            for (CompletableFuture<Boolean> one : batch) {
                done += one.get(PATIENCE_S, TimeUnit.SECONDS) ? 1 : 0;
            }
        }
    }

    /** Waits until all have applied a number. */
    void everywhere(long number) {
        await(
                number + " at all",
                () -> voters.values().stream().allMatch(v -> v.numbers().contains(number)));
    }

    /** Asserts that logs say the same, stamps too, from their ends back, and that log time does not go back. */
    synchronized void agree() {
        for (Voter left : voters.values()) {
            for (int i = 1; i < left.heard.size(); i++) {
                assertTrue(
                        left.heard.get(i).at() >= left.heard.get(i - 1).at(),
                        left.name + ": log time goes back at " + i);
            }
            for (Voter right : voters.values()) {
                List<Entry> both = left.restored.isEmpty() && right.restored.isEmpty() ? left.heard : List.of();
                int most = Math.min(both.size(), right.heard.size());
                assertEquals(both.subList(0, most), right.heard.subList(0, most), left.name + " and " + right.name);
            }
        }
    }

    /** Has a number decided with nothing in the way, until it is everywhere and logs say the same. */
    void together(long number) throws InterruptedException {
        heal();
        decide(number);
        everywhere(number);
        agree();
    }

    /** Has a number decided while who leads is cut off, which then follows. */
    void withoutLeader(long number) throws InterruptedException {
        isolate(leader().name);
        decide(number);
        heal();
        everywhere(number);
    }

    /** One that does not lead. */
    Voter other() {
        return voters.get(leader().name.equals("c") ? "b" : "c");
    }

    /** Starts a voter that was closed with a blank folder, and so with another id. */
    Voter blank(Voter went) throws IOException {
        erase(folder(went.name));
        return joiner(went.name, went.name + "-2");
    }

    /** Makes all that were started the voters. */
    void change() throws InterruptedException {
        change(voters.values().stream().map(voter -> voter.peer.id()).toArray(String[]::new));
    }

    /** Closes a voter for a copy of its folder, as of a backup, and starts it again. */
    Voter backedUp(Voter voter) throws IOException {
        voter.replica.close();
        copy(folder(voter.name), root.resolve("copy"));
        return again(voter.name);
    }

    /** Puts the copy in the place of the folder of a voter that is closed. */
    void putBack(String name) throws IOException {
        erase(folder(name));
        copy(root.resolve("copy"), folder(name));
    }

    /** Bytes in a voter's folder. */
    long bytes(String name) throws IOException {
        try (Stream<Path> files = Files.walk(folder(name))) {
            return files.filter(Files::isRegularFile)
                    .mapToLong(file -> file.toFile().length())
                    .sum();
        }
    }

    /** How far a voter's log reached by what all the others have noted. */
    long noted(String name) {
        long least = Long.MAX_VALUE;
        for (Voter other : voters.values()) {
            try {
                least = other.name.equals(name)
                        ? least
                        : Math.min(
                                least,
                                Folder.open(folder(other.name))
                                        .reached()
                                        .getOrDefault(voters.get(name).peer.id(), -1L));
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        }
        return least;
    }

    static void copy(Path from, Path to) throws IOException {
        try (Stream<Path> files = Files.walk(from)) {
            for (Path file : files.toList()) {
                Files.copy(file, to.resolve(from.relativize(file).toString()));
            }
        }
    }

    static void erase(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    /** The one that leads and is not in the way of any cut. */
    Voter leader() {
        AtomicReference<Voter> found = new AtomicReference<>();
        await("a leader", () -> {
            found.set(leading());
            return found.get() != null;
        });
        return found.get();
    }

    private Voter leading() {
        for (Voter voter : voters.values()) {
            // one that was cut off may not know yet that it does not lead
            if (voter.replica.leads()
                    && (voters.size() == 1
                            || voters.keySet().stream()
                                    .anyMatch(other -> !other.equals(voter.name)
                                            && !cuts.contains(other + ">" + voter.name)
                                            && !cuts.contains(voter.name + ">" + other)))) {
                return voter;
            }
        }
        return null;
    }

    /** Has a number decided, by whoever leads, until it is said to be done: may stand in the log several times. */
    void decide(long number) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (System.nanoTime() < end) {
            try {
                leader().replica.propose(new Command.Renew(number)).get(PATIENCE_S, TimeUnit.SECONDS);
                return;
            } catch (ExecutionException e) {
                // another one leads by now, or nobody can tell
            } catch (TimeoutException e) {
                break;
            }
        }
        throw new AssertionError("number " + number + " not decided");
    }

    void cut(String from, String to) {
        cuts.add(from + ">" + to);
    }

    /** Nothing goes to a voter or comes from it. */
    void isolate(String name) {
        for (String other : voters.keySet()) {
            cut(name, other);
            cut(other, name);
        }
    }

    void heal() {
        cuts.clear();
        loss = 0;
        delayMost = 0;
    }

    void trouble(double lost, int delayMs) {
        loss = lost;
        delayMost = delayMs;
    }

    synchronized void stir() {
        notifyAll();
    }

    synchronized void await(String what, BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("no " + what + "; stepped back: "
                        + voters.values().stream()
                                .filter(v -> v.back != null)
                                .map(v -> v.name + " (" + v.back + ")")
                                .toList());
            }
            try {
                wait(20);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }
    }

    private CompletableFuture<byte[]> carry(String from, String to, Carrier.Kind kind, byte[] body, long patience) {
        CompletableFuture<byte[]> answer = new CompletableFuture<>();
        wire.schedule(() -> answer.completeExceptionally(new IOException("no answer")), patience, TimeUnit.NANOSECONDS);
        pass(from, to, () -> {
            Voter voter = voters.get(to);
            if (voter != null && !lost(kind, body)) {
                voter.replica
                        .received(kind, body)
                        .whenComplete((reply, e) -> pass(to, from, () -> {
                            if (e == null) {
                                answer.complete(reply);
                            } else {
                                answer.completeExceptionally(e);
                            }
                        }));
            }
        });
        return answer;
    }

    private boolean lost(Carrier.Kind kind, byte[] body) {
        try {
            return kind == Carrier.Kind.APPEND && lost.test(AppendEntriesRequestProto.parseFrom(body));
        } catch (InvalidProtocolBufferException e) {
            throw new AssertionError(e);
        }
    }

    private void pass(String from, String to, Runnable then) {
        int delay;
        synchronized (random) {
            if (random.nextDouble() < loss) {
                return;
            }
            delay = delayLeast + (delayMost == 0 ? 0 : random.nextInt(delayMost));
        }
        wire.schedule(
                () -> {
                    if (!cuts.contains(from + ">" + to)) {
                        then.run();
                    }
                },
                delay,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        voters.values().parallelStream().forEach(voter -> voter.replica.close());
        wire.shutdownNow();
    }

    /** Keeps the sum and the count of what was renewed. */
    private static final class Sum implements Applier {
        private State state;

        Sum(State from) {
            state = from;
        }

        @Override
        public Applied apply(Entry entry) {
            long more = entry.command() instanceof Command.Renew renew ? renew.session() : 0;
            state = new State(state.era() + 1, null, entry.at(), state.last() + more, List.of(), List.of(), Plan.NONE);
            return new Applied(new Outcome.Published(state.last()), List.of());
        }

        @Override
        public State state() {
            return state;
        }
    }

    /** Commands as text; a renewal is a number, anything else a tick. */
    static final class Text implements Encoding {
        @Override
        public byte[] bytes(Command command) {
            return (command instanceof Command.Renew renew
                            ? Long.toString(renew.session())
                            : command instanceof Command.Join join
                                    ? "j" + join.who().name()
                                    : "")
                    .getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public Command command(byte[] bytes) {
            String text = new String(bytes, StandardCharsets.UTF_8);
            return text.isEmpty()
                    ? new Command.Tick()
                    : text.startsWith("j")
                            ? new Command.Join(new Who(text.substring(1), 0, "", "", 1))
                            : new Command.Renew(Long.parseLong(text));
        }

        @Override
        public byte[] bytes(Outcome outcome) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Outcome outcome(byte[] bytes) {
            throw new UnsupportedOperationException();
        }

        @Override
        public byte[] bytes(State state) {
            return (state.era() + " " + state.now() + " " + state.last()).getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public State state(byte[] bytes) throws Unreadable {
            String[] parts = new String(bytes, StandardCharsets.UTF_8).split(" ");
            if (parts.length != 3) {
                throw new Unreadable("not three numbers");
            }
            return new State(
                    Long.parseLong(parts[0]),
                    null,
                    Long.parseLong(parts[1]),
                    Long.parseLong(parts[2]),
                    List.of(),
                    List.of(),
                    Plan.NONE);
        }
    }
}
