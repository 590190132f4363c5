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
import rushpin.console.RequestIdTable;
import rushpin.gateway.Gateway;
import rushpin.gateway.Ports;
import rushpin.gateway.Ports.ListKind;
import rushpin.gateway.Ports.Outcome;
import rushpin.gateway.Ports.RequestClass;
import rushpin.gateway.Ports.Result;
import rushpin.gateway.Ports.Server;
import rushpin.gateway.Ports.Settings;
import rushpin.lifecycle.StallDetector;
import rushpin.membership.DisabledServers;
import rushpin.membership.Member;
import rushpin.membership.Names;
import rushpin.membership.ServerListUpdate;
import rushpin.membership.StartTimes;
import rushpin.net.BodyStream;
import rushpin.net.CounterClient;
import rushpin.net.DiscoveryClient;
import rushpin.net.ErrorLog;
import rushpin.net.LoopWatch;
import rushpin.net.OpenRequest;
import rushpin.net.ReadBarrier;
import rushpin.net.RequestReader;
import rushpin.net.ServerPool;
import rushpin.net.Service;
import rushpin.net.xds.ServerListCache;
import rushpin.net.xds.XdsSource;
import rushpin.quota.UseRecord;
import rushpin.traffic.Entry;

/**
 * One pool: its decision module ({@link Gateway}), open requests, server connections and counter names.
 *
 * <p>It passes socket events to the module and carries out the module's actions. Everything runs on one event loop
 * thread, so nothing is locked and the module has a single caller, as its contract requires.
 */
final class Pool implements Ports.Actions, Service, ServerPool.Listener, DiscoveryClient.Listener {
    private static final long NANOS_PER_MS = 1_000_000L;
    /** How long before the client's deadline a request that the module has not answered is failed. */
    private static final long ANSWER_RESERVE_NANOS = 6 * NANOS_PER_MS;
    /** How much longer than until its deadline a request may be open; after a crash its ID is free by then. */
    private static final long OPEN_ID_MARGIN_NANOS = 2_000 * NANOS_PER_MS;
    /** How often the state folder is scanned for files of ended processes, and the wall clock is read. */
    private static final long ADOPT_INTERVAL_NANOS = 1_000 * NANOS_PER_MS;
    /**
     * How often the state shared with other processes of this node is read: a server disabled there binds here in 1 s.
     */
    private static final long OPERATOR_STATE_INTERVAL_NANOS = 200 * NANOS_PER_MS;
    /** Pauses of the process from this length on are logged. */
    private static final long MIN_STALL_NANOS = 700 * NANOS_PER_MS;
    /**
     * Input that has been unread for longer is read before anything is written: a client that closes its connection
     * must be noticed within 100 ms.
     */
    private static final long MAX_UNREAD_NANOS = 80 * NANOS_PER_MS;
    /** Part of a drain's grace period reserved for an undetected pause between reading the clock and writing. */
    private static final long PAUSE_ALLOWANCE_NANOS = 150 * NANOS_PER_MS;
    /**
     * How often a request that arrived before the first server list is retried; discovery's timeout bounds the wait.
     */
    private static final long FIRST_LIST_POLL_NANOS = 5 * NANOS_PER_MS;

    private final EventLoop loop;
    private final Clock clock;
    private final PoolConfig plan;
    private final Budgets budgets;
    /**
     * Checks server lists against the claims of other pools to addresses and returns the result by {@link #applyList};
     * null where there are no other pools.
     */
    private final DiscoveryClient.Listener claims;

    /** By request ID. */
    private final Map<String, OpenRequest> openRequests = new HashMap<>();

    /** The number of long answers that are being streamed; their requests are no longer among the open ones. */
    private int openAnswerStreams;

    /** IDs that were taken, by this process or another one of this node. */
    private RequestIdTable requestIds = RequestIdTable.local();

    private final ServerPool servers;
    private final CounterClient counter;
    private final DiscoveryClient discovery;
    private Gateway gateway;
    /** State that operators' console calls act on; null without a console. */
    private OperatorState operatorState;

    /** Servers that an operator has disabled; null without a console. */
    private DisabledServers withheld;
    /** Filled by {@link #ceilingReleased} during a hand-over. */
    private final List<ProcessRegistry.QuotaTransfer> transfers = new ArrayList<>();

    private int processCount = 1;
    /** Current names; classes removed by a reload follow the others until their last clients are gone. */
    private Names names;

