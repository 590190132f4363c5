package rushpin.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.FileSystemException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import rushpin.accord.Applied;
import rushpin.accord.Budget;
import rushpin.accord.Command;
import rushpin.accord.Decision;
import rushpin.accord.Entry;
import rushpin.accord.Founding;
import rushpin.accord.Founding.Introduction;
import rushpin.accord.Machine;
import rushpin.accord.Outcome;
import rushpin.accord.Plan;
import rushpin.accord.Report;
import rushpin.accord.State;
import rushpin.accord.Terms;
import rushpin.accord.Who;
import rushpin.accord.log.Applier;
import rushpin.accord.log.Carrier;
import rushpin.accord.log.Folder;
import rushpin.accord.log.Replica;
import rushpin.config.FleetConfig;
import rushpin.net.ErrorLog;
import rushpin.peer.Ballots;
import rushpin.peer.Busy;
import rushpin.peer.Codec;
import rushpin.peer.Elsewhere;
import rushpin.peer.Introduced;
import rushpin.peer.Links;
import rushpin.peer.Pace;
import rushpin.peer.PeerServer;
import rushpin.peer.SessionDesk;
import rushpin.peer.Sockets;
import rushpin.peer.Uncertain;

/**
 * This process's vote: its folder, its copy of the log, where it is reached and the ways to the other voters. It introduces
 * itself until it is known which log it belongs to; while it leads, it founds the fleet and changes the voters, one at a time.
 */
final class Voter implements Ballots, Replica.Listener, AutoCloseable {
    /**
     * What the log says, as far as it is applied here.
     *
     * @param regions of each zone in which a process stands
     * @param planner the session that makes the plans, 0 for none
     * @param planning the name of its process, null for none
     */
    record Known(Plan plan, Map<String, String> regions, long planner, String planning) {}

    /** What the log says of connections to groups: who is there, by session, and what is granted. */
    record Connections(Map<Long, String> sessions, Map<String, Budget> budgets) {}

    private record Heard(Introduction what, long at) {}

    /** Streams of processes, and connections beyond these: the other voters', and strangers'. */
    private static final int MOST_STREAMS = 2_000, MORE_CONNECTIONS = 64;
    /** Introductions and looks at the voters are so many to a lease. */
    private static final int LOOKS = 10;
    /** The log's pace in parts of a lease: a new leader is there well before leases end for want of one. */
    private static final int HEARTBEAT = 12, ELECTION_LEAST = 5;

    private static final String ERA = "era-";
    /** A log in which nothing is decided for so long stands still, however short the lease; nanoseconds. */
    private static final long STILL = 2_000_000_000L;
    /** A log that failed is opened anew so seldom; nanoseconds. */
    private static final long AGAIN = 5_000_000_000L;
    /** Longer ago than any lease. */
    private static final long MOST_ASKED = 3_600_000_000_000L;

    private static final int LONGEST_WHY = 200;
    /** Log time between two looks at what is granted, nanoseconds: it is as long as there are processes. */
    private static final long GRANTS = 200_000_000L;

    private final FleetConfig plan;
    private final Terms terms;
    private final Pace pace;
    private final Consumer<Decision> hearer;
    private final Links links;
    private final SessionDesk desk;
    private final PeerServer server;
    private final ScheduledThreadPoolExecutor thread;
    private final Codec codec = new Codec();
    /** Of the sessions that are there; the log's thread alone. */
    private final Map<Long, Who> sessions = new HashMap<>();

    private Plan inForce = Plan.NONE;
    private long planner;
    private volatile Known known = new Known(Plan.NONE, Map.of(), 0, null);
    /** The log's thread alone: what is applied now, and when its grants were looked at. */
    private Machine machine;

    private long grantsAt;
    private volatile Connections connections = new Connections(Map.of(), Map.of());
    private volatile Replica replica;
    private volatile boolean founded, applied;
    /** When an entry was last applied, own time. */
    private volatile long appliedAt;
    /** Log time up to which all is known: a log that is opened anew tells it once more. Set on the log's thread. */
    private volatile long newest = Long.MIN_VALUE;

    private volatile Folder folder;
    private volatile String id;
    /** Who votes by the file as it is now. */
    private volatile Set<String> names;
    /** The log that a blank voter offers to found, and the one it belongs to once it does; null for none. */
    private volatile UUID group;
    /** Of that log, as far as is known without a copy of it. */
    private volatile List<String> members = List.of();
    /** What each other voter has answered since this start, and when. */
    private final Map<String, Heard> heard = new TreeMap<>();
    /** When somebody last asked to be taken in. */
    private long askedAt = System.nanoTime() - MOST_ASKED;
    /** Its vote counts, by a line that was said. */
    private boolean counts;
    /** A change of the voters, or the founding, is on its way. */
    private boolean busy;
    /** Nothing more, until the operator changes something. */
    private volatile boolean refused;

