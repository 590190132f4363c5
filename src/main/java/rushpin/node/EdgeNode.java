package rushpin.node;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.SocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import rushpin.config.Config;
import rushpin.config.PoolPlan;
import rushpin.net.ByteBudget;
import rushpin.net.ClientServer;
import rushpin.net.Front;
import rushpin.net.Refusal;

/** A real edge node with the platform's one pool: the listening side and the pool share one event loop. */
public final class EdgeNode implements Front, AutoCloseable {
    private static final long MS = 1_000_000L;
    /** How long connections go on coming after SIGTERM (0.4 s at most), and some more. */
    private static final long DRAIN_GRACE = 600 * MS;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Clock clock = new Clock();
    private final ClientServer clients;
    private final Pool pool;
    private final Way way;

    /** Opens nothing yet. */
    public EdgeNode(Config config) {
        ByteBudget bytes = new ByteBudget(config.memory());
        pool = new Pool(PoolPlan.platform(config), loop, clock, Budgets.whole(config.sockets(), bytes));
        way = new Way(pool, null);
        clients = new ClientServer(this, loop, config.listen(), config.sockets(), bytes);
    }

    /** Begins to serve; returns when the listening socket is bound. */
    public void start() throws Exception {
        loop.submit(pool::start).get();
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

    /**
     * Goes over to the addresses of a new configuration. Clients, attempts, the module and its list stay as they
     * are, and all else in the file is for the next start.
     */
    public void reload(Config changed) {
        loop.execute(() -> pool.move(PoolPlan.platform(changed)));
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
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Override
    public Way route(HttpRequest head) throws Refusal {
        String uri = head.uri();
        if (!uri.equals("/api") && !uri.startsWith("/api?")) {
            throw new Refusal(HttpResponseStatus.NOT_FOUND, "no such path");
        }
        return way;
    }

    @Override
    public boolean ready() {
        return pool.ready();
    }

    @Override
    public long now() {
        return clock.now();
    }
}
