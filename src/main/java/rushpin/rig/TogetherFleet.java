package rushpin.rig;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Stream;
import rushpin.judge.AccordEvent;
import rushpin.judge.Accords;

/**
 * Real edge nodes that decide in common: each with its files, its folder and its own way to each voter and to the
 * servers of each zone, through {@link Links}. What they say of themselves goes to the judge's record, and whoever waits for something waits for a line.
 */
final class TogetherFleet implements AutoCloseable {
    /** The longest that anything is waited for: a busy machine is slow, and a verdict is no matter of speed. */
    private static final int AWAIT_S = 90;
    /** A look beside the lines: at what is alive, which no line tells. */
    private static final long LOOK_MS = 200;

    static final List<String> POOLS = List.of("one", "two"), ZONES = List.of("a", "b", "c");

    /**
     * What the fleet is made of.
     *
     * @param processes how many, in {@link #ZONES} in turn
     * @param voters how many of them vote, the first ones
     * @param leaseMs and the longest effect, as in the operator's file
     * @param pools of each process
     * @param agrees whether they are a fleet; else each decides alone
     * @param group the table of a group of servers, called as the one pool is; empty for none
     */
    record Shape(
            int processes, int voters, long leaseMs, long effectMs, List<String> pools, boolean agrees, String group) {
        /** Without a group. */
        Shape(int processes, int voters, long leaseMs, long effectMs, List<String> pools, boolean agrees) {
            this(processes, voters, leaseMs, effectMs, pools, agrees, "");
        }

        /** A fleet with the usual pools. */
        Shape(int processes, int voters, long leaseMs, long effectMs) {
            this(processes, voters, leaseMs, effectMs, POOLS, true);
        }

        Accords.Bounds bounds() {
            return new Accords.Bounds(leaseMs * 1_000_000, effectMs * 1_000_000);
        }
    }

    /** One process over its restarts. */
    final class Member {
        final int number;
        final String name, zone;
        final boolean votes;
        final InetSocketAddress address;
        private final HeldPort listen;
        private final Path state, ballast;
        private Path config, operator;
        /** How it reaches each other voter. */
        private final Map<String, InetSocketAddress> ways = new TreeMap<>();

        private volatile NodeProcess process;
        private volatile Accords.Run run;
        /** All of it, in order. */
        final List<Accords.Run> runs = new CopyOnWriteArrayList<>();

        private volatile boolean in = true;
        /** Spans in which it was dead or stopped; the last may be open. */
        private final List<long[]> away = new ArrayList<>();

