package rushpin.node;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpRequest;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import rushpin.config.Config;
import rushpin.config.FleetConfig;
import rushpin.config.OperatorConfig;
import rushpin.lifecycle.Lifecycle;
import rushpin.net.ByteBudget;
import rushpin.net.ClientServer;
import rushpin.net.RequestRejectedException;
import rushpin.net.ServerCallbacks;
import rushpin.net.WatchedLoopGroup;

/** An edge node: accepts clients on one event loop, and passes their requests to its pools. */
public final class EdgeNode implements ServerCallbacks, Lifecycle.Port, AutoCloseable {
    private static final long NANOS_PER_MS = 1_000_000L;
    /** How long connections are accepted after SIGTERM: new ones arrive for up to 0.4 s, plus a margin. */
    private static final long DRAIN_GRACE_NANOS = 600 * NANOS_PER_MS;
    /** Bound of a drain: no client waits that long, so a connection still open then hangs. */
    private static final long MAX_DRAIN_NANOS = 60_000 * NANOS_PER_MS;
    /** How long a start waits for the first server list where clients connect as soon as it listens. */
    private static final long FIRST_LIST_TIMEOUT_NANOS = 1_500 * NANOS_PER_MS;

    private final EventLoopGroup group = new WatchedLoopGroup();
    private final EventLoop loop = group.next();
    private final Clock clock;
    private final ClientServer clients;
    private final Services services;
    private final OperatorConfig.Listener listener;
    private final Lifecycle lifecycle;
    /** State that operators' console calls act on; null without a console. */
    private final OperatorState operatorState;
    /** Coordinates with other processes of the fleet; null without one. */
    private final Together together;

    private final CompletableFuture<Integer> drained = new CompletableFuture<>();

    /** Creates a node with the platform's single pool; it opens nothing before {@link #start}. */
    public EdgeNode(Config config) {
        this(config, null);
    }

    /** Creates a node with the pools of an operator's file, or with the platform's single pool if that is null. */
    public EdgeNode(Config config, OperatorConfig operator) {
        this(config, operator, new Clock());
    }

    /** Creates a node that uses the given clock. */
    EdgeNode(Config config, OperatorConfig operator, Clock clock) {
        this(config, operator, clock, null);
    }

    /** Creates a node whose metrics and disabled servers are kept in the given state; null without a console. */
    public EdgeNode(Config config, OperatorConfig operator, OperatorState operatorState) {
        this(config, operator, new Clock(), operatorState);
    }

    private EdgeNode(Config config, OperatorConfig operator, Clock clock, OperatorState operatorState) {
        this.clock = clock;
        this.operatorState = operatorState;
        ByteBudget bytes = new ByteBudget(operator == null ? config.memory() : config.memory() / 2);
        clients = new ClientServer(this, loop, config.listen(), config.sockets(), bytes, operator != null);
        services = operator == null
                ? new PlatformService(config, loop, clock, bytes, operatorState)
                : new PooledServices(operator, config.name(), loop, clock, clients::forget, operatorState);
        // With a console, processes are replaced while they serve, so the port must be shareable.
        listener = operator != null
                ? operator.listener()
                : operatorState == null ? OperatorConfig.Listener.OWN : OperatorConfig.Listener.REUSEPORT;
        together = operator == null || operator.fleet() == null
                ? null
                : new Together(operator.fleet(), services::applyStanding, services::onGrant);
        if (together != null) {
            services.setConnectionReports(together::has);
            services.setZoneReports(together::saw);
        }
        lifecycle = new Lifecycle(
                new Lifecycle.Bounds(DRAIN_GRACE_NANOS, MAX_DRAIN_NANOS),
                listener != OperatorConfig.Listener.OWN,
                this,
                now());
    }