    private Settings settings;
    /** Removed classes that are still served, with the time until which they are. */
    private final Map<String, Long> droppedClassesUntil = new HashMap<>();
    /** Number of the latest reload; a scheduled one with an older number is obsolete. */
    private int retuneCount;

    private long operatorStateDue;
    private boolean operatorStateFailed;
    /** Replaces discovery if set; null for none. */
    private XdsSource xds;

    /** The part of requests, 0 to 1, that the cluster's drop policy turns away. */
    private double dropFraction;

    private double dropDebt;
    /** 0 for no limit. */
    private int maxOpenRequests;

    private final StallDetector stallDetector;

    private final ReadBarrier readBarrier;
    private final StartTimes starts = new StartTimes();
    /** Called when a retired pool has no request left, only long answers; null until it is retired. */
    private Runnable onDrained;

    /** Called when a retired pool has closed, after its last long answer; null until it is retired. */
    private Runnable onClosed;
    /** How far the wall clock was set ahead of the node's clock when last read, nanoseconds. */
    private long clockAhead;

    private long clockDue;
    /** Whether an event of the module is running. */
    private boolean inEvent;

    /** Whether the module and what it needs are closed; long answers may still be streamed. */
    private boolean closed;
    /** Keeps quota use over a hard kill; null without a state folder. */
    private UseStore useStore;

    private Future<?> adoption;
    /** Counter calls in flight, by counter name in their order; null without a state folder. */
    private Tellings tellings;
    /** Records requests for the traffic records; null for none. */
    private RequestRecorder recorder;
    /** Counts attempt outcomes per zone; null without a fleet. */
    private Witness witness;
    /** The fleet's plan and whether it is stale; null until the first. */
    private Standing standing;

    /** Whether the local rule applies in place of the plan. */
    private boolean usesLocalRule;
    /** Number of the latest routing update; a scheduled one with an older number is obsolete. */
    private int routingUpdates;
    /** Zones in which the server list has had servers, by index. */
    private final BitSet listedZones = new BitSet();

    /**
     * Creates a pool that opens no connection before {@link #start}.
     *
     * @param clients the loop that reads the clients' connections, which may be the pool's own
     * @param claims receives server lists before they apply; null where no other pool can claim an address
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
        stallDetector = new StallDetector(MIN_STALL_NANOS, clock.now());
        readBarrier = newReadBarrier(
                LoopWatch.of(loop), LoopWatch.of(clients), settings.rules().drainGrace());
        servers = new ServerPool(this, loop, plan.upstream(), budgets);
        counter = new CounterClient(this::counted, loop, plan.upstream());
        discovery = plan.upstream().discovery() == null ? null : new DiscoveryClient(this, loop, plan.upstream());
    }

    /**
     * Bounds how long input may stay unread: usually a short time, and nearly the whole of a drain's grace period where
     * the loop's iterations are slow.
     */
    private static ReadBarrier newReadBarrier(LoopWatch own, LoopWatch clients, long drainGrace) {
        long maxUnread = Math.max(drainGrace - PAUSE_ALLOWANCE_NANOS, drainGrace / 4);
        return new ReadBarrier(own, clients, Math.min(MAX_UNREAD_NANOS, maxUnread), maxUnread);
    }

    /** Reports metrics to the given state and follows what operators disable in it; call before the start. */
    void setOperatorState(OperatorState state) {
        operatorState = state;
        requestIds = state.requestIds();
        withheld = new DisabledServers();
        names().classes().forEach(name -> operatorState.counts().of(metricName(name)));
    }

    /** Records requests from now on; call before the start. */
    void setRecorder(RequestRecorder requestRecorder) {
        recorder = requestRecorder;
    }

    /** Limits connections to the grants for a group of servers; call before the start. */
    GroupSide joinGroup(GroupConfig group, Consumer<GroupSide.Account> accounts) {
        return new GroupSide(group, names.plans(), servers, loop, accounts);
    }

    /** Counts attempt outcomes per zone; call before the start. */
    void setWitness(Witness zoneWitness) {
        witness = zoneWitness;
        witness.begin(loop, server -> gateway != null && gateway.isServerHeldOut(server));
    }

    /** Returns the name of a class in metrics, prefixed with the pool's name where there are several pools. */
    private String metricName(String className) {
        return plan.name().isEmpty() ? className : plan.name() + "." + className;
    }

    private ProcessMetrics.ClassMetrics counts(OpenRequest request) {
        return operatorState.counts().of(metricName(request.className()));
    }

