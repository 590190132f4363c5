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
import rushpin.net.ServerCallbacks;
import rushpin.net.RequestRejectedException;
import rushpin.net.WatchedLoopGroup;

/** A real edge node: the listening side on one event loop, and the services behind it. */
public final class EdgeNode implements ServerCallbacks, Lifecycle.Port, AutoCloseable {
    private static final long MS = 1_000_000L;
    /** How long connections go on coming after SIGTERM (0.4 s at most), and some more. */
    private static final long DRAIN_GRACE = 600 * MS;
    /** No request is open longer than its client waits; what is left after this hangs. */
    private static final long DRAIN_MOST = 60_000 * MS;
    /** How long a start waits for its first list where clients come as soon as it listens. */
    private static final long HEAR = 1_500 * MS;

    private final EventLoopGroup group = new WatchedLoopGroup();
    private final EventLoop loop = group.next();
    private final Clock clock;
    private final ClientServer clients;
    private final Services services;
    private final OperatorConfig.Listener listener;
    private final Lifecycle lifecycle;
    /** Where operators' calls end; null where there is no console. */
    private final OperatorState desk;
    /** What is shared with other processes; null for nothing. */
    private final Together together;

    private final CompletableFuture<Integer> drained = new CompletableFuture<>();

    /** A node with the platform's one pool; opens nothing yet. */
    public EdgeNode(Config config) {
        this(config, null);
    }

    /** A node with the pools of an operator's file, or with the platform's one where that is null. */
    public EdgeNode(Config config, OperatorConfig operator) {
        this(config, operator, new Clock());
    }

    /** As above, by a clock of one's own. */
    EdgeNode(Config config, OperatorConfig operator, Clock clock) {
        this(config, operator, clock, null);
    }

    /** As above, with what operators' calls go to; null for none. */
    public EdgeNode(Config config, OperatorConfig operator, OperatorState desk) {
        this(config, operator, new Clock(), desk);
    }

    private EdgeNode(Config config, OperatorConfig operator, Clock clock, OperatorState desk) {
        this.clock = clock;
        this.desk = desk;
        ByteBudget bytes = new ByteBudget(operator == null ? config.memory() : config.memory() / 2);
        clients = new ClientServer(this, loop, config.listen(), config.sockets(), bytes, operator != null);
        services = operator == null
                ? new PlatformService(config, loop, clock, bytes, desk)
                : new PooledServices(operator, config.name(), loop, clock, clients::forget, desk);
        // Who gives a node a console replaces its process while it serves.
        listener = operator != null
                ? operator.listener()
                : desk == null ? OperatorConfig.Listener.OWN : OperatorConfig.Listener.REUSEPORT;
        together = operator == null || operator.fleet() == null
                ? null
                : new Together(operator.fleet(), services::agree, services::permit);
        if (together != null) {
            services.account(together::has);
            services.watch(together::saw);
        }
        lifecycle = new Lifecycle(
                new Lifecycle.Bounds(DRAIN_GRACE, DRAIN_MOST), listener != OperatorConfig.Listener.OWN, this, now());
    }

    /** Begins to serve; returns when it listens. */
    public void start() throws Exception {
        services.start();
        if (together != null) {
            together.start();
        }
        if (desk != null) {
            // Clients come at once beside another process: the list is heard first, or has been silent for long.
            for (long end = System.nanoTime() + HEAR; !services.ready() && System.nanoTime() - end < 0; ) {
                Thread.sleep(5);
            }
            desk.beside().serve();
        }
        switch (listener) {
            case OWN -> clients.bind().get();
            case REUSEPORT -> clients.bindReusePort().get();
            case INHERITED -> {
                if (!(System.inheritedChannel() instanceof ServerSocketChannel passed)) {
                    throw new IOException("process.listener is inherited and standard input is no listening socket");
                }
                clients.acceptFrom(passed).get();
            }
        }
        loop.submit(() -> lifecycle.serves(now())).get();
    }

    /** Where clients connect. */
    public SocketAddress address() {
        return clients.address();
    }

    /** The listening side's loop. */
    EventLoop loop() {
        return loop;
    }

    /** How many clients' connections are open. */
    int connections() throws Exception {
        return clients.connections();
    }

    /** Goes over to a new configuration of the platform, where there is no operator's file. */
    public void reload(Config changed) {
        services.reload(changed, null);
    }

    /** Goes over to new settings, read and checked whole. Clients and what they have asked stay. */
    public void reload(Config changed, OperatorConfig operator) throws OperatorConfig.Faulty {
        FleetConfig fleet = operator == null ? null : operator.fleet();
        if (together != null && fleet != null) {
            together.plan().checkNext(fleet);
        }
        services.reload(changed, operator);
        if (together != null && fleet != null) {
            together.change(fleet);
        } else if (together != null || fleet != null) {
            System.out.println("whether there is a table [fleet] is for the next start");
        }
    }

    /**
     * Answers all that was taken; completes at the end of that with how many connections were cut. Others of its fleet hear
     * meanwhile that this process ends, and after it that its part of groups' connections is free.
     */
    public CompletableFuture<Integer> drain() {
        CompletableFuture<Void> left =
                together == null ? CompletableFuture.completedFuture(null) : together.leave(drained);
        loop.execute(() -> {
            if (desk != null && listener == OperatorConfig.Listener.REUSEPORT) {
                // Alone, it goes on taking those who still come for a moment; else they are the other process's.
                lifecycle.shared(desk.others() > 0);
            }
            lifecycle.terminate(now(), clients.openConnections());
        });
        return drained.thenCombine(left, (cut, none) -> cut);
    }

    /** Whether it takes clients now; completes on the loop that knows. */
    CompletableFuture<Boolean> takesClients() {
        return CompletableFuture.supplyAsync(this::ready, loop);
    }

    /** Takes an app server out, or puts it back; see {@link Services#withhold}. */
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
    public void wake(long span) {
        loop.schedule(() -> lifecycle.time(now(), clients.openConnections()), span, TimeUnit.NANOSECONDS);
    }

    @Override
    public void end(int cut) {
        services.leave();
        drained.complete(cut);
    }

    @Override
    public void connectionEnded(int open) {
        lifecycle.connections(now(), open);
    }

    @Override
    public void close() {
        if (together != null) {
            together.close();
        }
        services.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        if (desk != null) {
            desk.close();
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