    /** Starts to serve; returns when it listens. */
    public void start() throws Exception {
        services.start();
        if (together != null) {
            together.start();
        }
        if (operatorState != null) {
            // Beside another process clients connect at once, so wait for the first server list or a timeout.
            for (long end = System.nanoTime() + FIRST_LIST_TIMEOUT_NANOS;
                    !services.ready() && System.nanoTime() - end < 0; ) {
                Thread.sleep(5);
            }
            operatorState.beside().serve();
        }
        switch (listener) {
            case OWN -> clients.bind().get();
            case REUSEPORT -> clients.bindReusePort().get();
            case INHERITED -> {
                if (!(System.inheritedChannel() instanceof ServerSocketChannel inherited)) {
                    throw new IOException("process.listener is inherited and standard input is no listening socket");
                }
                clients.acceptFrom(inherited).get();
            }
        }
        loop.submit(() -> lifecycle.serving(now())).get();
    }

    /** Returns the address that clients connect to. */
    public SocketAddress address() {
        return clients.address();
    }

    /** Returns the front loop, which accepts clients. */
    EventLoop loop() {
        return loop;
    }

    /** Returns the number of open client connections. */
    int connections() throws Exception {
        return clients.connections();
    }

    /** Applies a new configuration of the platform where there is no operator's file. */
    public void reload(Config changed) {
        services.reload(changed, null);
    }

    /**
     * Applies new settings, validated as a whole; clients and their requests stay.
     *
     * @throws OperatorConfig.Faulty if the new file cannot replace the present one; nothing has changed then
     */
    public void reload(Config changed, OperatorConfig operator) throws OperatorConfig.Faulty {
        FleetConfig fleet = operator == null ? null : operator.fleet();
        if (together != null && fleet != null) {
            together.plan().checkNext(fleet);
        }
        services.reload(changed, operator);
        if (together != null && fleet != null) {
            together.change(fleet);
        } else if (together != null || fleet != null) {
            System.out.println("adding or removing the table [fleet] takes effect at the next start");
        }
    }

    /**
     * Drains: answers all requests received; completes with the number of connections that were cut. The fleet is
     * notified at the start that this process ends, and at the end that its connections to groups are free.
     */
    public CompletableFuture<Integer> drain() {
        CompletableFuture<Void> fleetLeft =
                together == null ? CompletableFuture.completedFuture(null) : together.leave(drained);
        loop.execute(() -> {
            if (operatorState != null && listener == OperatorConfig.Listener.REUSEPORT) {
                // Without another process it keeps accepting for the grace period; else the other process accepts.
                lifecycle.setShared(operatorState.others() > 0);
            }
            lifecycle.terminate(now(), clients.openConnections());
        });
        return drained.thenCombine(fleetLeft, (cut, none) -> cut);
    }

    /** Completes on the front loop with whether new clients are accepted. */
    CompletableFuture<Boolean> takesClients() {
        return CompletableFuture.supplyAsync(this::ready, loop);
    }

    /** Disables or enables an app server; see {@link Services#withhold}. */
    CompletableFuture<Boolean> withhold(String id, boolean out) {
        return services.withhold(id, out);
    }

    @Override
    public void closeAfterAnswers() {
        clients.closeAfterAnswers();
    }

    @Override
    public void stopAccepting(boolean idleToo) {
        clients.stopAccepting(idleToo);
    }

    @Override
    public void wakeAfter(long delay) {
        loop.schedule(() -> lifecycle.onTimer(now(), clients.openConnections()), delay, TimeUnit.NANOSECONDS);
    }

    @Override
    public void stopped(int cutConnections) {
        services.handOver();
        drained.complete(cutConnections);
    }

    @Override
    public void connectionEnded(int open) {
        lifecycle.onConnections(now(), open);
    }

    @Override
    public void close() {
        if (together != null) {
            together.close();
        }
        services.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        if (operatorState != null) {
            operatorState.close();
        }
    }

    @Override
    public Destination route(HttpRequest head) throws RequestRejectedException {
        return services.route(head);
    }

    @Override
    public boolean ready() {
        return lifecycle.isReady() && services.ready();
    }

    @Override
    public long now() {
        return clock.now();
    }
}
