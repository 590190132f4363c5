package rushpin.node;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.concurrent.CompletableFuture;
import rushpin.config.Config;
import rushpin.config.OperatorConfig;
import rushpin.config.PoolConfig;
import rushpin.net.ByteBudget;
import rushpin.net.RequestRejectedException;
import rushpin.net.ServerCallbacks;

/** The platform's single pool, on the front loop, with all resources of the process. */
final class PlatformService implements Services {
    private final EventLoop loop;
    private final Pool pool;
    private final ServerCallbacks.Destination destination;

    PlatformService(Config config, EventLoop loop, Clock clock, ByteBudget bytes, OperatorState operatorState) {
        this.loop = loop;
        pool = new Pool(PoolConfig.platform(config), loop, loop, clock, Budgets.whole(config.sockets(), bytes), null);
        if (operatorState != null) {
            pool.setOperatorState(operatorState);
        }
        destination = new ServerCallbacks.Destination(pool, null);
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
        return destination;
    }

    @Override
    public boolean ready() {
        return pool.ready();
    }

    /**
     * Applies addresses, classes and limits; everything else takes effect at the next start. Clients, attempts, the
     * module and its server list stay as they are.
     */
    @Override
    public void reload(Config changed, OperatorConfig operator) {
        loop.execute(() -> {
            pool.changeAddresses(PoolConfig.platform(changed));
            pool.retune(changed.names(), changed.settings());
        });
    }

    @Override
    public void handOver() {
        pool.handOver();
    }

    @Override
    public CompletableFuture<Boolean> withhold(String id, boolean out) {
        return pool.withholdLater(id, out);
    }

    @Override
    public void close() {
        // Everything runs on the front loop.
    }
}
