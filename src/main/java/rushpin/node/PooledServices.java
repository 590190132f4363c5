package rushpin.node;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import rushpin.budget.Lender;
import rushpin.budget.Share;
import rushpin.config.Config;
import rushpin.config.GroupConfig;
import rushpin.config.OperatorConfig;
import rushpin.config.PoolConfig;
import rushpin.config.ResourceLimits;
import rushpin.gateway.Ports.ListKind;
import rushpin.membership.AddressOwners;
import rushpin.membership.ServerListUpdate;
import rushpin.net.RequestRejectedException;
import rushpin.net.ServerCallbacks;
import rushpin.net.WatchedLoopGroup;
import rushpin.route.RequestTarget;
import rushpin.route.RouteTable;
import rushpin.traffic.Recorder;

/**
 * The pools of an operator's file. Routes, lenders and claims belong to the front loop, which accepts clients; a pool
 * belongs to its own loop or to the front loop. Loops exchange messages, which keep the order in which they were sent.
 */
final class PooledServices implements Services {
    private static final long RETURN_SPARE_INTERVAL_S = 1;

    /**
     * A pool that runs.
     *
     * @param key names it to lenders and claims; unlike the pool's name it is unique while a reload replaces a pool
     * @param ownLoop null where the pool runs on the front loop
     * @param groupSide null where the pool belongs to no group
     */
    private record Running(Pool pool, String key, EventLoopGroup ownLoop, Budgets budgets, GroupSide groupSide) {}

    /** Guaranteed to a pool that only streams its last long answers: it keeps what these use. */
    private static final ResourceLimits NOTHING = new ResourceLimits(0, 0, 0, 0);

    private enum Resource {
        REQUESTS,
        CONNECTIONS,
        BYTES,
        CONNECTS
    }

    private final EventLoop frontLoop;
    private final Clock clock;
    private final Consumer<String> onPoolRemoved;
    private final String node;
    /** Fixed for the life of the process, because records of use cannot change their folder. */
    private final Path stateFolder;
    /** State that operators' console calls act on; null without a console. */
    private final OperatorState operatorState;

    private final Map<String, Running> running = new LinkedHashMap<>();
    private final List<Running> retiring = new ArrayList<>();
    private final Map<String, Running> runningByKey = new HashMap<>();
    private final Lender[] lenders = new Lender[Resource.values().length];
    private final AddressOwners claims = new AddressOwners();
    /** Fixed for the life of the process, like the state folder; null where nothing is recorded. */
    private Recorder recorder;

    private OperatorConfig operator;
    private RouteTable table;
    /** The newest plan of the fleet and whether it is stale; null for none. */
    private Standing standing;
    /** Receives what pools see of zones; null without a fleet. */
    private Consumer<Witness.Account> zoneReports;
    /** Receives the connections that pools have to groups of servers; null without a fleet. */
    private Consumer<GroupSide.Account> connectionReports;
    /** The newest connection grant of each group. */
    private final Map<String, GroupSide.Numbered> grants = new HashMap<>();

    private int generation;

    /**
     * Creates the pools' owner, which opens nothing before {@link #start}.
     *
     * @param onPoolRemoved receives, on the front loop, each name that no pool has any more
     * @param operatorState null without a console
     */
    PooledServices(
            OperatorConfig operator,
            String node,
            EventLoop frontLoop,
            Clock clock,
            Consumer<String> onPoolRemoved,
            OperatorState operatorState) {
        this.operatorState = operatorState;
        this.operator = operator;
        this.node = node;
        stateFolder = operator.state();
        this.frontLoop = frontLoop;
        this.clock = clock;
        this.onPoolRemoved = onPoolRemoved;
        for (Resource resource : Resource.values()) {
            lenders[resource.ordinal()] = new Lender(amount(operator.total(), resource));
        }
    }

    private static long amount(ResourceLimits grants, Resource resource) {
        return switch (resource) {
            case REQUESTS -> grants.requests();
            case CONNECTIONS -> grants.connections();
            case BYTES -> grants.bytes();
            case CONNECTS -> grants.connects();
        };
    }

