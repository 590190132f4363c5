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
import rushpin.net.ServerCallbacks;
import rushpin.net.RequestRejectedException;
import rushpin.net.WatchedLoopGroup;
import rushpin.route.RequestTarget;
import rushpin.route.RouteTable;
import rushpin.traffic.Recorder;

/**
 * The pools of an operator's file. Routes, lenders and claims belong to the listening side's loop; a pool belongs to its
 * own loop or to that one. What crosses goes as a message, in the order in which it was sent.
 */
final class PooledServices implements Services {
    private static final long SWEEP_S = 1;

    /** A pool that runs; the key at the lenders and claims differs between two of one name that meet in a reload. */
    private record Running(Pool pool, String key, EventLoopGroup own, Budgets budgets, GroupSide side) {}

    private enum Kind {
        REQUESTS,
        CONNECTIONS,
        BYTES,
        CONNECTS
    }

    private final EventLoop front;
    private final Clock clock;
    private final Consumer<String> ended;
    private final String node;
    /** For the life of the process: a record can't change its folder. */
    private final Path state;
    /** Where operators' calls end; null where there is no console. */
    private final OperatorState console;

    private final Map<String, Running> running = new LinkedHashMap<>();
    private final List<Running> retiring = new ArrayList<>();
    private final Map<String, Running> byKey = new HashMap<>();
    private final Lender[] lenders = new Lender[Kind.values().length];
    private final AddressOwners claims = new AddressOwners();
    /** For the life of the process, like the state folder; null where nothing is recorded. */
    private Recorder recorder;

    private OperatorConfig operator;
    private RouteTable table;
    /** The newest of the fleet; null for none. */
    private Standing agreed;
    /** Hears what pools see; null where there is no fleet. */
    private Consumer<Witness.Account> watcher;
    /** Hears what pools have open to groups of servers; null where there is no fleet. */
    private Consumer<GroupSide.Account> accounts;
    /** The newest permit for each group. */
    private final Map<String, GroupSide.Numbered> permits = new HashMap<>();

    private int generation;

    /** Opens nothing yet; {@code ended} hears on the listening side's loop of each name that no pool has any more. */
    PooledServices(
            OperatorConfig operator, String node, EventLoop front, Clock clock, Consumer<String> ended, OperatorState console) {
        this.console = console;
        this.operator = operator;
        this.node = node;
        state = operator.state();
        this.front = front;
        this.clock = clock;
        this.ended = ended;
        for (Kind kind : Kind.values()) {
            lenders[kind.ordinal()] = new Lender(of(operator.total(), kind));
        }
    }