    /** Counts the end of a request. */
    private void countEnd(OpenRequest request, Consumer<ProcessMetrics.ClassMetrics> counting) {
        if (operatorState != null) {
            operatorState.counts().open(-1);
            counting.accept(counts(request));
        }
    }

    /** AddressOwners the request's single answer and counts it; returns null if the request was answered before. */
    private OpenRequest.Responder claimAnswer(OpenRequest request, Consumer<ProcessMetrics.ClassMetrics> counting) {
        OpenRequest.Responder answers = request.answerOnce();
        if (answers != null) {
            countEnd(request, counting);
        }
        return answers;
    }

    /**
     * Disables or enables a server; returns false if no server of that ID was ever listed.
     *
     * @throws IOException if it could not be stored; nothing has changed then
     */
    boolean withhold(String id, boolean out) throws IOException {
        if (!withheld.knows(id)) {
            return false;
        }
        operatorState.out().set(id, out);
        applyOutOfService();
        return true;
    }

    /** Like {@link #withhold}, from any thread. */
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

    /** Reads what other processes of this node have stored, and counts them; a failure is reported once. */
    private void pollOperatorState() {
        try {
            applyOutOfService();
            int count = 1 + operatorState.beside().others();
            if (count != processCount) {
                log(count == 1 ? "alone again" : count + " processes act as this node");
                if (count > processCount) {
                    // A new process has no units under any ceiling: it gets its part of the units held here.
                    handOverPart(1 - processCount / (double) count);
                }
                processCount = count;
                runEvent(null, at -> gateway.processes(at, count));
            }
            for (ProcessRegistry.QuotaTransfer transfer : operatorState.beside().take(plan.name(), clock.wallMs())) {
                runEvent(
                        null,
                        at -> gateway.acquireCeiling(
                                at, transfer.customer(), transfer.plan(), transfer.setSize(), transfer.units()));
            }
            operatorStateFailed = false;
        } catch (IOException e) {
            if (!operatorStateFailed) {
                ErrorLog.report("the folder shared by this node's processes cannot be used", e);
            }
            operatorStateFailed = true;
        }
        if (onClosed == null) {
            // A retired pool reports nothing: its successor has the same name.
            operatorState.counts().servers(plan.name(), withheld.listed(), withheld.out() + gateway.ejected());
        }
    }

    private void applyOutOfService() throws IOException {
        ServerListUpdate changes = withheld.set(operatorState.out().read());
        if (!changes.members().isEmpty()) {
            changes.members()
                    .forEach(m -> log((m.isReady() ? "put back by hand: " : "taken out by hand: ")
                            + m.server().id()));
            updateServers(changes, ListKind.DELTA);
        }
    }

    /** Transfers a part, 0 to 1, of the units that ceilings hold here to the other processes of this node. */
    private void handOverPart(double part) throws IOException {
        transfers.clear();
        runEvent(null, at -> gateway.releaseCeiling(at, part));
        operatorState.beside().give(plan.name(), transfers);
    }

    /** Transfers all units held to another process of this node, if there is one; called when this process ends. */
    void handOver() {
        try {
            if (operatorState != null && operatorState.beside().others() > 0) {
                handOverPart(1);
            }
        } catch (IOException e) {
            ErrorLog.report("units could not be handed over to another process", e);
        }
    }

    @Override
    public void ceilingReleased(long customer, int plan, int setSize, double units) {
        transfers.add(new ProcessRegistry.QuotaTransfer(customer, plan, setSize, units));
    }

    /** Starts with the last known server list; call on the loop. */
    void start(ServerListUpdate known) {
        start(known, null, "");
    }

    /** Like {@link #start(ServerListUpdate)}, with quota use stored in a state folder; null for none. */
    void start(ServerListUpdate known, Path state, String node) {
        gateway = new Gateway(plan.settings(), plan.seed(), now(), this);
        UseStore.Opened opened =
                state == null ? null : UseStore.open(state, node, plan.name(), clock.wallMs(), this::log);
        if (opened != null) {
            useStore = opened.store();
            tellings = new Tellings(useStore.book());
            restore(opened.untold());
            adoption = loop.scheduleAtFixedRate(
                    () -> restore(useStore.adopt(clock.wallMs())),
                    ADOPT_INTERVAL_NANOS,
                    ADOPT_INTERVAL_NANOS,
                    TimeUnit.NANOSECONDS);
        }
        if (plan.xds() != null) {
            startXds(known, state);
            return;
        }
        if (operatorState != null) {
            pollOperatorState();
        }
        applyList(known, ListKind.CACHED);
        if (discovery != null) {
            discovery.start(plan.known().revision());
        }
    }

