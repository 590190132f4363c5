package rushpin.node;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import rushpin.accord.Plan;
import rushpin.config.GroupConfig;
import rushpin.config.PoolConfig;
import rushpin.console.ProcessMetrics;
import rushpin.console.ProcessRegistry;
import rushpin.gateway.Gateway;
import rushpin.gateway.Ports;
import rushpin.gateway.Ports.ListKind;
import rushpin.gateway.Ports.Outcome;
import rushpin.gateway.Ports.RequestClass;
import rushpin.gateway.Ports.Result;
import rushpin.gateway.Ports.Server;
import rushpin.gateway.Ports.Settings;
import rushpin.lifecycle.Stalls;
import rushpin.membership.DisabledServers;
import rushpin.membership.Member;
import rushpin.membership.Names;
import rushpin.membership.ServerListUpdate;
import rushpin.membership.StartTimes;
import rushpin.net.CounterClient;
import rushpin.net.DiscoveryClient;
import rushpin.net.LoopWatch;
import rushpin.net.OpenRequest;
import rushpin.net.BodyStream;
import rushpin.net.ReadBarrier;
import rushpin.net.RequestReader;
import rushpin.net.ServerPool;
import rushpin.net.Service;
import rushpin.net.ErrorLog;
import rushpin.net.xds.LastGood;
import rushpin.net.xds.XdsSource;
import rushpin.quota.UseRecord;
import rushpin.traffic.Entry;

/**
 * One service: its module, its requests, its servers and its counter names. It carries what happens on the sockets to
 * the module and the module's actions back. All of it runs on one event loop thread, so nothing here is locked and
 * the module's contract of one caller holds.
 */
final class Pool implements Ports.Actions, Service, ServerPool.Listener, DiscoveryClient.Listener {
    private static final long MS = 1_000_000L;
    /** So long before the client's deadline a request that the module has left unanswered is failed. */
    private static final long LAST_MOMENT = 6 * MS;
    /** How often the state folder is looked through for what ended processes have left, and the machine's clock is read. */
    private static final long ADOPT = 1_000 * MS;
    /** How often what other processes of this node wrote down is read: a server taken out there binds here in 1 s. */
    private static final long DESK = 200 * MS;
    /** A pause of the process that is told to operators. */
    private static final long STALL = 700 * MS;
    /** A client's leaving binds 100 ms after it: what has lain unread for nearly so long is read before anything is written. */
    private static final long LONGEST_UNREAD = 80 * MS;
    /** A pause between reading the clock and writing, which nobody sees, is allowed for in a drain's grace. */
    private static final long UNSEEN_PAUSE = 150 * MS;
    /** How often a request that came before the first list is looked at again; discovery's patience bounds it. */
    private static final long HELD = 5 * MS;

    private final EventLoop loop;
    private final Clock clock;
    private final PoolConfig plan;
    private final Budgets budgets;
    /** Where lists go first, if other pools have a word in them; their answer comes by {@link #apply}. */
    private final DiscoveryClient.Listener claims;

    private final Map<String, OpenRequest> open = new HashMap<>();
    private final ServerPool servers;
    private final CounterClient counter;
    private final DiscoveryClient discovery;
    private Gateway gateway;
    /** What operators' calls go to, and who is out by them; null for none. */
    private OperatorState desk;

    private DisabledServers withheld;
    private final List<ProcessRegistry.QuotaTransfer> gifts = new ArrayList<>();
    private int processes = 1;
    /** As they are now: classes that are dropped stand behind the others until their last clients are gone. */
    private Names names;

    private Settings settings;
    private final Map<String, Long> leaving = new HashMap<>();
    private int retunes;
    private long deskDue;
    private boolean deskTrouble;
    /** In place of discovery; null for none. */
    private XdsSource xds;

    private double dropped, dropDebt;
    private int mostOpen;
    /** Long pauses of this process. */
    private final Stalls stalls;

    private final ReadBarrier barrier;
    private final StartTimes starts = new StartTimes();
    private Runnable ended;
    private long ahead, clockDue;
    private boolean inside, closed;
    /** Where use is kept over a hard kill, and calls to the counter that are out, by name in their order; else null. */
    private UseStore use;

    private Future<?> adoption;
    private Tellings tellings;
    /** Follows requests for the records; null for none. */
    private Tap tap;
    /** Counts what is seen of zones; null where there is no fleet. */
    private Witness witness;
    /** What the fleet says, null for nothing yet; whether the local rule is in its place; the last look at it. */
    private Standing standing;