    private static long of(ResourceLimits grants, Kind kind) {
        return switch (kind) {
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
        front.submit(() -> apply(operator)).get();
        // The hand-over of each pool's first list and first shares is behind these in line.
        for (Running each : List.copyOf(running.values())) {
            each.pool().loop().submit(() -> {}).get();
        }
    }

    /** The whole of a checked file takes the place of the one before; on the listening side's loop. */
    private void apply(OperatorConfig next) {
        operator = next;
        for (Kind kind : Kind.values()) {
            lenders[kind.ordinal()].resize(of(next.total(), kind));
        }
        Map<String, Running> before = new LinkedHashMap<>(running);
        running.clear();
        List<PoolConfig> fresh = new ArrayList<>();
        for (PoolConfig plan : next.pools()) {
            Running known = before.get(plan.name());
            if (known != null && known.pool().plan().differsOnlyInAddresses(plan)) {
                before.remove(plan.name());
                running.put(plan.name(), known);
                known.pool().loop().execute(() -> known.pool().move(plan));
                if (known.side() != null) {
                    GroupConfig group = next.fleet().group(plan.group());
                    known.pool().loop().execute(() -> known.side().change(group));
                }
                reserve(known, plan);
            } else {
                fresh.add(plan);
            }
        }
        before.values().forEach(this::retire);
        fresh.forEach(this::begin);
        table = new RouteTable(next.routes());
    }

    private void begin(PoolConfig plan) {
        EventLoopGroup own = plan.ownLoop() ? new WatchedLoopGroup() : null;
        EventLoop loop = own == null ? front : own.next();
        String key = plan.name() + "#" + generation++;
        Share[] shares = new Share[lenders.length];
        for (Kind kind : Kind.values()) {
            shares[kind.ordinal()] = new Share(of(plan.guaranteed(), kind), desk(key, kind));
        }
        Budgets budgets = new Budgets(shares[0], shares[1], shares[2], shares[3], null);
        Pool pool = new Pool(
                plan, loop, front, clock, budgets, (roll, kind) -> front.execute(() -> admit(key, roll, kind)));
        if (console != null) {
            pool.serveDesk(console);
        }
        if (recorder != null) {
            // Each pool has the whole rate: what all of them offer beyond it finds the queue full.
            pool.record(new Tap(recorder, node, plan.name(), recorder.mostPerSecond(), clock.wallMs(), clock.now()));
        }
        if (watcher != null) {
            pool.witness(new Witness(plan.name(), plan.upstream().names(), plan.settings(), clock::now, watcher));
        }
        GroupConfig group = plan.group() == null ? null : operator.fleet().group(plan.group());
        if (group != null && accounts == null) {
            System.out.println("pool " + plan.name() + " keeps to no permits: a table [fleet] is for the next start");
        }
        GroupSide side = group == null || accounts == null ? null : pool.keepTo(group, accounts);
        Running begun = new Running(pool, key, own, budgets, side);
        running.put(plan.name(), begun);
        byKey.put(key, begun);
        reserve(begun, plan);
        var sweep = loop.scheduleAtFixedRate(budgets::sweep, SWEEP_S, SWEEP_S, TimeUnit.SECONDS);
        budgets.onClose(() -> sweep.cancel(false));
        // The known list goes by the claims like every other; the pool begins with what they leave of it.
        AddressOwners.Admission first = claims.admit(key, plan.known(), ListKind.CACHED);
        first.conflicts().forEach(System.out::println);
        loop.execute(() -> pool.start(first.updates().get(0).update(), state, node));
        if (agreed != null) {
            Standing known = agreed;
            loop.execute(() -> pool.agree(known));
        }
        tell(first.updates().subList(1, first.updates().size()));
        permit(begun);
    }

    /** A pool's permit, unless another pool may have connections to its group yet. */
    private void permit(Running to) {
        GroupSide.Numbered permit =
                to.side() == null ? null : permits.get(to.pool().plan().group());
        if (permit != null
                && retiring.stream()
                        .noneMatch(old ->
                                old.side() != null && old.pool().plan().group().equals(permit.group()))) {
            to.pool().loop().execute(() -> to.side().permit(permit));
        }
    }

    @Override
    public void account(Consumer<GroupSide.Account> by) {
        accounts = by;
    }

    @Override
    public void permit(GroupSide.Numbered permit) {
        front.execute(() -> {
            permits.put(permit.group(), permit);
            running.values().stream()
                    .filter(each -> permit.group().equals(each.pool().plan().group()))
                    .forEach(this::permit);
            leftAlone(permit);
        });
    }

    /** A permit that no pool goes by any more: somebody has to say that nothing is open, or what was granted stays so. */
    private void leftAlone(GroupSide.Numbered permit) {
        if (Stream.concat(running.values().stream(), retiring.stream())
                .noneMatch(each -> each.side() != null
                        && permit.group().equals(each.pool().plan().group()))) {
            accounts.accept(new GroupSide.Account(permit.group(), permit.number(), 0, Map.of()));
        }
    }

    /** The way from a pool's loop to a lender. */
    private Share.OperatorState desk(String key, Kind kind) {
        Lender lender = lenders[kind.ordinal()];
        return new Share.OperatorState() {
            @Override
            public void ask(long units) {
                front.execute(() -> lender.ask(key, units));
            }

            @Override
            public void back(long units) {
                front.execute(() -> lender.back(key, units));
            }
        };
    }

    private void reserve(Running of, PoolConfig plan) {
        for (Kind kind : Kind.values()) {
            long units = of(plan.guaranteed(), kind);
            Share share = of.budgets().of(kind.ordinal());
            of.pool().loop().execute(() -> share.guarantee(units));
            lenders[kind.ordinal()].reserve(of.key(), units, new Lender.Port() {
                @Override
                public void hand(long handed) {
                    of.pool().loop().execute(() -> share.handed(handed));
                }

                @Override
                public void recall(long wanted) {
                    of.pool().loop().execute(() -> {
                        if (share.recalled(wanted) > 0 && kind == Kind.CONNECTIONS) {
                            of.pool().shrink();
                        }
                    });
                }
            });
        }
    }

    /** A pool that is in the file no more, or differently: what it took ends there, and nothing new comes. */
    private void retire(Running old) {
        retiring.add(old);
        // It sends no more than repeats of what it has: its servers are free for who comes after it.
        tell(claims.leave(old.key()));
        old.pool().loop().execute(() -> {
            if (old.side() != null) {
                // The next pool of its group begins when nothing of this one is open there any more.
                old.side().close();
            }
            old.pool().retire(() -> {
                if (old.side() == null) {
                    front.execute(() -> gone(old));
                } else {
                    old.side().onEmpty(() -> front.execute(() -> gone(old)));
                }
            });
        });
    }

    private void gone(Running old) {
        retiring.removeIf(each -> each == old);
        byKey.remove(old.key());
        for (Lender lender : lenders) {
            lender.leave(old.key());
        }
        if (!running.containsKey(old.pool().name())) {
            ended.accept(old.pool().name());
            if (console != null) {
                console.counts().forget(old.pool().name());
            }
        }
        if (old.own() != null) {
            old.own().shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
        System.out.println("pool " + old.pool().name() + " has ended");
        running.values().forEach(this::permit);
        permits.values().forEach(this::leftAlone);
    }

    private void admit(String key, ServerListUpdate roll, ListKind kind) {
        Running of = byKey.get(key);
        if (of == null) {
            return;
        }
        if (retiring.stream().anyMatch(each -> each == of)) {
            of.pool().loop().execute(() -> of.pool().apply(roll, kind));
        } else {
            AddressOwners.Admission outcome = claims.admit(key, roll, kind);
            outcome.conflicts().forEach(System.out::println);
            tell(outcome.updates());
        }
    }

    private void tell(List<AddressOwners.PoolUpdate> told) {
        for (AddressOwners.PoolUpdate one : told) {
            Running to = byKey.get(one.pool());
            to.pool().loop().execute(() -> to.pool().apply(one.update(), one.kind()));
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
        // What goes on is the path that was routed: an absolute target's host goes as Host.
        head.setUri(reading.target());
        return new ServerCallbacks.Destination(running.get(pool).pool(), reading.authority());
    }

    @Override
    public boolean ready() {
        return running.values().stream().allMatch(each -> each.pool().ready());
    }

    /** In every pool that knows the id, the retiring ones too. */
    @Override
    public CompletableFuture<Boolean> withhold(String id, boolean out) {
        return CompletableFuture.supplyAsync(
                        () -> {
                            CompletableFuture<Boolean> any = CompletableFuture.completedFuture(false);
                            for (Running each : List.copyOf(byKey.values())) {
                                any = any.thenCombine(each.pool().withholdLater(id, out), (one, other) -> one || other);
                            }
                            return any;
                        },
                        front)
                .thenCompose(any -> any);
    }

    @Override
    public void watch(Consumer<Witness.Account> by) {
        watcher = by;
    }

    /** A pool that is retiring goes by the plan it has to its end. */
    @Override
    public void agree(Standing standing) {
        front.execute(() -> {
            if (agreed == null || !agreed.plan().isNewerThan(standing.plan())) {
                agreed = standing;
                running.values()
                        .forEach(each ->
                                each.pool().loop().execute(() -> each.pool().agree(standing)));
            }
        });
    }

    /** Pools with a loop of their own have given what they could when the other process was first seen. */
    @Override
    public void leave() {
        if (recorder != null) {
            recorder.close();
        }
        running.values().stream()
                .filter(each -> each.own() == null)
                .forEach(each -> each.pool().leave());
    }

    @Override
    public void reload(Config changed, OperatorConfig next) {
        if (next == null) {
            throw new IllegalArgumentException("the process was started with an operator's file");
        }
        front.execute(() -> apply(next));
    }

    @Override
    public void close() {
        if (recorder != null) {
            recorder.close();
        }
        for (Running each : running.values()) {
            each.pool().close();
            if (each.own() != null) {
                each.own().shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
            }
        }
        for (Running each : List.copyOf(retiring)) {
            each.pool().close();
            if (each.own() != null) {
                each.own().shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
            }
        }
    }
}
