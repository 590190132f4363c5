package rushpin.node;

import java.util.List;
import rushpin.budget.Share;
import rushpin.net.ByteBudget;
import rushpin.net.Descriptors;
import rushpin.net.OpenRequest;
import rushpin.net.ServerPool;

/** What one pool may use of the process; owned by the pool's loop. */
final class Budgets implements ServerPool.Slots {
    /** When a client that found its pool full should come again: about what one request of a full pool takes. */
    static final long COME_BACK = 500_000_000L;

    private final Share requests, connections, bytes, connects;
    /** Where the process has one pool, bodies count together with what clients' connections hold. */
    private final ByteBudget common;

    private Runnable onClose = () -> {};

    Budgets(Share requests, Share connections, Share bytes, Share connects, ByteBudget common) {
        this.requests = requests;
        this.connections = connections;
        this.bytes = bytes;
        this.connects = connects;
        this.common = common;
    }

    /** All that the process has, for its one pool. */
    static Budgets whole(int sockets, ByteBudget common) {
        return new Budgets(
                Share.fixed(Long.MAX_VALUE / 4),
                Share.fixed(Descriptors.of(sockets).servers()),
                null,
                Share.fixed(Long.MAX_VALUE / 4),
                common);
    }

    boolean take(OpenRequest request) {
        int size = request.body().readableBytes();
        if (!requests.take(1)) {
            return false;
        }
        if (common != null) {
            common.change(size);
        } else if (!bytes.take(size)) {
            requests.give(1);
            return false;
        }
        return true;
    }

    void give(OpenRequest request) {
        int size = request.body().readableBytes();
        requests.give(1);
        if (common != null) {
            common.change(-size);
        } else {
            bytes.give(size);
        }
    }

    /** In the order of the constructor. */
    Share of(int kind) {
        return List.of(requests, connections, bytes, connects).get(kind);
    }

    void sweep() {
        requests.sweep();
        connections.sweep();
        bytes.sweep();
        connects.sweep();
    }

    void onClose(Runnable then) {
        onClose = then;
    }

    void close() {
        onClose.run();
    }

    @Override
    public boolean takeConnection() {
        return connections.take(1);
    }

    @Override
    public void giveConnection() {
        connections.give(1);
    }

    @Override
    public boolean takeConnect() {
        return connects.take(1);
    }

    @Override
    public void giveConnect() {
        connects.give(1);
    }

    @Override
    public boolean mustShrink() {
        return connections.owed() > 0;
    }
}