    @Override
    public void start() throws Exception {
        if (operator.records() != null) {
            recorder = new Recorder(operator.records(), node, System.out::println);
        }
        frontLoop.submit(() -> applyConfig(operator)).get();
        // The tasks that deliver each pool's first list and first shares are queued before this one.
        for (Running each : List.copyOf(running.values())) {
            each.pool().loop().submit(() -> {}).get();
        }
    }

    /** Replaces the configuration by a validated file as a whole; on the front loop. */
    private void applyConfig(OperatorConfig next) {
        operator = next;
        for (Resource resource : Resource.values()) {
            lenders[resource.ordinal()].resize(amount(next.total(), resource));
        }
        Map<String, Running> before = new LinkedHashMap<>(running);
        running.clear();
        List<PoolConfig> fresh = new ArrayList<>();
        for (PoolConfig plan : next.pools()) {
            Running known = before.get(plan.name());
            if (known != null && known.pool().plan().differsOnlyInAddresses(plan)) {
                before.remove(plan.name());
                running.put(plan.name(), known);
                known.pool().loop().execute(() -> known.pool().changeAddresses(plan));
                if (known.groupSide() != null) {
                    GroupConfig group = next.fleet().group(plan.group());
                    known.pool().loop().execute(() -> known.groupSide().change(group));
                }
                reserve(known, plan.guaranteed());
            } else {
                fresh.add(plan);
            }
        }
        before.values().forEach(this::retire);
        fresh.forEach(this::startPool);
        table = new RouteTable(next.routes());
    }

    private void startPool(PoolConfig plan) {
        EventLoopGroup ownLoop = plan.ownLoop() ? new WatchedLoopGroup() : null;
        EventLoop loop = ownLoop == null ? frontLoop : ownLoop.next();
        String key = plan.name() + "#" + generation++;
        Share[] shares = new Share[lenders.length];
        for (Resource resource : Resource.values()) {
            shares[resource.ordinal()] = new Share(amount(plan.guaranteed(), resource), lenderPort(key, resource));
        }
        Budgets budgets = new Budgets(shares[0], shares[1], shares[2], shares[3], null);
        Pool pool = new Pool(
                plan,
                loop,
                frontLoop,
                clock,
                budgets,
                (roll, kind) -> frontLoop.execute(() -> admitList(key, roll, kind)));
        if (operatorState != null) {
            pool.setOperatorState(operatorState);
        }
        if (recorder != null) {
            // Each pool may use the whole rate; records beyond it in total are dropped at the full queue.
            pool.setRecorder(new RequestRecorder(
                    recorder, node, plan.name(), recorder.maxPerSecond(), clock.wallMs(), clock.now()));
        }
        if (zoneReports != null) {
            pool.setWitness(
                    new Witness(plan.name(), plan.upstream().names(), plan.settings(), clock::now, zoneReports));
        }
        GroupConfig group = plan.group() == null ? null : operator.fleet().group(plan.group());
        if (group != null && connectionReports == null) {
            System.out.println("pool " + plan.name() + " keeps to no permits: a table [fleet] is for the next start");
        }
        GroupSide groupSide =
                group == null || connectionReports == null ? null : pool.joinGroup(group, connectionReports);
        Running started = new Running(pool, key, ownLoop, budgets, groupSide);
        running.put(plan.name(), started);
        runningByKey.put(key, started);
        reserve(started, plan.guaranteed());
        var sweep = loop.scheduleAtFixedRate(
                budgets::returnSpare, RETURN_SPARE_INTERVAL_S, RETURN_SPARE_INTERVAL_S, TimeUnit.SECONDS);
        budgets.onClose(() -> sweep.cancel(false));
        // The known list is checked against claims like every later one; the pool starts with the result.
        AddressOwners.Admission first = claims.admit(key, plan.known(), ListKind.CACHED);
        first.conflicts().forEach(System.out::println);
        loop.execute(() -> pool.start(first.updates().get(0).update(), stateFolder, node));
        if (standing != null) {
            Standing known = standing;
            loop.execute(() -> pool.applyStanding(known));
        }
        deliver(first.updates().subList(1, first.updates().size()));
        applyGrant(started);
    }