    private void startXds(ServerListUpdate known, Path state) {
        List<Member> members = known.members();
        List<Member> kept =
                state == null ? List.of() : new ServerListCache(state, plan.name(), names()).read(this::log);
        members = kept.isEmpty() ? members : kept;
        xds = new XdsSource(plan.xds(), plan.name(), names(), members, state, plan.seed(), loop, this, clock::wallMs);
        // The first list is checked against other pools' claims like every later one.
        list(new ServerListUpdate(0, true, members), ListKind.CACHED);
        xds.start(!members.isEmpty());
    }

    @Override
    public void setLimits(long connectTimeout, int mostConnections, int mostRequests) {
        servers.setLimits(connectTimeout == 0 ? plan.upstream().connectTimeout() : connectTimeout, mostConnections);
        maxOpenRequests = mostRequests;
    }

    @Override
    public void dropped(double part) {
        dropFraction = part;
    }

    /** Spreads the drops of the cluster's drop policy evenly, without randomness, so that a run can be repeated. */
    private boolean shouldDrop() {
        dropDebt += dropFraction;
        boolean drop = dropDebt >= 1;
        dropDebt -= drop ? 1 : 0;
        return drop;
    }

    private void restore(List<UseRecord.Balance> untold) {
        untold.forEach(b ->
                runEvent(null, now -> gateway.restore(now, b.customer(), b.plan() & 0xff, b.plan() >> 8, b.units())));
    }

    /** Applies a plan of the fleet, or its having become stale; one that is older than the present plan is ignored. */
    void applyStanding(Standing next) {
        if (closed || standing != null && standing.plan().isNewerThan(next.plan())) {
            return;
        }
        boolean newer = standing == null || next.plan().isNewerThan(standing.plan());
        standing = next;
        updateRouting();
        if (newer) {
            Plan taken = next.plan();
            System.out.println("fleet plan pool=" + plan.name() + " number=" + taken.number() + " fence="
                    + taken.fence() + " at=" + System.nanoTime());
        }
    }

    /** Passes the routing between zones to the module, and again after each lease while the plan is stale. */
    private void updateRouting() {
        long now = System.nanoTime();
        int[][] parts = standing.parts(
                now,
                plan.name(),
                names,
                listedZones,
                zone -> gateway.isZoneFailing(names.zones().indexOf(zone)));
        int[][] spare = standing.spare(now, plan.name(), names, listedZones);
        runEvent(null, at -> gateway.zones(at, parts, spare));
        if (usesLocalRule != standing.isLocal(now)) {
            usesLocalRule = !usesLocalRule;
            System.out.println(
                    "fleet rule pool=" + plan.name() + " rule=" + (usesLocalRule ? "local" : "plan") + " at=" + now);
        }
        int update = ++routingUpdates;
        if (standing.stale()) {
            loop.schedule(
                    () -> {
                        if (update == routingUpdates && !closed) {
                            updateRouting();
                        }
                    },
                    standing.next(now),
                    TimeUnit.NANOSECONDS);
        }
    }

    /** Changes the addresses of discovery and counter; requests, attempts, the module and its list stay. */
    void changeAddresses(PoolConfig changed) {
        if (discovery != null) {
            discovery.move(changed.upstream().discovery());
        }
        if (changed.upstream().counter() != null) {
            counter.move(changed.upstream().counter());
        }
    }

    /**
     * Applies classes and limits of new settings; open requests keep their rules. A removed class is still served by
     * its old rules for as long as a client that began a request in it may retry.
     */
    void retune(Names changed, Settings to) {
        if (!changed.plans().equals(names.plans()) || !to.plans().equals(settings.plans())) {
            log("changed plans are for the next start; classes and limits are taken now");
        }
        List<String> classes = new ArrayList<>(changed.classes());
        List<RequestClass> specs = new ArrayList<>(to.classes());
        droppedClassesUntil.keySet().removeAll(classes);
        long now = now();
        long last = now;
        for (int i = 0; i < names.classes().size(); i++) {
            String name = names.classes().get(i);
            if (classes.contains(name)) {
                continue;
            }
            // Counted from the reload that removed the class: later reloads must not extend it.
            long until = droppedClassesUntil.computeIfAbsent(
                    name,
                    n -> now
                            + settings.classes().get(names.classes().indexOf(n)).deadline());
            if (until > now) {
                classes.add(name);
                specs.add(settings.classes().get(i));
                last = Math.max(last, until);
            }
        }
        applyClasses(classes, specs, to);
        droppedClassesUntil.keySet().retainAll(classes);
        int retune = ++retuneCount;
        if (last > now) {
            loop.schedule(
                    () -> {
                        if (retune == retuneCount) {
                            retune(changed, to);
                        }
                    },
                    last - now,
                    TimeUnit.NANOSECONDS);
        }
    }

