package rushpin.node;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.concurrent.CompletableFuture;
import rushpin.config.Config;
import rushpin.config.OperatorConfig;
import rushpin.config.PoolConfig;
import rushpin.net.ByteBudget;
import rushpin.net.ServerCallbacks;
import rushpin.net.RequestRejectedException;

/** The platform's one pool, on the listening side's loop, with all that the process has. */
final class PlatformService implements Services {
    private final EventLoop loop;
    private final Pool pool;
    private final ServerCallbacks.Destination way;

    PlatformService(Config config, EventLoop loop, Clock clock, ByteBudget bytes, OperatorState desk) {
        this.loop = loop;
        pool = new Pool(PoolConfig.platform(config), loop, loop, clock, Budgets.whole(config.sockets(), bytes), null);
        if (desk != null) {
            pool.serveDesk(desk);
        }
        way = new ServerCallbacks.Destination(pool, null);
    }

    @Override
    public void start() throws Exception {
        loop.submit(() -> pool.start(pool.plan().known())).get();
    }

    @Override
    public ServerCallbacks.Destination route(HttpRequest head) throws RequestRejectedException {
        String uri = head.uri();
        if (!uri.equals("/api") && !uri.startsWith("/api?")) {
            throw new RequestRejectedException(HttpResponseStatus.NOT_FOUND, "no such path");
        }
        return way;
    }

    @Override
    public boolean ready() {
        return pool.ready();
    }

    /**
     * Clients, attempts, the module and its list stay as they are. Addresses, classes and limits are taken; all else
     * is for the next start.
     */
    @Override
    public void reload(Config changed, OperatorConfig operator) {
        loop.execute(() -> {
            pool.move(PoolConfig.platform(changed));
            pool.retune(changed.names(), changed.settings());
        });
    }

    @Override
    public void leave() {
        pool.leave();
    }

    @Override
    public CompletableFuture<Boolean> withhold(String id, boolean out) {
        return pool.withholdLater(id, out);
    }

    @Override
    public void close() {
        // All of it lives on the listening side's loop.
    }
}