    /** Passes the group's grant to a pool, unless a retiring pool may still have connections to the group. */
    private void applyGrant(Running to) {
        GroupSide.Numbered grant =
                to.groupSide() == null ? null : grants.get(to.pool().plan().group());
        if (grant != null
                && retiring.stream()
                        .noneMatch(old -> old.groupSide() != null
                                && old.pool().plan().group().equals(grant.group()))) {
            to.pool().loop().execute(() -> to.groupSide().permit(grant));
        }
    }

    @Override
    public void setConnectionReports(Consumer<GroupSide.Account> listener) {
        connectionReports = listener;
    }

    @Override
    public void onGrant(GroupSide.Numbered grant) {
        frontLoop.execute(() -> {
            grants.put(grant.group(), grant);
            running.values().stream()
                    .filter(each -> grant.group().equals(each.pool().plan().group()))
                    .forEach(this::applyGrant);
            reportUnused(grant);
        });
    }

    /** Reports no open connections for a grant that no pool uses any more; otherwise its connections stay allocated. */
    private void reportUnused(GroupSide.Numbered grant) {
        if (Stream.concat(running.values().stream(), retiring.stream())
                .noneMatch(each -> each.groupSide() != null
                        && grant.group().equals(each.pool().plan().group()))) {
            connectionReports.accept(new GroupSide.Account(grant.group(), grant.number(), 0, Map.of()));
        }
    }

    /** Passes messages from a pool's loop to a lender. */
    private Share.Port lenderPort(String key, Resource resource) {
        Lender lender = lenders[resource.ordinal()];
        return new Share.Port() {
            @Override
            public void request(long units) {
                frontLoop.execute(() -> lender.request(key, units));
            }

            @Override
            public void giveBack(long units) {
                frontLoop.execute(() -> lender.giveBack(key, units));
            }
        };
    }

    /** Guarantees a pool its part of the process's resources, in place of what was guaranteed before. */
    private void reserve(Running pool, ResourceLimits guaranteed) {
        for (Resource resource : Resource.values()) {
            long units = amount(guaranteed, resource);
            Share share = pool.budgets().share(resource.ordinal());
            pool.pool().loop().execute(() -> share.setGuarantee(units));
            lenders[resource.ordinal()].reserve(pool.key(), units, new Lender.Port() {
                @Override
                public void grant(long granted) {
                    pool.pool().loop().execute(() -> share.granted(granted));
                }

                @Override
                public void recall(long wanted) {
                    pool.pool().loop().execute(() -> {
                        if (share.recall(wanted) > 0 && resource == Resource.CONNECTIONS) {
                            pool.pool().shrink();
                        }
                    });
                }
            });
        }
    }

    /** Retires a pool that was removed or replaced: it finishes its requests and gets no new ones. */
    private void retire(Running old) {
        retiring.add(old);
        // It only retries requests it has, so its servers may be claimed by another pool.
        deliver(claims.leave(old.key()));
        old.pool().loop().execute(() -> {
            if (old.groupSide() != null) {
                // The group's next pool starts once this one has no connections there.
                old.groupSide().close();
            }
            old.pool().retire(() -> frontLoop.execute(() -> reserve(old, NOTHING)), () -> removeOnceEmpty(old));
        });
    }

    private void removeOnceEmpty(Running old) {
        if (old.groupSide() == null) {
            frontLoop.execute(() -> remove(old));
        } else {
            old.groupSide().onEmpty(() -> frontLoop.execute(() -> remove(old)));
        }
    }