    private void applyClasses(List<String> classes, List<RequestClass> specs, Settings to) {
        if (classes.equals(names.classes())
                && specs.equals(settings.classes())
                && to.limits().equals(settings.limits())) {
            return;
        }
        int[] oldIndexes = classes.stream().mapToInt(names.classes()::indexOf).toArray();
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
        if (operatorState != null) {
            classes.forEach(name -> operatorState.counts().of(metricName(name)));
        }
        if (witness != null) {
            witness.classes(classes, specs);
        }
        log("classes are now " + String.join(", ", classes) + "; max attempts "
                + to.limits().maxAttempts());
        Settings current = settings;
        runEvent(null, at -> gateway.settings(at, current, oldIndexes));
        if (standing != null) {
            updateRouting();
        }
    }

    /**
     * Closes the pool in two steps: the module, its list and its calls once its requests are answered, or their long
     * answers have begun, and no attempt is in flight; the rest after the last long answer. Until the first step it
     * still follows the server list, because retries must respect drains.
     *
     * @param drained called after the first step
     * @param then called after the second step, when nothing of the pool runs any more
     */
    void retire(Runnable drained, Runnable then) {
        onDrained = drained;
        onClosed = then;
        if (witness != null) {
            witness.retire();
        }
        closeIfDone();
    }

    /** Stops the xDS stream when the process ends. */
    void close() {
        if (xds != null) {
            xds.closeAndAwait();
        }
    }

    private void closeIfDone() {
        if (onClosed != null && !closed && openRequests.isEmpty()) {
            closed = true;
            closeModule();
            onDrained.run();
            closeAfterLastStream();
        }
    }

    private void closeModule() {
        if (discovery != null) {
            discovery.close();
        }
        if (xds != null) {
            xds.close();
        }
        counter.close();
        servers.close();
        if (witness != null) {
            witness.end();
        }
        if (useStore != null) {
            adoption.cancel(false);
            useStore.close();
        }
    }

    private void closeAfterLastStream() {
        if (closed && openAnswerStreams == 0) {
            budgets.close();
            onClosed.run();
        }
    }

    @Override
    public String name() {
        return plan.name();
    }

    PoolConfig plan() {
        return plan;
    }

    /** Closes idle connections, as the budget recalls lent ones. */
    void shrink() {
        servers.shrink();
    }

    /** Returns whether a server list has arrived, or discovery's timeout is over and the known list is used. */
    boolean ready() {
        return xds != null ? xds.isReady() : discovery == null || discovery.isReady();
    }