    private volatile String told;
    /** When the log was last opened. */
    private long openedAt;
    /** Who leads by a line that was said; the log's time keeper's alone. */
    private boolean leads, follows;

    /**
     * Opens nothing yet; {@code hearer} is told what its log decides, on the log's thread, and {@code evidence} what
     * processes report while this one makes the plans, on the desk's; neither may block.
     */
    Voter(FleetConfig plan, Terms terms, Sockets sockets, Consumer<Decision> hearer, Consumer<Report> evidence) {
        this.plan = plan;
        this.terms = terms;
        this.hearer = hearer;
        names = Set.copyOf(plan.addresses().keySet());
        pace = Pace.of(plan.lease());
        thread = new ScheduledThreadPoolExecutor(1, task -> {
            Thread made = new Thread(task, "fleet voter");
            made.setDaemon(true);
            return made;
        });
        thread.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        links = new Links(others(plan), sockets);
        desk = new SessionDesk(plan.name(), this, links, MOST_STREAMS, pace, evidence);
        InetSocketAddress listen = new InetSocketAddress(
                plan.listen().getHostString(), plan.listen().getPort());
        server = new PeerServer(listen, MOST_STREAMS + MORE_CONNECTIONS, this, desk, sockets);
    }

    private static Map<String, InetSocketAddress> others(FleetConfig plan) {
        Map<String, InetSocketAddress> others = plan.addresses();
        others.remove(plan.name());
        return others;
    }

    /**
     * Opens the folder and listens. Each era has a folder of its own below the state's: what an older one knew stays there,
     * and counts no more.
     *
     * @throws IOException with a line for the operator
     */
    void open() throws IOException {
        long newest = newestEra(plan.state());
        if (newest > plan.era()) {
            throw new IOException(
                    "fleet.state " + plan.state() + " has seen era " + newest + ", and fleet.era is " + plan.era());
        }
        try {
            folder = Folder.open(plan.state().resolve(ERA + plan.era()));
        } catch (FileSystemException e) {
            // Its message is a path alone.
            throw new IOException("fleet.state can't be used: " + e, e);
        }
        boolean blank = folder.blank();
        id = blank ? Founding.id(plan.name(), new SecureRandom().nextLong()) : folder.id();
        if (!blank) {
            begin(folder.group(), List.of(), false);
        }
        try {
            server.start();
        } catch (IOException e) {
            throw new IOException("fleet.listen " + plan.listen() + ": " + e.getMessage(), e);
        }
        thread.scheduleWithFixedDelay(this::look, 0, plan.lease() / LOOKS, TimeUnit.NANOSECONDS);
    }

    private static long newestEra(Path state) throws IOException {
        if (!Files.isDirectory(state)) {
            return 0;
        }
        try (Stream<Path> all = Files.list(state)) {
            return all.map(each -> each.getFileName().toString())
                    .filter(each -> each.matches(ERA + "[0-9]{1,9}"))
                    .mapToLong(each -> Long.parseLong(each.substring(ERA.length())))
                    .max()
                    .orElse(0);
        }
    }

    /** Takes part in a log; {@code ids} are those of its founding, and none where others know them. */
    private void begin(UUID log, List<String> ids, boolean blank) throws IOException {
        if (folder.blank()) {
            // On the disk before anybody hears of it.
            folder.settle(id, plan.era(), log);
        }
        group = log;
        open(log, ids);
        say("voter id=" + id + " blank=" + blank + " group=" + log);
    }

    private void open(UUID log, List<String> ids) throws IOException {
        openedAt = System.nanoTime();
        long lease = plan.lease();
        Replica.Timing timing =
                new Replica.Timing(lease / HEARTBEAT, lease / ELECTION_LEAST, 2 * lease / ELECTION_LEAST);
        Replica made = new Replica(
                peer(id),
                new Replica.Group(log, ids.stream().map(Voter::peer).toList()),
                plan.state().resolve(ERA + plan.era()),
                this::machine,
                codec,
                links,
                timing,
                System::nanoTime,
                this);
        made.start();
        replica = made;
    }

    /** After the disk failed: it may have room again. The log is read anew from there; nothing that was promised is forgotten. */
    private void again() {
        try {
            open(group, List.of());
            told = null;
            say("voter id=" + id + " blank=false group=" + group);
        } catch (IOException e) {
            if (!e.getMessage().equals(told)) {
                told = e.getMessage();
                stepsBack(told);
            }
        }
    }