    private void remove(Running old) {
        retiring.removeIf(each -> each == old);
        runningByKey.remove(old.key());
        for (Lender lender : lenders) {
            lender.remove(old.key());
        }
        if (!running.containsKey(old.pool().name())) {
            onPoolRemoved.accept(old.pool().name());
            if (operatorState != null) {
                operatorState.counts().forget(old.pool().name());
            }
        }
        if (old.ownLoop() != null) {
            old.ownLoop().shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
        System.out.println("pool " + old.pool().name() + " has ended");
        running.values().forEach(this::applyGrant);
        grants.values().forEach(this::reportUnused);
    }

    private void admitList(String key, ServerListUpdate roll, ListKind kind) {
        Running pool = runningByKey.get(key);
        if (pool == null) {
            return;
        }
        if (retiring.stream().anyMatch(each -> each == pool)) {
            pool.pool().loop().execute(() -> pool.pool().applyList(roll, kind));
        } else {
            AddressOwners.Admission outcome = claims.admit(key, roll, kind);
            outcome.conflicts().forEach(System.out::println);
            deliver(outcome.updates());
        }
    }

    private void deliver(List<AddressOwners.PoolUpdate> lists) {
        for (AddressOwners.PoolUpdate one : lists) {
            Running to = runningByKey.get(one.pool());
            to.pool().loop().execute(() -> to.pool().applyList(one.update(), one.kind()));
        }
    }

    @Override
    public ServerCallbacks.Destination route(HttpRequest head) throws RequestRejectedException {
        List<String> hosts = head.headers().getAll(HttpHeaderNames.HOST);
        if (hosts.size() > 1) {
            throw new RequestRejectedException(HttpResponseStatus.BAD_REQUEST, "Host stands there twice");
        }
        RequestTarget reading;
        try {
            reading = RequestTarget.of(
                    head.uri(),
                    hosts.isEmpty() ? null : hosts.get(0),
                    !head.protocolVersion().equals(HttpVersion.HTTP_1_0));
        } catch (RequestTarget.Ambiguous e) {
            throw new RequestRejectedException(HttpResponseStatus.BAD_REQUEST, e.getMessage());
        }
        for (String name : table.headers()) {
            if (head.headers().getAll(name).size() > 1) {
                throw new RequestRejectedException(HttpResponseStatus.BAD_REQUEST, name + " stands there twice");
            }
        }
        String pool = table.find(reading, head.method().name(), head.headers().get("X-Qos"), head.headers()::get);
        if (pool == null) {
            throw new RequestRejectedException(HttpResponseStatus.NOT_FOUND, "no route leads from here");
        }
        // The path that was routed is forwarded; the host of an absolute target becomes the Host header.
        head.setUri(reading.target());
        return new ServerCallbacks.Destination(running.get(pool).pool(), reading.authority());
    }

    @Override
    public boolean ready() {
        return running.values().stream().allMatch(each -> each.pool().ready());
    }

    /** Applies to every pool that knows the ID, retiring ones included. */
    @Override
    public CompletableFuture<Boolean> withhold(String id, boolean out) {
        return CompletableFuture.supplyAsync(
                        () -> {
                            CompletableFuture<Boolean> any = CompletableFuture.completedFuture(false);
                            for (Running each : List.copyOf(runningByKey.values())) {
                                any = any.thenCombine(each.pool().withholdLater(id, out), (one, other) -> one || other);
                            }
                            return any;
                        },
                        frontLoop)
                .thenCompose(any -> any);
    }

    @Override
    public void setZoneReports(Consumer<Witness.Account> listener) {
        zoneReports = listener;
    }

    /** A retiring pool keeps the plan it has. */
    @Override
    public void applyStanding(Standing next) {
        frontLoop.execute(() -> {
            if (standing == null || !standing.plan().isNewerThan(next.plan())) {
                standing = next;
                running.values()
                        .forEach(each ->
                                each.pool().loop().execute(() -> each.pool().applyStanding(next)));
            }
        });
    }

    /** Pools with a loop of their own handed units over when the other process was first seen. */
    @Override
    public void handOver() {
        if (recorder != null) {
            recorder.close();
        }
        running.values().stream()
                .filter(each -> each.ownLoop() == null)
                .forEach(each -> each.pool().handOver());
    }

    @Override
    public void reload(Config changed, OperatorConfig next) {
        if (next == null) {
            throw new IllegalArgumentException("the process was started with an operator's file");
        }
        frontLoop.execute(() -> applyConfig(next));
    }

    @Override
    public void close() {
        if (recorder != null) {
            recorder.close();
        }
        for (Running each : running.values()) {
            each.pool().close();
            if (each.ownLoop() != null) {
                each.ownLoop().shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
            }
        }
        for (Running each : List.copyOf(retiring)) {
            each.pool().close();
            if (each.ownLoop() != null) {
                each.ownLoop().shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
            }
        }
    }
}
