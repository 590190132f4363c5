package rushpin.node;

import java.util.List;
import rushpin.budget.Share;
import rushpin.net.ByteBudget;
import rushpin.net.Descriptors;
import rushpin.net.OpenRequest;
import rushpin.net.ServerPool;

/** The shares of the process's resources that one pool may use; owned by the pool's loop. */
final class Budgets implements ServerPool.Slots {
    /** Retry-After for a client whose pool is full, nanoseconds: about as long as one request of a full pool takes. */
    static final long RETRY_AFTER_NANOS = 500_000_000L;

    private final Share requests;
    private final Share connections;
    /** Null where the process has one pool. */
    private final Share bytes;
    /** Connection attempts in progress. */
    private final Share connects;
    /** Where the process has one pool, bodies count together with the buffers of client connections; else null. */
    private final ByteBudget clientBytes;

    private Runnable onClose = () -> {};

    Budgets(Share requests, Share connections, Share bytes, Share connects, ByteBudget clientBytes) {
        this.requests = requests;
        this.connections = connections;
        this.bytes = bytes;
        this.connects = connects;
        this.clientBytes = clientBytes;
    }

    /** Returns budgets with all resources of the process, for its single pool. */
    static Budgets whole(int sockets, ByteBudget clientBytes) {
        return new Budgets(
                Share.fixed(Long.MAX_VALUE / 4),
                Share.fixed(Descriptors.of(sockets).servers()),
                null,
                Share.fixed(Long.MAX_VALUE / 4),
                clientBytes);
    }

    /** Acquires a request and the bytes of its body; false if either is not available. */
    boolean tryAcquire(OpenRequest request) {
        int size = request.body().readableBytes();
        if (!requests.tryAcquire(1)) {
            return false;
        }
        if (clientBytes != null) {
            clientBytes.change(size);
        } else if (!bytes.tryAcquire(size)) {
            requests.release(1);
            return false;
        }
        return true;
    }

    /** Releases what {@link #tryAcquire} acquired. */
    void release(OpenRequest request) {
        int size = request.body().readableBytes();
        requests.release(1);
        if (clientBytes != null) {
            clientBytes.change(-size);
        } else {
            bytes.release(size);
        }
    }

    /** Returns a share by its position in the constructor, from 0. */
    Share share(int kind) {
        return List.of(requests, connections, bytes, connects).get(kind);
    }

    /** Returns lent units that are not needed; to be called regularly. */
    void returnSpare() {
        requests.returnSpare();
        connections.returnSpare();
        bytes.returnSpare();
        connects.returnSpare();
    }

    void onClose(Runnable listener) {
        onClose = listener;
    }

    void close() {
        onClose.run();
    }

    @Override
    public boolean acquireConnection() {
        return connections.tryAcquire(1);
    }

    @Override
    public void releaseConnection() {
        connections.release(1);
    }

    @Override
    public boolean acquireConnect() {
        return connects.tryAcquire(1);
    }

    @Override
    public void releaseConnect() {
        connects.release(1);
    }

    @Override
    public boolean mustShrink() {
        return connections.owed() > 0;
    }
}