    private boolean local;
    private int looks;
    /** In which the list has had servers, by index. */
    private final BitSet zones = new BitSet();

    /**
     * Opens nothing yet.
     *
     * @param clients the loop that reads the clients' connections, which may be the pool's own
     * @param claims null where the list is nobody else's concern
     */
    Pool(
            PoolConfig plan,
            EventLoop loop,
            EventLoop clients,
            Clock clock,
            Budgets budgets,
            DiscoveryClient.Listener claims) {
        this.plan = plan;
        this.loop = loop;
        this.clock = clock;
        this.budgets = budgets;
        this.claims = claims;
        names = plan.upstream().names();
        settings = plan.settings();
        stalls = new Stalls(STALL, clock.now());
        barrier = barrier(
                LoopWatch.of(loop), LoopWatch.of(clients), settings.rules().drainGrace());
        servers = new ServerPool(this, loop, plan.upstream(), budgets);
        counter = new CounterClient(this::counted, loop, plan.upstream());
        discovery = plan.upstream().discovery() == null ? null : new DiscoveryClient(this, loop, plan.upstream());
    }

    /** A drain's news may lie unread for a part of its grace; behind slow passes of the loop, for nearly all of it. */
    private static ReadBarrier barrier(LoopWatch own, LoopWatch clients, long drainGrace) {
        long most = Math.max(drainGrace - UNSEEN_PAUSE, drainGrace / 4);
        return new ReadBarrier(own, clients, Math.min(LONGEST_UNREAD, most), most);
    }

    /** Reports to a desk, and keeps to what operators say there; before the start. */
    void serveDesk(OperatorState with) {
        desk = with;
        withheld = new DisabledServers();
        names().classes().forEach(name -> desk.counts().of(figure(name)));
    }

    /** Has its requests followed for the records; before the start. */
    void record(Tap with) {
        tap = with;
    }

    /** Has what is open at its servers kept to the permits for a group of them; before the start. */
    GroupSide keepTo(GroupConfig group, Consumer<GroupSide.Account> accounts) {
        return new GroupSide(group, names.plans(), servers, loop, accounts);
    }

    /** Has what it sees of zones counted; before the start. */
    void witness(Witness with) {
        witness = with;
        witness.begin(loop, server -> gateway != null && gateway.isServerHeldOut(server));
    }

    /** What a class is called in the figures: where there are several pools, behind its pool. */
    private String figure(String className) {
        return plan.name().isEmpty() ? className : plan.name() + "." + className;
    }

    private ProcessMetrics.ClassMetrics counts(OpenRequest of) {
        return desk.counts().of(figure(of.className()));
    }

    /** A request has ended, as one that is counted so. */
    private void ended(OpenRequest of, Consumer<ProcessMetrics.ClassMetrics> as) {
        if (desk != null) {
            desk.counts().open(-1);
            as.accept(counts(of));
        }
    }

    /** The way of a request's one answer, which is counted; null if it was given. */
    private OpenRequest.Responder answer(OpenRequest of, Consumer<ProcessMetrics.ClassMetrics> as) {
        OpenRequest.Responder answers = of.answerOnce();
        if (answers != null) {
            ended(of, as);
        }
        return answers;
    }

    /** Takes a server out, or puts it back; false if none of that id was ever listed. Nothing changes if it throws. */
    boolean withhold(String id, boolean out) throws IOException {
        if (!withheld.knows(id)) {
            return false;
        }
        desk.out().set(id, out);
        followOut();
        return true;
    }