        private Member(int number) throws IOException {
            this.number = number;
            name = "n" + number;
            zone = ZONES.get(number % ZONES.size());
            votes = number < shape.voters;
            listen = votes ? new HeldPort() : null;
            state = yard.folder.resolve("fleet-" + name);
            ballast = yard.folder.resolve("ballast-" + name);
            // An address of its own: none of the ports that the system gives to others.
            String host = "127.0.2." + (number + 1);
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(host))) {
                address = new InetSocketAddress(host, free.getLocalPort());
            }
        }

        Accords.Run run() {
            return run;
        }

        /** Starts it and returns when it serves. */
        void start() throws Exception {
            Accords.Run made = accords.run(name);
            run = made;
            runs.add(made);
            process = NodeProcess.serve(yard.folder, config, operator, ballast, line -> {
                if (made.said(line)) {
                    changed();
                }
            });
            back();
        }

        /** Kills it outright. */
        void kill() throws Exception {
            gone();
            process.kill();
            run.ended(System.nanoTime());
        }

        /** Ends it as an operator does; returns when it has ended. */
        void end() throws Exception {
            gone();
            int status = process.stop();
            run.ended(System.nanoTime());
            if (status != 0) {
                throw new IllegalStateException(this + " ended with " + status);
            }
        }

        /** Stops it as it stands; {@link #wake} lets it go on. The span counts from before the signal to after the other. */
        long stop() throws Exception {
            gone();
            long from = System.nanoTime();
            process.signal("STOP");
            return from;
        }

        void wake(long stoppedAt) throws Exception {
            // Before it is woken: what it says from then on has to come after.
            long woken = System.nanoTime();
            run.stopped(stoppedAt, woken);
            look();
            boolean isOver = isConnected(this) && woken - stoppedAt > shape.leaseMs * 1_000_000;
            process.signal("CONT");
            if (isOver) {
                // Until it has said so its last word is that it has a session, and whoever looks if all is well would
                // believe it.
                await(this + " knows that its session is over", () -> hasLost(this, stoppedAt));
            }
            back();
        }

        /** Its disk is full: it can write no file. */
        void full() throws Exception {
            process.room("1");
        }

        /** Its disk has room again. */
        void room() throws Exception {
            process.room("unlimited");
        }

        /** Fills its heap but for a little, and returns when it is full or was too much for it. */
        void laden() throws Exception {
            Files.createFile(ballast);
            await(
                    this + " holds its ballast",
                    () -> !isAlive() || said().stream().anyMatch(line -> line.startsWith("ballast of")));
        }

        /** Its heap has room again; a process that ended of it is started anew. */
        void unladen() throws Exception {
            Files.delete(ballast);
            if (!isAlive()) {
                gone();
                run.ended(System.nanoTime());
                start();
            }
        }

        private synchronized void gone() {
            in = false;
            away.add(new long[] {System.nanoTime(), Long.MAX_VALUE});
        }

        private synchronized void back() {
            if (!away.isEmpty()) {
                away.get(away.size() - 1)[1] = System.nanoTime();
            }
            in = true;
        }

        private synchronized boolean wasAway(long from, long until) {
            return away.stream().anyMatch(span -> span[0] <= until && from <= span[1]);
        }

        NodeProcess process() {
            return process;
        }

        boolean isAlive() {
            return process != null && process.isAlive();
        }

        /** Its last lines, for whoever looks for a cause. */
        List<String> said() {
            return process == null ? List.of() : process.said();
        }

        /** Takes its folder away; for a process that does not run. */
        void blank() throws IOException {
            delete(state);
        }

        /** Puts a copy of its folder aside; for a process that does not run. */
        Path copy(String to) throws IOException {
            Path copy = yard.folder.resolve(to);
            tree(state, copy);
            return copy;
        }

        /** Puts a copy in place of its folder; for a process that does not run. */
        void restore(Path copy) throws IOException {
            delete(state);
            tree(copy, state);
        }

        @Override
        public String toString() {
            return name;
        }
    }

    private final Yard yard;
    private final Shape shape;
    private final long seed;
    final Links links;
    final Accords accords = new Accords();
    final List<Member> members = new ArrayList<>();
    /** What was said up to the last look; what is asked below is answered by it. */
    private volatile List<Accords.Said> seen = List.of();

    private final ExecutorService threads = Executors.newCachedThreadPool(work -> {
        Thread made = new Thread(work, "together");
        made.setDaemon(true);
        return made;
    });

    /** Makes nodes and their files; starts none. */
    TogetherFleet(Yard yard, Shape shape, List<RigConfig.Plan> plans, long seed) throws Exception {
        this.yard = yard;
        this.shape = shape;
        this.seed = seed;
        links = new Links(seed);
        for (int i = 0; i < shape.processes; i++) {
            members.add(new Member(i));
        }
        for (Member member : members) {
            String json = member.name + "-%s.json";
            for (String pool : shape.pools) {
                yard.write(
                        String.format(json, pool),
                        RigConfig.json(
                                member.name,
                                text(member.address),
                                member.number,
                                512,
                                shape.processes,
                                yard.through(links, member.name, pool),
                                yard.counter,
                                plans,
                                ZONES,
                                member.zone));
            }
            member.config = yard.folder.resolve(String.format(json, shape.pools.get(0)));
            member.operator = yard.write(member.name + ".toml", operator(member, json, shape.group));
        }
    }

    /** Writes another table of the group into all files, and has those that run read them. */
    void group(String table) throws Exception {
        for (Member member : members) {
            yard.write(member.name + ".toml", operator(member, member.name + "-%s.json", table));
            if (member.isAlive()) {
                member.process.signal("HUP");
            }
        }
    }

    /** Switches what is between a process and the others; its ways to servers stay as they are. */
    void apart(Member member, Links.Way way) throws Exception {
        for (Member other : members) {
            links.both(member.name, other.name, way);
        }
    }

    private String operator(Member member, String json, String group) throws Exception {
        String pools = pools(json, shape.pools);
        return (shape.agrees ? fleet(member) : "")
                + group
                + (group.isEmpty()
                        ? pools
                        : pools.replace("[[pool]]\n", "[[pool]]\ngroup = \"" + shape.pools.get(0) + "\"\n"));
    }

    /** What an operator's file says of some pools; {@code json} is a pool's file, with {@code %s} for its name. */
    static String pools(String json, List<String> pools) {
        StringBuilder file = new StringBuilder();
        for (String pool : pools) {
            file.append("[[pool]]\nname = \"")
                    .append(pool)
                    .append("\"\nsettings = \"")
                    .append(String.format(json, pool))
                    .append("\"\n[[route]]\npool = \"")
                    .append(pool)
                    .append("\"\nhost = \"")
                    .append(pool)
                    .append(".example.org\"\n");
        }
        return file.toString();
    }

    private String fleet(Member member) throws Exception {
        StringBuilder file = new StringBuilder("[fleet]\nname = \"" + member.name + "\"\nzone = \"" + member.zone
                + "\"\nregion = \"" + (member.zone.equals("c") ? "west" : "east") + "\"\nlease-ms = " + shape.leaseMs
                + "\neffect-ms = " + shape.effectMs + "\n");
        if (member.votes) {
            file.append("listen = \"")
                    .append(text(member.listen.address()))
                    .append("\"\nstate = \"")
                    .append(member.state)
                    .append("\"\n");
        }
        for (Member voter : members) {
            if (voter.votes) {
                InetSocketAddress address = voter == member ? voter.listen.address() : member.ways.get(voter.name);
                if (address == null) {
                    address = links.open(member.name, voter.name, voter.listen.address());
                    member.ways.put(voter.name, address);
                }
                file.append("[[fleet.voter]]\nname = \"")
                        .append(voter.name)
                        .append("\"\naddress = \"")
                        .append(text(address))
                        .append("\"\n");
            }
        }
        return file.toString();
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Something done to a process. */
    interface Step {
        void on(Member member) throws Exception;
    }

    /** Does something to some processes at once and waits for all. */
    void all(List<Member> some, Step step) throws Exception {
        List<Future<?>> running = new ArrayList<>();
        for (Member member : some) {
            running.add(threads.submit(() -> {
                step.on(member);
                return null;
            }));
        }
        for (Future<?> one : running) {
            one.get(AWAIT_S, TimeUnit.SECONDS);
        }
    }

    private synchronized void changed() {
        notifyAll();
    }

    /** What was said up to now is seen from now on. */
    List<Accords.Said> look() {
        seen = accords.said();
        return seen;
    }

    /** What was said up to the last look. */
    List<Accords.Said> seen() {
        return seen;
    }

    /** Who it is that something can be said of now, waiting until there is one. */
    Member await(String what, Supplier<Member> who) throws Exception {
        Member[] found = new Member[1];
        await(what, () -> (found[0] = who.get()) != null);
        return found[0];
    }

    /** Waits until something is so, looking with each line that a process says; fails when it does not become so. */
    void await(String what, BooleanSupplier so) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_S);
        synchronized (this) {
            look();
            while (!so.getAsBoolean()) {
                if (System.nanoTime() > until) {
                    throw new TimeoutException(what + ": not within " + AWAIT_S + " s, seed " + seed);
                }
                wait(LOOK_MS);
                look();
            }
        }
    }

    /** What a run said of one kind, in order. */
    <T extends AccordEvent> List<T> said(Accords.Run by, Class<T> kind) {
        return seen.stream()
                .filter(one -> one.by() == by && kind.isInstance(one.event()))
                .map(one -> kind.cast(one.event()))
                .toList();
    }

    private static <T> T last(List<T> all) {
        return all.isEmpty() ? null : all.get(all.size() - 1);
    }

    /** Whether a process that runs has a session by its own word. */
    boolean isConnected(Member member) {
        AccordEvent.Session session = last(said(member.run, AccordEvent.Session.class));
        AccordEvent.Lost lost = last(said(member.run, AccordEvent.Lost.class));
        return member.isAlive() && session != null && (lost == null || lost.at() < session.at());
    }

    /** Whether its run has lost a session since a moment. */
    private boolean hasLost(Member member, long since) {
        AccordEvent.Lost lost = last(said(member.run, AccordEvent.Lost.class));
        return lost != null && lost.at() >= since;
    }

    /** The process that leads, by the newest word of those that run; null for none. */
    Member leader() {
        return members.stream()
                .filter(member -> member.isAlive() && leads(member) != null)
                .max(Comparator.comparingLong(member -> leads(member).at()))
                .orElse(null);
    }

    private AccordEvent.Leads leads(Member member) {
        AccordEvent.Leads leads = last(said(member.run, AccordEvent.Leads.class));
        AccordEvent.Follows follows = last(said(member.run, AccordEvent.Follows.class));
        return leads == null || follows != null && follows.at() > leads.at() ? null : leads;
    }

    /** What a process that runs holds of a resource, by its word; null for nothing. */
    AccordEvent.Holds holds(Member member, String resource) {
        AccordEvent.Holds holds = last(said(member.run, AccordEvent.Holds.class).stream()
                .filter(one -> one.resource().equals(resource))
                .toList());
        return !member.isAlive()
                        || holds == null
                        || said(member.run, AccordEvent.Yields.class).stream()
                                .anyMatch(one -> one.resource().equals(resource)
                                        && one.fence() == holds.fence()
                                        && one.at() >= holds.at())
                ? null
                : holds;
    }

    /** Who holds a resource under the greatest fence; null for nobody. */
    Member holder(String resource) {
        return members.stream()
                .filter(member -> holds(member, resource) != null)
                .max(Comparator.comparingLong(member -> holds(member, resource).fence()))
                .orElse(null);
    }

    /** The last plan of each pool of a run. */
    Map<String, AccordEvent.Planned> plans(Accords.Run run) {
        Map<String, AccordEvent.Planned> plans = new TreeMap<>();
        said(run, AccordEvent.Planned.class).forEach(plan -> plans.put(plan.pool(), plan));
        return plans;
    }

    /** Whether each pool of some processes goes by a plan that is as is asked for. */
    boolean go(List<Member> some, Predicate<AccordEvent.Planned> by) {
        return some.stream().allMatch(member -> {
            Map<String, AccordEvent.Planned> plans = plans(member.run);
            return plans.size() == shape.pools.size() && plans.values().stream().allMatch(by);
        });
    }

    /** The greatest number of a plan that any process has said; 0 for none. */
    long newest() {
        return seen.stream()
                .filter(one -> one.event() instanceof AccordEvent.Planned)
                .mapToLong(one -> ((AccordEvent.Planned) one.event()).number())
                .max()
                .orElse(0);
    }

    /** Whether all run, have sessions, and go by the newest plan, made by who holds the planner's part now. */
    boolean isWell(String planner) {
        return isWell(planner, members);
    }

    /** The same of those that are there. */
    boolean isWell(String planner, List<Member> some) {
        Member holder = holder(planner);
        return holder != null
                && leader() != null
                && some.stream().allMatch(this::isConnected)
                && go(
                        some,
                        plan -> plan.number() == newest()
                                && plan.fence() == holds(holder, planner).fence());
    }

    /** Clients of the fleet: each customer's requests go to three of the nodes, those that are in. */
    Load.Nodes front() {
        return new Load.Nodes() {
            @Override
            public InetSocketAddress pick(int customer, SplittableRandom random) {
                int spread = Math.min(FleetFront.SPREAD, members.size()), start = random.nextInt(spread);
                for (int i = 0; i < spread; i++) {
                    Member member = members.get((customer + (start + i) % spread) % members.size());
                    if (member.in) {
                        return member.address;
                    }
                }
                return members.stream().filter(member -> member.in).findFirst().orElse(members.get(0)).address;
            }

            @Override
            public String set(int customer) {
                return "spread=" + Math.min(FleetFront.SPREAD, members.size()) + ",first=" + customer % members.size();
            }

            @Override
            public boolean killed(InetSocketAddress node, long from, long until) {
                return members.stream().anyMatch(member -> member.address.equals(node) && member.wasAway(from, until));
            }
        };
    }

    /** Clients of one process, whose requests go nowhere else. */
    Load.Nodes front(Member member) {
        return new Load.Nodes() {
            @Override
            public InetSocketAddress pick(int customer, SplittableRandom random) {
                return member.address;
            }

            @Override
            public String set(int customer) {
                return "spread=1,first=" + member.number;
            }

            @Override
            public boolean killed(InetSocketAddress node, long from, long until) {
                return member.wasAway(from, until);
            }
        };
    }

    private static void delete(Path folder) throws IOException {
        if (Files.exists(folder)) {
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        }
    }

    private static void tree(Path from, Path to) throws IOException {
        try (Stream<Path> files = Files.walk(from)) {
            for (Path file : files.toList()) {
                Files.copy(file, to.resolve(from.relativize(file).toString()));
            }
        }
    }

    @Override
    public void close() {
        for (Member member : members) {
            if (member.process != null) {
                member.process.close();
            }
        }
        links.close();
        for (Member member : members) {
            if (member.listen != null) {
                member.listen.close();
            }
        }
        threads.shutdownNow();
    }
}