    /** The folder was put back to an earlier moment: it goes, and this voter is a new one, which asks to be taken in. */
    private void anew() {
        if (counts) {
            counts = false;
            say("counts-not id=" + id);
        }
        try {
            Path path = plan.state().resolve(ERA + plan.era()), old = path.resolveSibling(path.getFileName() + ".old");
            Folder.remove(old);
            if (Files.exists(path)) {
                Files.move(path, old, StandardCopyOption.ATOMIC_MOVE);
                Folder.remove(old);
            }
            folder = Folder.open(path);
            id = Founding.id(plan.name(), new SecureRandom().nextLong());
            group = null;
            members = List.of();
            heard.clear();
            told = null;
            replica = null;
        } catch (IOException e) {
            if (!e.getMessage().equals(told)) {
                told = e.getMessage();
                stepsBack(told);
            }
        }
    }

    private static Replica.Peer peer(String id) {
        return new Replica.Peer(id, Founding.name(id));
    }

    private Applier machine(State from) {
        Machine made = new Machine(from);
        machine = made;
        return new Applier() {
            @Override
            public Applied apply(Entry entry) {
                return made.apply(entry);
            }

            @Override
            public State state() {
                return made.state();
            }
        };
    }

    /** What is granted, as this voter's copy of the log has it while its process makes the plans; any thread. */
    Connections connections() {
        return connections;
    }

    /** Only who makes the plans divides, and only it needs to know. */
    private void lookAtGrants(long at, Command command) {
        boolean divides = plan.name().equals(known.planning());
        if (divides
                && (command instanceof Command.Divide
                        || at - grantsAt >= GRANTS
                        || connections.sessions().isEmpty())) {
            grantsAt = at;
            Map<Long, String> names = new TreeMap<>();
            sessions.forEach((session, who) -> names.put(session, who.name()));
            Map<String, Budget> budgets = new TreeMap<>();
            machine.groups().forEach(group -> machine.budget(group).ifPresent(budget -> budgets.put(group, budget)));
            connections = new Connections(names, budgets);
        }
    }

    /** What the log says, as far as it is applied here; any thread. */
    Known known() {
        return known;
    }

    /** Log time up to which its copy knows all: late by half a second at most while a voter leads. Any thread. */
    long logTime() {
        return newest;
    }

    /** Whether its copy of the log goes on: the leader has something decided twice a second at least. Any thread. */
    boolean follows(long now) {
        return replica != null && applied && now - appliedAt < Math.max(plan.lease(), STILL);
    }

    /** Other voters or addresses. */
    void change(FleetConfig next) {
        thread.execute(() -> {
            names = Set.copyOf(next.addresses().keySet());
            links.move(others(next));
            heard.keySet().retainAll(names);
        });
    }

    private void look() {
        try {
            Replica log = replica;
            boolean leading = log != null && log.leads();
            if (refused) {
                return;
            }
            if (log != null && log.isPutBack()) {
                anew();
                return;
            }
            if (log != null && log.isOver()) {
                if (System.nanoTime() - openedAt >= AGAIN) {
                    again();
                }
                return;
            }
            if (!isMember() || leading && System.nanoTime() - askedAt < plan.lease()) {
                Introduced own = wire(self());
                links.voters()
                        .forEach(voter -> links.introduce(voter, own, pace.patience())
                                .thenAccept(theirs -> execute(() -> answered(theirs))));
            }
            if (log != null && log.counts() != counts) {
                counts = !counts;
                say((counts ? "counts" : "counts-not") + " id=" + id);
            }
            if (leading && !busy) {
                if (!founded) {
                    busy(log.propose(new Command.Found(plan.era(), terms)), "the fleet is founded, era " + plan.era());
                } else {
                    dismiss();
                }
            }
        } catch (RuntimeException e) {
            ErrorLog.report("a voter's look round", e);
        }
    }

    private boolean isMember() {
        Replica log = replica;
        return log != null && log.voters().stream().anyMatch(each -> each.id().equals(id));
    }

    /** What this voter says of itself; any thread. */
    private Introduction self() {
        Replica log = replica;
        List<String> ids = log == null
                ? members
                : log.voters().stream().map(Replica.Peer::id).toList();
        List<String> said = !ids.isEmpty() ? ids : log == null || !members.isEmpty() ? members : List.of(id);
        return new Introduction(plan.name(), id, log == null, plan.era(), said.isEmpty() ? null : group, said);
    }