    /** Returns the time, and detects stalls: the module's own timer calls this every 10 ms. */
    private long now() {
        long now = clock.now();
        long stall = stallDetector.heartbeat(now);
        if (stall > 0) {
            log("stood still for " + stall / NANOS_PER_MS
                    + " ms: input that arrived meanwhile is read before anything is sent");
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
     * Runs one event of the module. A socket may report during an action of an event; because the module is not
     * reentrant, such a report is queued on the loop.
     *
     * @param about the request that is failed if the module throws; null for none
     */
    private void runEvent(OpenRequest about, LongConsumer call) {
        if (inEvent) {
            loop.execute(() -> runEvent(about, call));
            return;
        }
        if (closed) {
            return;
        }
        inEvent = true;
        try {
            call.accept(now());
        } catch (RuntimeException e) {
            // A fault in one event must not end the process, nor leave the request without an answer.
            ErrorLog.report("the decision module threw an exception", e);
            if (about != null) {
                fail(about);
                // Makes the module forget the request; an attempt in flight still ends.
                loop.execute(() -> runEvent(
                        null, now -> gateway.clientGone(now, about.request().id())));
            }
        } finally {
            inEvent = false;
        }
    }

    @Override
    public void list(ServerListUpdate roll, ListKind kind) {
        if (claims == null) {
            applyList(roll, kind);
        } else {
            claims.list(roll, kind);
        }
    }

    /** Applies a server list, or changes to it, after claims were resolved. */
    void applyList(ServerListUpdate roll, ListKind kind) {
        if (!closed) {
            pollClock();
            ServerListUpdate carried = starts.carry(roll, kind != ListKind.DELTA, clock.now(), clockAhead);
            updateServers(withheld == null ? carried : withheld.follow(carried, kind != ListKind.DELTA), kind);
        }
    }

    private void updateServers(ServerListUpdate roll, ListKind kind) {
        List<Server> changed = servers.update(roll, kind != ListKind.DELTA);
        runEvent(null, now -> gateway.list(now, kind, changed));
        if (witness != null) {
            witness.listed(changed, kind != ListKind.DELTA);
            int known = listedZones.cardinality();
            changed.stream().mapToInt(Server::zone).filter(zone -> zone >= 0).forEach(listedZones::set);
            if (standing != null && listedZones.cardinality() > known) {
                updateRouting();
            }
        }
    }

    /** Detects that the wall clock was set while the node runs. */
    private void pollClock() {
        long by = clock.ahead();
        if (Math.abs(by - clockAhead) >= 100 * NANOS_PER_MS) {
            log("the machine's clock was set by " + (by - clockAhead) / NANOS_PER_MS + " ms");
            clockAhead = by;
            runEvent(null, now -> gateway.clock(now, by));
        }
    }

    @Override
    public void take(OpenRequest taken) {
        if (operatorState != null) {
            operatorState.counts().open(1);
        }
        if (witness != null) {
            witness.entered(taken.className());
        }
        if (closed
                || remainingNanos(taken) <= 0
                || maxOpenRequests > 0 && openRequests.size() >= maxOpenRequests
                || dropFraction > 0 && shouldDrop()
                || !budgets.tryAcquire(taken)) {
            // Nothing was sent, and the deadline has passed or the pool is full or closed: a retry is harmless.
            claimAnswer(taken, ProcessMetrics.ClassMetrics::refused).refused(Budgets.RETRY_AFTER_NANOS);
            if (recorder != null) {
                recorder.refused(taken, names.plans(), now());
            }
            taken.settle();
            return;
        }
        if (!claimId(taken)) {
            budgets.release(taken);
            claimAnswer(taken, uncounted -> {}).duplicate();
            taken.settle();
            return;
        }
        openRequests.put(taken.request().id(), taken);
        if (recorder != null) {
            recorder.started(taken, now());
        }
        scheduleOverdue(taken);
        admit(taken);
    }

    /** Claims a request's ID for as long as it may be open; false if the ID was taken before. */
    private boolean claimId(OpenRequest taken) {
        long now = System.nanoTime();
        long open = Math.max(0, taken.deadlineNanos() - now()) + OPEN_ID_MARGIN_NANOS;
        return !openRequests.containsKey(taken.request().id()) && requestIds.claim(idKey(taken), now, now + open);
    }

    /** Remembers the ID of a request that may have had an effect, unless that may be repeated; forgets any other. */
    private void releaseId(OpenRequest ended) {
        boolean remember = ended.mayHaveRun() && !ended.isSafe();
        long now = System.nanoTime();
        requestIds.extend(idKey(ended), now, remember ? now + RequestIdTable.RETENTION_NANOS : now);
    }

    private long idKey(OpenRequest request) {
        return RequestIdTable.key(plan.name(), request.request().id());
    }

    /**
     * Passes a request to the module once discovery's first list has arrived: a drain that discovery knows of binds
     * from the start, so nothing is decided by the saved list before.
     */
    private void admit(OpenRequest taken) {
        if (discovery == null || discovery.isReady()) {
            runEvent(taken, now -> gateway.request(now, taken.request()));
        } else if (!taken.isAnswered()) {
            loop.schedule(() -> admit(taken), FIRST_LIST_POLL_NANOS, TimeUnit.NANOSECONDS);
        }
    }

    private static long answerDeadline(OpenRequest request) {
        return request.deadlineNanos() + RequestReader.ANSWER_MARGIN - ANSWER_RESERVE_NANOS;
    }

    /** Answers the request shortly before its deadline if the module has not done so by then. */
    private void scheduleOverdue(OpenRequest request) {
        if (!request.isAnswered()) {
            long left = Math.max(0, answerDeadline(request) - now());
            request.setTimeoutTask(loop.schedule(() -> overdue(request), left, TimeUnit.NANOSECONDS));
        }
    }

    private void overdue(OpenRequest late) {
        if (!late.isAnswered()) {
            if (late.isWhole()) {
                fail(late);
            } else {
                // No app server had the last byte, so none has begun it.
                refuse(late.request().id(), 0);
            }
            late.abortAttempt();
            runEvent(null, now -> gateway.clientGone(now, late.request().id()));
        }
    }

    @Override
    public void clientGone(OpenRequest gone) {
        if (claimAnswer(gone, uncounted -> {}) != null) {
            recordEnd(gone, Entry.End.GONE);
            gone.abortAttempt();
            settle(gone);
            runEvent(gone, now -> gateway.clientGone(now, gone.request().id()));
        }
    }

    @Override
    public void attemptEnded(
            OpenRequest request, Outcome outcome, long took, String server, double units, ByteBuf body) {
        request.endAttempt();
        request.attemptMayHaveRun(!outcome.provesNeverRan());
        recordAttempt(request, outcome, took, server, units);
        int attempt = request.attempts() - 1;
        // After a stall a response may be read before the backstop timer runs; a late one does not count as served.
        if (outcome == Outcome.OK && now() > answerDeadline(request)) {
            fail(request);
        } else if (outcome == Outcome.OK) {
            OpenRequest.Responder answers = claimAnswer(request, ProcessMetrics.ClassMetrics::served);
            if (answers != null) {
                recordEnd(request, Entry.End.SERVED);
                answers.served(body);
            }
        }
        boolean complete = request.isAnswered();
        runEvent(
                request,
                now -> gateway.attemptEnded(
                        now,
                        new Result(
                                request.request().id(), outcome, took, server, complete, attempt, units, List.of())));
        settle(request);
    }

    @Override
    public void bodyReceived(OpenRequest request, long age) {
        request.bodyReceived(now(), age);
        scheduleOverdue(request);
    }

    @Override
    public void limitDeadline(OpenRequest request, long latestNanos) {
        request.limitDeadline(latestNanos);
        scheduleOverdue(request);
    }

    @Override
    public long remainingNanos(OpenRequest request) {
        return request.deadlineNanos() - now();
    }

    @Override
    public boolean wouldRetry(OpenRequest request) {
        return !closed && gateway.wouldRetry(now(), request.request().id());
    }

    @Override
    public void bodyGone(OpenRequest request) {
        runEvent(null, now -> gateway.bodyGone(now, request.request().id()));
    }

    /** Ends the attempt for the module: the app server has processed the request, so it must not be sent again. */
    @Override
    public void answerStarted(
            OpenRequest request, long took, String server, double units, BodyStream passage, long length) {
        request.endAttempt();
        request.attemptMayHaveRun(true);
        recordAttempt(request, Outcome.OK, took, server, units);
        int attempt = request.attempts() - 1;
        if (now() > answerDeadline(request)) {
            fail(request);
        }
        OpenRequest.Responder answers = request.answerOnce();
        if (answers == null) {
            passage.stop();
        } else {
            recordEnd(request, Entry.End.SERVED);
            openAnswerStreams++;
            answers.streamed(passage, length, whole -> answerStreamEnded(request, whole));
        }
        runEvent(
                request,
                now -> gateway.attemptEnded(
                        now,
                        new Result(request.request().id(), Outcome.OK, took, server, true, attempt, units, List.of())));
        settle(request);
    }

    private void answerStreamEnded(OpenRequest request, boolean whole) {
        openAnswerStreams--;
        countEnd(request, whole ? ProcessMetrics.ClassMetrics::served : ProcessMetrics.ClassMetrics::failed);
        closeAfterLastStream();
    }

    @Override
    public void attemptWritten(OpenRequest request) {
        if (operatorState != null) {
            counts(request).tried();
        }
    }

    private void counted(long name, Outcome outcome, double total) {
        if (useStore != null) {
            tellings.ended(name, outcome, clock.wallMs());
        }
        runEvent(null, now -> gateway.counted(now, name, outcome, total));
    }

    private void recordEnd(OpenRequest request, Entry.End end) {
        if (recorder != null) {
            recorder.answered(request, end, now());
        }
    }

    private void recordAttempt(OpenRequest request, Outcome outcome, long took, String server, double units) {
        if (witness != null) {
            witness.ended(request.className(), server, outcome, took);
        }
        if (recorder != null) {
            recorder.attemptEnded(request, outcome, units, now());
        }
    }

    /** Removes a request once it is answered and has no attempt in flight. */
    private void settle(OpenRequest request) {
        if (request.isAnswered()
                && !request.isAttemptInFlight()
                && openRequests.remove(request.request().id(), request)) {
            if (recorder != null) {
                recorder.completed(request, names.plans());
            }
            budgets.release(request);
            releaseId(request);
            request.settle();
            closeIfDone();
        }
    }

    @Override
    public void send(String id, String server, long patience) {
        send(id, server, patience, Long.MAX_VALUE);
    }

    @Override
    public void send(String id, String server, long patience, long startWithin) {
        OpenRequest request = openRequests.get(id);
        if (request == null || request.isAnswered() || request.isAttemptInFlight()) {
            // It is not sent, but the module counts the attempt as in flight until it gets a result.
            Result moot = new Result(
                    id, Outcome.NOT_SENT, 0, server, request == null || request.isAnswered(), 0, 0, List.of());
            loop.execute(() -> runEvent(null, now -> gateway.attemptEnded(now, moot)));
            return;
        }
        request.beginAttempt();
        if (recorder != null) {
            recorder.sent(request, server, now());
        }
        long decidedAt = System.nanoTime();
        // Unread drains and client disconnects decide whether the attempt may still be sent.
        readBarrier.runAfterRead(
                () -> request.isAnswered() || System.nanoTime() - decidedAt >= Math.min(patience, startWithin),
                () -> sendAfterRead(request, server, patience, startWithin, decidedAt));
    }

    private void sendAfterRead(OpenRequest request, String server, long patience, long startWithin, long decidedAt) {
        long waited = System.nanoTime() - decidedAt;
        long left = startWithin == Long.MAX_VALUE ? Long.MAX_VALUE : startWithin - waited;
        boolean unwatched = request.isWhole() && isUnwatched(request);
        if (unwatched) {
            // Its client may have disconnected unseen: no attempt may begin any more.
            runEvent(null, now -> gateway.bodyGone(now, request.request().id()));
        }
        if (request.isAnswered() || patience <= waited || left <= 0 || unwatched) {
            loop.execute(() -> attemptEnded(request, Outcome.NOT_SENT, 0, server, 0, null));
        } else {
            servers.send(request, server, patience - waited, left);
        }
    }

    @Override
    public boolean isUnwatched(OpenRequest request) {
        return request.unwatchedNanos() > MAX_UNREAD_NANOS;
    }

    @Override
    public boolean hasPendingReads() {
        return readBarrier.isClosed();
    }

    @Override
    public void runAfterPendingReads(BooleanSupplier isOver, Runnable task) {
        readBarrier.runAfterRead(isOver, task);
    }

    @Override
    public void refuse(String id, long retryAfter) {
        OpenRequest request = openRequests.get(id);
        OpenRequest.Responder answers =
                request == null ? null : claimAnswer(request, ProcessMetrics.ClassMetrics::refused);
        if (answers != null) {
            recordEnd(request, Entry.End.REFUSED);
            answers.refused(retryAfter);
            settle(request);
        }
    }

    @Override
    public void fail(String id) {
        OpenRequest request = openRequests.get(id);
        if (request != null) {
            fail(request);
        }
    }

    private void fail(OpenRequest request) {
        OpenRequest.Responder answers = claimAnswer(request, ProcessMetrics.ClassMetrics::failed);
        if (answers != null) {
            recordEnd(request, Entry.End.FAILED);
            answers.failed();
            settle(request);
        }
    }

    @Override
    public void probe(String server) {
        // The platform does not allow probes; the module asks for them only where the settings do.
    }

    @Override
    public void count(long customer, long name, double amount, long lifetime) {
        if (useStore != null) {
            tellings.begins(customer, name, amount, clock.wallMs());
        }
        counter.count(name, amount, lifetime);
    }

    /** Stores quota use when the module takes it, which is before the request is sent. */
    @Override
    public void useChanged(long customer, int plan, int setSize, double units) {
        if (useStore != null && units != 0) {
            useStore.book().useChanged(customer, plan & 0xff | (setSize & 0xff) << 8, units, clock.wallMs());
        }
    }

    @Override
    public void timer(long token, long delay) {
        if (!closed) {
            loop.schedule(() -> tick(token), delay, TimeUnit.NANOSECONDS);
        }
    }

    private void tick(long token) {
        if (now() >= clockDue) {
            clockDue = now() + ADOPT_INTERVAL_NANOS;
            pollClock();
        }
        if (operatorState != null && now() >= operatorStateDue) {
            operatorStateDue = now() + OPERATOR_STATE_INTERVAL_NANOS;
            pollOperatorState();
        }
        runEvent(null, now -> gateway.timer(now, token));
    }

    @Override
    public void watchList() {
        // The discovery client watches from the start, and again whenever a watch ends.
    }

    @Override
    public void log(String text) {
        System.out.println(plan.name().isEmpty() ? text : plan.name() + ": " + text);
    }
}
