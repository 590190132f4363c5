package rushpin.node;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpRequest;
import java.net.SocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import rushpin.config.Config;
import rushpin.config.Operator;
import rushpin.net.ByteBudget;
import rushpin.net.ClientServer;
import rushpin.net.Front;
import rushpin.net.Refusal;

/** A real edge node: the listening side on one event loop, and the services behind it. */
public final class EdgeNode implements Front, AutoCloseable {
    private static final long MS = 1_000_000L;
    /** How long connections go on coming after SIGTERM (0.4 s at most), and some more. */
    private static final long DRAIN_GRACE = 600 * MS;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Clock clock = new Clock();
    private final ClientServer clients;
    private final Services services;

    /** A node with the platform's one pool; opens nothing yet. */
    public EdgeNode(Config config) {
        this(config, null);
    }

    /** A node with the pools of an operator's file, or with the platform's one where that is null. */
    public EdgeNode(Config config, Operator operator) {
        ByteBudget bytes = new ByteBudget(operator == null ? config.memory() : config.memory() / 2);
        clients = new ClientServer(this, loop, config.listen(), config.sockets(), bytes, operator != null);
        services = operator == null ? new PlatformService(config, loop, clock, bytes)
            : new PooledServices(operator, loop, clock, clients::forget);
    }

    /** Begins to serve; returns when the listening socket is bound. */
    public void start() throws Exception {
        services.start();
        clients.bind().get();
    }

    /** Where clients connect. */
    public SocketAddress address() {
        return clients.address();
    }

    /** How many clients' connections are open. */
    int connections() throws Exception {
        return clients.connections();
    }

    /** Goes over to a new configuration of the platform, where there is no operator's file. */
    public void reload(Config changed) {
        reload(changed, null);
    }

    /** Goes over to new settings, read and checked whole. Clients and what they have asked stay. */
    public void reload(Config changed, Operator operator) {
        services.reload(changed, operator);
    }

    /** Answers all that was taken and completes when no client's connection is open any more. */
    public CompletableFuture<Void> drain() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.execute(() -> {
            clients.closeAfterAnswers();
            loop.schedule(() -> clients.stopAccepting(done), DRAIN_GRACE, TimeUnit.NANOSECONDS);
        });
        return done;
    }

    @Override
    public void close() {
        services.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Override
    public Way route(HttpRequest head) throws Refusal {
        return services.route(head);
    }

    @Override
    public boolean ready() {
        return services.ready();
    }

    @Override
    public long now() {
        return clock.now();
    }
}