    private static Introduced wire(Introduction of) {
        String log = of.groupId() == null ? null : of.groupId().toString();
        return new Introduced(of.name(), of.id(), of.blank(), of.era(), log, of.memberIds());
    }

    /** Null for one that makes no sense. */
    private static Introduction read(Introduced of) {
        try {
            UUID log = of.group() == null ? null : UUID.fromString(of.group());
            return new Introduction(of.name(), of.id(), of.blank(), of.era(), log, of.members());
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    /** Another voter has answered what was asked after this start. */
    private void answered(Introduced theirs) {
        Introduction what = read(theirs);
        if (what == null || !names.contains(what.name())) {
            return;
        }
        heard.put(what.name(), new Heard(what, System.nanoTime()));
        if (!isMember() && !refused) {
            step(Founding.decide(
                    self(),
                    names,
                    folder.era(),
                    heard.values().stream().map(Heard::what).toList()));
        }
    }

    private void step(Founding.Step step) {
        try {
            if (step instanceof Founding.Step.Offer offer) {
                members = offer.memberIds();
                group = offer.group();
            } else if (step instanceof Founding.Step.Found found && replica == null) {
                members = found.memberIds();
                begin(found.group(), found.memberIds(), true);
            } else if (step instanceof Founding.Step.AskToReplace ask) {
                members = heard.values().stream()
                        .map(Heard::what)
                        .filter(each -> ask.group().equals(each.groupId()))
                        .map(Introduction::memberIds)
                        .findFirst()
                        .orElse(members);
                if (replica == null) {
                    begin(ask.group(), List.of(), true);
                }
            } else if (step instanceof Founding.Step.Refuse refuse) {
                refused = true;
                stepsBack(refuse.why());
            }
        } catch (IOException e) {
            refused = true;
            stepsBack(e.getMessage());
        }
    }

    /** Who is in the file no more is taken out, when all who are in it are in. */
    private void dismiss() {
        List<Replica.Peer> voters = replica.voters();
        Set<String> there = new TreeSet<>();
        voters.forEach(each -> there.add(each.name()));
        if (there.containsAll(names)) {
            voters.stream()
                    .filter(each -> !names.contains(each.name()))
                    .findFirst()
                    .ifPresent(gone -> {
                        List<Replica.Peer> rest = new ArrayList<>(voters);
                        rest.remove(gone);
                        busy(replica.change(rest), "voter " + gone.id() + " is taken out");
                    });
        }
    }

    /** One thing at a time; what comes to nothing is told once and tried again with a later look. */
    private void busy(CompletableFuture<?> with, String what) {
        busy = true;
        with.whenComplete((done, cause) -> {
            String line = cause == null ? what : what + " has come to nothing so far: " + cause.getMessage();
            if (!line.equals(told)) {
                System.out.println(line);
            }
            told = line;
            execute(() -> busy = false);
        });
    }

    private void execute(Runnable work) {
        try {
            thread.execute(work);
        } catch (RejectedExecutionException e) {
            // It ends.
        }
    }

    /** Answers at once; who is no member of the log that this voter leads asks by it to be taken in. */
    @Override
    public Introduced introduce(Introduced theirs) {
        execute(() -> {
            Introduction what = read(theirs);
            if (what != null
                    && !what.blank()
                    && replica != null
                    && replica.leads()
                    && what.groupId().equals(group)) {
                takeIn(what);
            }
        });
        return wire(self());
    }

    /** A voter that lost its folder has another id, and takes the place of the one of its name. One new in the file is added. */
    private void takeIn(Introduction theirs) {
        long now = System.nanoTime();
        List<Replica.Peer> voters = new ArrayList<>(replica.voters());
        List<String> ids = voters.stream().map(Replica.Peer::id).toList();
        if (ids.contains(theirs.id())) {
            return;
        }
        askedAt = now;
        List<String> there = new ArrayList<>(List.of(id));
        heard.values().stream()
                .filter(each -> now - each.at() < plan.lease())
                .forEach(each -> there.add(each.what().id()));
        String old = voters.stream()
                .filter(each -> each.name().equals(theirs.name()))
                .map(Replica.Peer::id)
                .findFirst()
                .orElse(null);
        if (Founding.mayChange(ids, there, busy, names, old, theirs.id()) == Founding.Answer.YES) {
            voters.removeIf(each -> each.id().equals(old));
            voters.add(peer(theirs.id()));
            busy(replica.change(voters), "voter " + theirs.id() + " is taken in");
        }
    }

    @Override
    public CompletableFuture<Outcome> propose(Command command) {
        Replica to = replica;
        if (to == null) {
            return CompletableFuture.failedFuture(new Elsewhere(null));
        }
        CompletableFuture<Outcome> done = new CompletableFuture<>();
        to.propose(command).whenComplete((outcome, cause) -> {
            if (cause == null) {
                done.complete(outcome);
            } else if (cause instanceof Replica.NotLeading elsewhere) {
                done.completeExceptionally(new Elsewhere(elsewhere.leader()));
            } else if (cause instanceof Replica.Full) {
                done.completeExceptionally(new Busy(cause.getMessage()));
            } else {
                done.completeExceptionally(new Uncertain(String.valueOf(cause.getMessage())));
            }
        });
        return done;
    }

    @Override
    public CompletableFuture<byte[]> received(Carrier.Kind kind, byte[] body) {
        Replica to = replica;
        return to == null ? CompletableFuture.failedFuture(new IOException("no log yet")) : to.received(kind, body);
    }

    @Override
    public String leader() {
        Replica of = replica;
        return of == null ? null : of.leader();
    }

    @Override
    public String planner() {
        return known.planning();
    }

    @Override
    public void applied(long at, Command command, Applied what) {
        boolean news = at >= newest;
        if (news) {
            newest = at;
            appliedAt = System.nanoTime();
            applied = true;
        }
        founded = founded || command instanceof Command.Found;
        boolean changed = false;
        for (Decision decision : what.decisions()) {
            if (decision instanceof Decision.Came came) {
                sessions.put(came.session(), came.who());
                changed = true;
            } else if (decision instanceof Decision.Went went) {
                changed |= sessions.remove(went.session()) != null;
            } else if (decision instanceof Decision.Allotted allotted) {
                Who to = sessions.get(allotted.word().session());
                if (news && to != null) {
                    desk.allotted(to.name(), allotted.word());
                }
            } else if (decision instanceof Decision.InForce newer) {
                inForce = newer.plan();
                changed = true;
            } else if (decision instanceof Decision.Holds holds
                    && holds.resource().equals(Command.PLANNER)) {
                planner = holds.session();
                changed = true;
            } else if (decision instanceof Decision.Free free && free.resource().equals(Command.PLANNER)) {
                planner = 0;
                changed = true;
            }
        }
        if (!news) {
            return;
        }
        if (changed) {
            know();
        }
        lookAtGrants(at, command);
        // What it knows is there when it is heard.
        what.decisions().forEach(hearer);
    }

    private void know() {
        Map<String, String> regions = new TreeMap<>();
        // Of two that name another region for one zone the first by name has it, for all alike.
        sessions.values().stream()
                .filter(who -> Who.isName(who.zone()))
                .forEach(who ->
                        regions.merge(who.zone(), who.region(), (one, two) -> one.compareTo(two) <= 0 ? one : two));
        Who plans = sessions.get(planner);
        known = new Known(inForce, Map.copyOf(regions), planner, plans == null ? null : plans.name());
        if (inForce.number() > 0) {
            desk.inForce(inForce);
        }
    }

    @Override
    public void restored(State state) {
        founded = state.terms() != null;
        sessions.clear();
        state.sessions().forEach(each -> sessions.put(each.number(), each.who()));
        inForce = state.plan();
        planner = state.holders().stream()
                .filter(each -> each.resource().equals(Command.PLANNER))
                .mapToLong(State.Holder::session)
                .findFirst()
                .orElse(0);
        if (state.now() < newest) {
            return;
        }
        newest = state.now();
        know();
        if (inForce.number() > 0) {
            hearer.accept(new Decision.InForce(inForce));
        }
    }

    @Override
    public void leads(boolean leading, String leader) {
        if (leading && !leads) {
            say("leads");
        } else if (!leading && (leads || !follows && leader != null)) {
            say("follows");
            follows = true;
        }
        leads = leading;
    }

    @Override
    public void stepsBack(String why) {
        say("steps-back why=" + word(why));
    }

    /** One word, as the line has it. */
    private static String word(String text) {
        String word = String.valueOf(text).trim().replaceAll("[^A-Za-z0-9._:/-]+", "-");
        return word.length() > LONGEST_WHY ? word.substring(0, LONGEST_WHY) : word;
    }

    private static void say(String what) {
        System.out.println("fleet " + what + " at=" + System.nanoTime());
    }

    /** Hands the lead on, if it leads, and takes no part any more; blocks for a bounded time. */
    @Override
    public void close() {
        thread.shutdownNow();
        Replica of = replica;
        if (of != null) {
            of.resign(plan.lease() / LOOKS).join();
            replica = null;
            of.close();
        }
        desk.close();
        server.close();
        desk.end();
        links.close();
    }
}