    /** The same from any thread. */
    CompletableFuture<Boolean> withholdLater(String id, boolean out) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                done.complete(withhold(id, out));
            } catch (IOException e) {
                done.completeExceptionally(e);
            }
        });
        return done;
    }

    /** What other processes of this node have written down, and how many there are; a trouble is told once. */
    private void followDesk() {
        try {
            followOut();
            int now = 1 + desk.beside().others();
            if (now != processes) {
                log(now == 1 ? "alone again" : now + " processes act as this node");
                if (now > processes) {
                    // One that begins has nothing under any ceiling: it is given its part of what is here.
                    give(1 - processes / (double) now);
                }
                processes = now;
                event(null, at -> gateway.processes(at, now));
            }
            for (ProcessRegistry.QuotaTransfer gift : desk.beside().take(plan.name(), clock.wallMs())) {
                event(null, at -> gateway.acquireCeiling(at, gift.customer(), gift.plan(), gift.setSize(), gift.units()));
            }
            deskTrouble = false;
        } catch (IOException e) {
            if (!deskTrouble) {
                ErrorLog.report("the folder that this node's processes share", e);
            }
            deskTrouble = true;
        }
        if (ended == null) {
            // One that is being replaced reports no more: its name is the next one's.
            desk.counts().servers(plan.name(), withheld.listed(), withheld.out() + gateway.ejected());
        }
    }

    private void followOut() throws IOException {
        ServerListUpdate changes = withheld.set(desk.out().read());
        if (!changes.members().isEmpty()) {
            changes.members()
                    .forEach(m -> log((m.isReady() ? "put back by hand: " : "taken out by hand: ")
                            + m.server().id()));
            tell(changes, ListKind.DELTA);
        }
    }

    /** Gives a part of what ceilings hold here to the other processes of this node. */
    private void give(double part) throws IOException {
        gifts.clear();
        event(null, at -> gateway.releaseCeiling(at, part));
        desk.beside().give(plan.name(), gifts);
    }

    /** The process ends: what it holds is another's, if there is one. */
    void leave() {
        try {
            if (desk != null && desk.beside().others() > 0) {
                give(1);
            }
        } catch (IOException e) {
            ErrorLog.report("what was given to another process", e);
        }
    }

    @Override
    public void ceilingReleased(long customer, int plan, int setSize, double units) {
        gifts.add(new ProcessRegistry.QuotaTransfer(customer, plan, setSize, units));
    }

    /** Begins with the list as last known; called on the loop. */
    void start(ServerListUpdate known) {
        start(known, null, "");
    }

    /** As {@link #start(ServerListUpdate)}, with use kept in a state folder; null for none. */
    void start(ServerListUpdate known, Path state, String node) {
        gateway = new Gateway(plan.settings(), plan.seed(), now(), this);
        UseStore.Opened opened =
                state == null ? null : UseStore.open(state, node, plan.name(), clock.wallMs(), this::log);
        if (opened != null) {
            use = opened.store();
            tellings = new Tellings(use.book());
            restore(opened.untold());
            adoption = loop.scheduleAtFixedRate(
                    () -> restore(use.adopt(clock.wallMs())), ADOPT, ADOPT, TimeUnit.NANOSECONDS);
        }
        if (plan.xds() != null) {
            startXds(known, state);
            return;
        }
        if (desk != null) {
            followDesk();
        }
        apply(known, ListKind.CACHED);
        if (discovery != null) {
            discovery.start(plan.known().revision());
        }
    }

    private void startXds(ServerListUpdate known, Path state) {
        List<Member> members = known.members();
        List<Member> kept = state == null ? List.of() : new LastGood(state, plan.name(), names()).read(this::log);
        members = kept.isEmpty() ? members : kept;
        xds = new XdsSource(plan.xds(), plan.name(), names(), members, state, plan.seed(), loop, this, clock::wallMs);
        // The first of all lists goes the way of all others: another pool may have a word in it.
        list(new ServerListUpdate(0, true, members), ListKind.CACHED);
        xds.start(!members.isEmpty());
    }

    @Override
    public void bounds(long connectTimeout, int mostConnections, int mostRequests) {
        servers.bounds(connectTimeout == 0 ? plan.upstream().connectTimeout() : connectTimeout, mostConnections);
        mostOpen = mostRequests;
    }

    @Override
    public void dropped(double part) {
        dropped = part;
    }

    /** Turns away the part that the cluster says, evenly: the same history gives the same answers. */
    private boolean drops() {
        dropDebt += dropped;
        boolean drop = dropDebt >= 1;
        dropDebt -= drop ? 1 : 0;
        return drop;
    }

    private void restore(List<UseRecord.Balance> untold) {
        untold.forEach(b ->
                event(null, now -> gateway.restore(now, b.customer(), b.plan() & 0xff, b.plan() >> 8, b.units())));
    }

    /** A plan of the fleet is in force, or is stale: taken as a whole, and never given up for an older one. */
    void agree(Standing now) {
        if (closed || standing != null && standing.plan().isNewerThan(now.plan())) {
            return;
        }
        boolean newer = standing == null || now.plan().isNewerThan(standing.plan());
        standing = now;
        goBy();
        if (newer) {
            Plan taken = now.plan();
            System.out.println("fleet plan pool=" + plan.name() + " number=" + taken.number() + " fence="
                    + taken.fence() + " at=" + System.nanoTime());
        }
    }

    /** Tells the module the ways in force; while the plan is stale they change by themselves, with each lease. */
    private void goBy() {
        long now = System.nanoTime();
        int[][] parts = standing.parts(
                now,
                plan.name(),
                names,
                zones,
                zone -> gateway.isZoneFailing(names.zones().indexOf(zone)));
        int[][] spare = standing.spare(now, plan.name(), names, zones);
        event(null, at -> gateway.zones(at, parts, spare));
        if (local != standing.isLocal(now)) {
            local = !local;
            System.out.println("fleet rule pool=" + plan.name() + " rule=" + (local ? "local" : "plan") + " at=" + now);
        }
        int mine = ++looks;
        if (standing.stale()) {
            loop.schedule(
                    () -> {
                        if (mine == looks && !closed) {
                            goBy();
                        }
                    },
                    standing.next(now),
                    TimeUnit.NANOSECONDS);
        }
    }

    /** Goes over to other addresses; requests, attempts, the module and its list stay as they are. */
    void move(PoolConfig changed) {
        if (discovery != null) {
            discovery.move(changed.upstream().discovery());
        }
        if (changed.upstream().counter() != null) {
            counter.move(changed.upstream().counter());
        }
    }

    /**
     * Takes classes and limits of other settings; what is open keeps its rules. A class that is dropped is served by
     * its old ones for as long as a client that has begun a request in it may come again.
     */
    void retune(Names changed, Settings to) {
        if (!changed.plans().equals(names.plans()) || !to.plans().equals(settings.plans())) {
            log("changed plans are for the next start; classes and limits are taken now");
        }
        List<String> classes = new ArrayList<>(changed.classes());
        List<RequestClass> specs = new ArrayList<>(to.classes());
        leaving.keySet().removeAll(classes);
        long now = now(), last = now;
        for (int i = 0; i < names.classes().size(); i++) {
            String name = names.classes().get(i);
            if (classes.contains(name)) {
                continue;
            }
            // From the reload that dropped it: later ones must not keep it for longer.
            long until = leaving.computeIfAbsent(
                    name,
                    n -> now
                            + settings.classes().get(names.classes().indexOf(n)).deadline());
            if (until > now) {
                classes.add(name);
                specs.add(settings.classes().get(i));
                last = Math.max(last, until);
            }
        }
        take(classes, specs, to);
        leaving.keySet().retainAll(classes);
        int mine = ++retunes;
        if (last > now) {
            loop.schedule(
                    () -> {
                        if (mine == retunes) {
                            retune(changed, to);
                        }
                    },
                    last - now,
                    TimeUnit.NANOSECONDS);
        }
    }

    private void take(List<String> classes, List<RequestClass> specs, Settings to) {
        if (classes.equals(names.classes())
                && specs.equals(settings.classes())
                && to.limits().equals(settings.limits())) {
            return;
        }
        int[] was = classes.stream().mapToInt(names.classes()::indexOf).toArray();
        names = new Names(List.copyOf(classes), names.plans(), names.zones(), names.kinds());
        settings = new Settings(
                settings.me(),
                settings.siblings(),
                settings.zone(),
                settings.tick(),
                settings.sizesAreWeights(),
                settings.reports(),
                List.copyOf(specs),
                settings.plans(),
                to.limits(),
                settings.counter(),
                settings.rules());
        if (desk != null) {
            classes.forEach(name -> desk.counts().of(figure(name)));
        }
        if (witness != null) {
            witness.classes(classes, specs);
        }
        log("classes are now " + String.join(", ", classes) + "; attempts at most "
                + to.limits().maxAttempts());
        Settings now = settings;
        event(null, at -> gateway.settings(at, now, was));
        if (standing != null) {
            goBy();
        }
    }

    /**
     * Ends the pool once what it has taken is answered and no attempt is out any more. Until then it goes on hearing
     * of drains: an attempt that is repeated keeps the rules to its end.
     */
    void retire(Runnable then) {
        ended = then;
        if (witness != null) {
            witness.retire();
        }
        endIfDone();
    }

    /** The process ends: nothing more is heard of servers. */
    void close() {
        if (xds != null) {
            xds.end();
        }
    }

    private void endIfDone() {
        if (ended != null && !closed && open.isEmpty()) {
            closed = true;
            if (discovery != null) {
                discovery.close();
            }
            if (xds != null) {
                xds.close();
            }
            counter.close();
            servers.close();
            budgets.close();
            if (witness != null) {
                witness.end();
            }
            if (use != null) {
                adoption.cancel(false);
                use.close();
            }
            ended.run();
        }
    }

    @Override
    public String name() {
        return plan.name();
    }

    PoolConfig plan() {
        return plan;
    }

    /** Connections that were lent are wanted back. */
    void shrink() {
        servers.shrink();
    }

    /** Whether the list has been heard, or has been silent for so long that the known one must do. */
    boolean ready() {
        return xds != null ? xds.heard() : discovery == null || discovery.heard();
    }

    /** The time, and a sign of life: the module's own tick comes each 10 ms. */
    private long now() {
        long now = clock.now();
        long stall = stalls.beat(now);
        if (stall > 0) {
            log("stood still for " + stall / MS + " ms: what came meanwhile is read before anything is sent");
        }
        return now;
    }

    @Override
    public EventLoop loop() {
        return loop;
    }

    @Override
    public Names names() {
        return names;
    }

    @Override
    public Settings settings() {
        return settings;
    }

    /**
     * Runs one event of the module. Sockets may report within an action, that is within an event, and the
     * module must not be entered twice: such a report waits for the loop.
     */
    private void event(OpenRequest about, LongConsumer call) {
        if (inside) {
            loop.execute(() -> event(about, call));
            return;
        }
        if (closed) {
            return;
        }
        inside = true;
        try {
            call.accept(now());
        } catch (RuntimeException e) {
            // One request's trouble must not end the process, nor leave that request without an answer.
            ErrorLog.report("the module failed", e);
            if (about != null) {
                fail(about);
                // The module must not go on counting it; an attempt that is out still ends.
                loop.execute(() -> event(
                        null, now -> gateway.clientGone(now, about.request().id())));
            }
        } finally {
            inside = false;
        }
    }

    @Override
    public void list(ServerListUpdate roll, ListKind kind) {
        if (claims == null) {
            apply(roll, kind);
        } else {
            claims.list(roll, kind);
        }
    }

    /** The list, or changes to it, as this pool is to have them. */
    void apply(ServerListUpdate roll, ListKind kind) {
        if (!closed) {
            followClock();
            ServerListUpdate carried = starts.carry(roll, kind != ListKind.DELTA, clock.now(), ahead);
            tell(withheld == null ? carried : withheld.follow(carried, kind != ListKind.DELTA), kind);
        }
    }

    private void tell(ServerListUpdate roll, ListKind kind) {
        List<Server> told = servers.update(roll, kind != ListKind.DELTA);
        event(null, now -> gateway.list(now, kind, told));
        if (witness != null) {
            witness.listed(told, kind != ListKind.DELTA);
            int known = zones.cardinality();
            told.stream().mapToInt(Server::zone).filter(zone -> zone >= 0).forEach(zones::set);
            if (standing != null && zones.cardinality() > known) {
                goBy();
            }
        }
    }

    /** The machines' clock may be set while the node runs. */
    private void followClock() {
        long by = clock.ahead();
        if (Math.abs(by - ahead) >= 100 * MS) {
            log("the machine's clock was set by " + (by - ahead) / MS + " ms");
            ahead = by;
            event(null, now -> gateway.clock(now, by));
        }
    }

    @Override
    public void take(OpenRequest taken) {
        if (desk != null) {
            desk.counts().open(1);
        }
        if (witness != null) {
            witness.entered(taken.className());
        }
        if (closed
                || left(taken) <= 0
                || mostOpen > 0 && open.size() >= mostOpen
                || dropped > 0 && drops()
                || !budgets.take(taken)) {
            // Nothing was sent for it, and its time is over, or its pool is full or has just gone: to come again is
            // harmless.
            answer(taken, ProcessMetrics.ClassMetrics::refused).refused(Budgets.COME_BACK);
            if (tap != null) {
                tap.turnedAway(taken, names.plans(), now());
            }
            taken.settle();
            return;
        }
        if (open.putIfAbsent(taken.request().id(), taken) != null) {
            budgets.give(taken);
            answer(taken, uncounted -> {}).duplicate();
            taken.settle();
            return;
        }
        if (tap != null) {
            tap.began(taken, now());
        }
        long left = lastMoment(taken) - now();
        // The backstop for a module that is late: no request may be left without an answer.
        taken.setTimeoutTask(loop.schedule(() -> overdue(taken), Math.max(0, left), TimeUnit.NANOSECONDS));
        enter(taken);
    }

    /** What the agent holds counts as told from the first moment: nothing is decided by the saved list before it spoke. */
    private void enter(OpenRequest taken) {
        if (discovery == null || discovery.heard()) {
            event(taken, now -> gateway.request(now, taken.request()));
        } else if (!taken.isAnswered()) {
            loop.schedule(() -> enter(taken), HELD, TimeUnit.NANOSECONDS);
        }
    }

    private static long lastMoment(OpenRequest of) {
        return of.deadlineNanos() + RequestReader.ANSWER_MARGIN - LAST_MOMENT;
    }

    private void overdue(OpenRequest late) {
        if (!late.isAnswered()) {
            fail(late);
            event(null, now -> gateway.clientGone(now, late.request().id()));
        }
    }

    @Override
    public void clientGone(OpenRequest gone) {
        if (answer(gone, uncounted -> {}) != null) {
            note(gone, Entry.End.GONE);
            settle(gone);
            event(gone, now -> gateway.clientGone(now, gone.request().id()));
        }
    }

    @Override
    public void attemptEnded(OpenRequest of, Outcome outcome, long took, String server, double units, ByteBuf body) {
        of.endAttempt();
        noteAttempt(of, outcome, took, server, units);
        int attempt = of.attempts() - 1;
        // After a stall answers are read before the backstop has its turn: what comes too late was not served.
        if (outcome == Outcome.OK && now() > lastMoment(of)) {
            fail(of);
        } else if (outcome == Outcome.OK) {
            OpenRequest.Responder answers = answer(of, ProcessMetrics.ClassMetrics::served);
            if (answers != null) {
                note(of, Entry.End.SERVED);
                answers.served(body);
            }
        }
        boolean complete = of.isAnswered();
        event(
                of,
                now -> gateway.attemptEnded(
                        now,
                        new Result(of.request().id(), outcome, took, server, complete, attempt, units, List.of())));
        settle(of);
    }

    @Override
    public void bodyReceived(OpenRequest of, long age) {
        of.bodyReceived(now(), age);
        if (!of.isAnswered()) {
            of.setTimeoutTask(loop.schedule(() -> overdue(of), Math.max(0, lastMoment(of) - now()), TimeUnit.NANOSECONDS));
        }
    }

    @Override
    public long left(OpenRequest of) {
        return of.deadlineNanos() - now();
    }

    @Override
    public void bodyGone(OpenRequest of) {
        event(null, now -> gateway.bodyGone(now, of.request().id()));
    }

    /** To the module the attempt is over: the app server has done its work, and no further one may go out. */
    @Override
    public void answerBegins(OpenRequest of, long took, String server, double units, BodyStream passage, long length) {
        of.endAttempt();
        noteAttempt(of, Outcome.OK, took, server, units);
        int attempt = of.attempts() - 1;
        if (now() > lastMoment(of)) {
            fail(of);
        }
        OpenRequest.Responder answers = of.answerOnce();
        if (answers == null) {
            passage.stop();
        } else {
            note(of, Entry.End.SERVED);
            answers.streamed(
                    passage,
                    length,
                    whole -> ended(
                            of, whole ? ProcessMetrics.ClassMetrics::served : ProcessMetrics.ClassMetrics::failed));
        }
        event(
                of,
                now -> gateway.attemptEnded(
                        now, new Result(of.request().id(), Outcome.OK, took, server, true, attempt, units, List.of())));
        settle(of);
    }

    @Override
    public void attemptWritten(OpenRequest of) {
        if (desk != null) {
            counts(of).tried();
        }
    }

    private void counted(long name, Outcome outcome, double total) {
        if (use != null) {
            tellings.ended(name, outcome, clock.wallMs());
        }
        event(null, now -> gateway.counted(now, name, outcome, total));
    }

    private void note(OpenRequest of, Entry.End end) {
        if (tap != null) {
            tap.answered(of, end, now());
        }
    }

    private void noteAttempt(OpenRequest of, Outcome outcome, long took, String server, double units) {
        if (witness != null) {
            witness.ended(of.className(), server, outcome, took);
        }
        if (tap != null) {
            tap.attemptEnded(of, outcome, units, now());
        }
    }

    /** Forgets a request once it is answered and no attempt of it is out. */
    private void settle(OpenRequest of) {
        if (of.isAnswered() && !of.isAttemptInFlight() && open.remove(of.request().id(), of)) {
            if (tap != null) {
                tap.settled(of, names.plans());
            }
            budgets.give(of);
            of.settle();
            endIfDone();
        }
    }

    @Override
    public void send(String id, String server, long patience) {
        send(id, server, patience, Long.MAX_VALUE);
    }

    @Override
    public void send(String id, String server, long patience, long startWithin) {
        OpenRequest of = open.get(id);
        if (of == null || of.isAnswered() || of.isAttemptInFlight()) {
            // It may not go out, but the module counts it as out until it hears how it ended.
            Result moot = new Result(id, Outcome.NOT_SENT, 0, server, of == null || of.isAnswered(), 0, 0, List.of());
            loop.execute(() -> event(null, now -> gateway.attemptEnded(now, moot)));
            return;
        }
        of.beginAttempt();
        if (tap != null) {
            tap.sent(of, server, now());
        }
        long decidedAt = System.nanoTime();
        // The list and the clients decide whether anything may still be sent.
        barrier.runAfterRead(
                () -> of.isAnswered() || System.nanoTime() - decidedAt >= Math.min(patience, startWithin),
                () -> sendOnceRead(of, server, patience, startWithin, decidedAt));
    }

    private void sendOnceRead(OpenRequest of, String server, long patience, long startWithin, long decidedAt) {
        long waited = System.nanoTime() - decidedAt;
        long left = startWithin == Long.MAX_VALUE ? Long.MAX_VALUE : startWithin - waited;
        if (of.isAnswered() || patience <= waited || left <= 0) {
            loop.execute(() -> attemptEnded(of, Outcome.NOT_SENT, 0, server, 0, null));
        } else {
            servers.send(of, server, patience - waited, left);
        }
    }

    @Override
    public boolean mustRead() {
        return barrier.isClosed();
    }

    @Override
    public void whenRead(BooleanSupplier isOver, Runnable task) {
        barrier.runAfterRead(isOver, task);
    }

    @Override
    public void refuse(String id, long retryAfter) {
        OpenRequest of = open.get(id);
        OpenRequest.Responder answers = of == null ? null : answer(of, ProcessMetrics.ClassMetrics::refused);
        if (answers != null) {
            note(of, Entry.End.REFUSED);
            answers.refused(retryAfter);
            settle(of);
        }
    }

    @Override
    public void fail(String id) {
        OpenRequest of = open.get(id);
        if (of != null) {
            fail(of);
        }
    }

    private void fail(OpenRequest of) {
        OpenRequest.Responder answers = answer(of, ProcessMetrics.ClassMetrics::failed);
        if (answers != null) {
            note(of, Entry.End.FAILED);
            answers.failed();
            settle(of);
        }
    }

    @Override
    public void probe(String server) {
        // The site does not allow it, and the module asks only where the settings do.
    }

    @Override
    public void count(long customer, long name, double amount, long lifetime) {
        if (use != null) {
            tellings.begins(customer, name, amount, clock.wallMs());
        }
        counter.count(name, amount, lifetime);
    }

    /** Written down when the module takes it, which is before the request is sent. */
    @Override
    public void useChanged(long customer, int plan, int setSize, double units) {
        if (use != null && units != 0) {
            use.book().useChanged(customer, plan & 0xff | (setSize & 0xff) << 8, units, clock.wallMs());
        }
    }

    @Override
    public void timer(long token, long span) {
        if (!closed) {
            loop.schedule(() -> tick(token), span, TimeUnit.NANOSECONDS);
        }
    }

    private void tick(long token) {
        if (now() >= clockDue) {
            clockDue = now() + ADOPT;
            followClock();
        }
        if (desk != null && now() >= deskDue) {
            deskDue = now() + DESK;
            followDesk();
        }
        event(null, now -> gateway.timer(now, token));
    }

    @Override
    public void watchList() {
        // Discovery is watched from the start and again whenever a watch ends.
    }

    @Override
    public void log(String text) {
        System.out.println(plan.name().isEmpty() ? text : plan.name() + ": " + text);
    }
}
