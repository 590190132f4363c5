package rushpin.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.AttributeKey;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import rushpin.budget.ConnectionBudget;
import rushpin.gateway.Ports.Request;
import rushpin.pooling.ConnectionGrant;

/**
 * Limits a pool's connections to its grant at a group of app servers that limits the connections of all processes
 * together. Called on the pool's event loop.
 *
 * <p>A connection counts from the moment before the connect until the peer has closed it or must have: closing a
 * connection shuts down the output and waits up to {@code halfOpenTimeout} for the peer's end.
 *
 * <p>The grant is checked right before each connect. If the process pauses between the check and the connect, for
 * longer than the fleet waits, it establishes one connection that no grant covers any more; that connection is closed
 * in the next turn of the event loop, where the lease's timer is due.
 */
public final class GroupGate {
    /** An attempt that may be queued until there is a connection for it. */
    interface PendingAttempt {
        /** Returns the request; it decides the tenant. */
        Request request();

        /** Returns how long the attempt may wait and run, in nanoseconds. */
        long patience();

        /** Starts the attempt on an idle or a new connection; returns false if there is none for it. */
        boolean begin(ConnectionUse use);

        /** Closes an idle connection to another server so that this attempt can have a new one. */
        void closeIdleConnection();

        /** Ends the attempt as not sent: it won't get a connection. */
        void notSent();
    }

    /** The use of one connection by a tenant's request; it ends once. */
    final class ConnectionUse {
        private final String tenant;
        private final long startedAt = System.nanoTime();
        private boolean ended;
        private Channel channel;

        private ConnectionUse(String tenant) {
            this.tenant = tenant;
            activeUses.add(this);
        }

        /** Sets the connection that is used. */
        void setChannel(Channel channel) {
            this.channel = channel;
        }

        void end() {
            if (!ended) {
                ended = true;
                activeUses.remove(this);
                // Capped: a long answer, or a wait for a peer's close, says little about the wait of the next queued
                // attempt.
                meanUseNanos += MEAN_WEIGHT * (Math.min(System.nanoTime() - startedAt, gracePeriod) - meanUseNanos);
                usage.release(tenant);
                serveSoon();
            }
        }
    }

    /** Weight of a new value in the moving average of the duration of a use. */
    private static final double MEAN_WEIGHT = 0.1;

    private final EventLoop loop;
    /** How long a connection is not reused after an answer, in nanoseconds. */
    private final long reuseDelay;
    /** Time after which servers end a connection that is silent, in nanoseconds. */
    private long halfOpenTimeout;
    /** How long a request may go on after the end of a lease, in nanoseconds. */
    private long gracePeriod;

    private final Function<Request, String> tenants;
    private final Runnable shrink;
    private final ConnectionBudget<PendingAttempt> usage = new ConnectionBudget<>();
    /** Uses of connections that have not ended, oldest first. */
    private final Set<ConnectionUse> activeUses = new LinkedHashSet<>();

    private ConnectionGrant grant = ConnectionGrant.NONE;
    /** Applies the grant again when its lease, or the process's own part, ends. */
    private Future<?> applyTimer;

    private Future<?> retryTimer;
    /**
     * Timers that close connections which are still in use {@code gracePeriod} after an end of the last grant: one for
     * the end of the lease, one for the end of the process's own part.
     */
    private final List<Future<?>> closeTimers = new ArrayList<>(2);

    /** The last grant that was not {@link ConnectionGrant#NONE}. */
    private ConnectionGrant lastGrant = ConnectionGrant.NONE;

    private Runnable emptyCallback;
    private Runnable withinGrantCallback = () -> {};
    private boolean serving;
    private boolean serveScheduled;
    /** Whether more connections are open than the grant allows. */
    private boolean isOverGrant;
    /** Moving average of the duration of a use, in nanoseconds. */
    private double meanUseNanos;

    /**
     * Creates a gate without a grant: no connection may be established yet.
     *
     * @param halfOpenTimeout time after which servers end a connection that is silent, in nanoseconds
     * @param gracePeriod time after the end of a lease, in nanoseconds, at which connections beyond the remaining
     *     grant are closed even if they are in use
     * @param reuseDelay how long a connection is not reused after an answer, in nanoseconds
     * @param tenants maps a request to its tenant
     * @param shrink closes idle connections while {@link #mustShrink} returns true
     */
    GroupGate(
            EventLoop loop,
            long halfOpenTimeout,
            long gracePeriod,
            long reuseDelay,
            Function<Request, String> tenants,
            Runnable shrink) {
        this.loop = loop;
        this.halfOpenTimeout = halfOpenTimeout;
        this.gracePeriod = gracePeriod;
        this.reuseDelay = reuseDelay;
        this.tenants = tenants;
        this.shrink = shrink;
    }

    /**
     * Replaces the grant. Connections beyond it are closed now if they are idle, else after the request that uses
     * them.
     */
    public void setGrant(ConnectionGrant next) {
        grant = next;
        applyGrant();
    }

    /**
     * Raises the timeouts to the operator's new values; a lower value is ignored, since the earlier one may still be
     * relied on.
     *
     * @param newHalfOpenTimeout in nanoseconds
     * @param newGracePeriod in nanoseconds
     */
    public void raiseTimeouts(long newHalfOpenTimeout, long newGracePeriod) {
        halfOpenTimeout = Math.max(halfOpenTimeout, newHalfOpenTimeout);
        gracePeriod = Math.max(gracePeriod, newGracePeriod);
    }

    /**
     * Sets the callback that runs each time the connections beyond a grant, or beyond an ended lease, have been closed
     * by the peer too.
     */
    public void onWithinGrant(Runnable then) {
        withinGrantCallback = then;
    }

    /** Returns the number of connections in use. */
    int activeUses() {
        return activeUses.size();
    }

    /** Returns the counts of connections and queued attempts. */
    public ConnectionBudget<?> usage() {
        return usage;
    }

    /** Applies the grant as it is now, and schedules the same for the end of its lease. */
    private void applyGrant() {
        if (applyTimer != null) {
            applyTimer.cancel(false);
            applyTimer = null;
        }
        long now = System.nanoTime();
        usage.set(grant.at(now), grant.tenants());
        // A pool that is being replaced has no grant any more: the end of its last lease still limits its connections
        // in use.
        lastGrant = grant == ConnectionGrant.NONE ? lastGrant : grant;
        if (lastGrant != ConnectionGrant.NONE) {
            scheduleEnds(now);
        }
        shrink.run();
        isOverGrant = usage.open() > usage.maxConnections();
        if (usage.maxConnections() == 0) {
            usage.drain().forEach(PendingAttempt::notSent);
        }
        serve();
    }

    private void scheduleEnds(long now) {
        boolean lasts = now - lastGrant.until() < 0;
        long next = lasts ? lastGrant.until() : lastGrant.forget();
        if (now - next < 0) {
            applyTimer = loop.schedule(this::applyGrant, next - now, TimeUnit.NANOSECONDS);
        }
        if (lasts) {
            closeTimers.forEach(timer -> timer.cancel(false));
            closeTimers.clear();
            return;
        }
        if (closeTimers.isEmpty()) {
            scheduleClose(lastGrant.until(), now);
        }
        if (closeTimers.size() == 1 && now - lastGrant.forget() >= 0) {
            scheduleClose(lastGrant.forget(), now);
        }
    }

    private void scheduleClose(long end, long now) {
        closeTimers.add(
                loop.schedule(() -> closeUsesBefore(end), Math.max(0, end + gracePeriod - now), TimeUnit.NANOSECONDS));
    }

    /**
     * Closes connections in use beyond the remaining grant whose use began before a lease's end: the fleet now counts
     * them as free.
     */
    private void closeUsesBefore(long end) {
        for (ConnectionUse each : List.copyOf(activeUses)) {
            if (usage.mustShrink() && each.startedAt - end < 0 && each.channel != null) {
                close(each.channel);
            }
        }
    }

    /** Starts an attempt now or queues it; returns false if it is neither. */
    boolean send(PendingAttempt attempt) {
        String tenant = tenants.apply(attempt.request());
        // Rejected now if its expected wait exceeds its timeout.
        boolean may = usage.waitingPerConnection(tenant) * meanUseNanos < attempt.patience()
                && usage.enqueue(tenant, attempt);
        if (may) {
            serve();
        }
        return may;
    }

    /** Removes an attempt from the queue. */
    void leave(PendingAttempt attempt) {
        // Whichever tenant's queue it is in: the mapping to tenants may have changed since.
        usage.cancel(attempt);
    }

    /** Reserves a connection right before a connect; returns false if the grant has no more. */
    boolean acquireConnection() {
        int max = grant.at(System.nanoTime());
        if (max != usage.maxConnections()) {
            // The lease has ended and its timer has not run yet.
            applyGrant();
        }
        return usage.acquireConnection();
    }

    /** Releases a reserved connection that was not used. */
    void releaseConnection() {
        usage.removeConnection(false);
    }

    /** Returns whether connections must be closed. */
    boolean mustShrink() {
        return usage.mustShrink();
    }

    /**
     * A reserved connection has ended.
     *
     * @param opened its channel; null if it was never established
     * @param failure why it could not be established; null if it was
     */
    void ended(Channel opened, Throwable failure) {
        PeerCloseHandler closing =
                opened == null ? null : opened.attr(PeerCloseHandler.KEY).getAndSet(null);
        if (failure instanceof ConnectTimeoutException) {
            // The peer may have accepted it.
            usage.startClosing();
            loop.schedule(() -> gone(true), halfOpenTimeout, TimeUnit.NANOSECONDS);
        } else {
            gone(closing != null);
        }
    }

    private void gone(boolean left) {
        usage.removeConnection(left);
        serveSoon();
        if (isOverGrant && usage.open() <= usage.maxConnections()) {
            isOverGrant = false;
            withinGrantCallback.run();
        }
        if (usage.open() == 0 && emptyCallback != null) {
            emptyCallback.run();
            emptyCallback = null;
        }
    }

    /** Runs a callback once, when no connection is open at the peers any more. */
    public void onEmpty(Runnable then) {
        if (usage.open() == 0) {
            then.run();
        } else {
            emptyCallback = then;
        }
    }

    /** Closes a connection, which counts until the peer has closed it too. */
    void close(Channel channel) {
        if (!channel.isActive() || !(channel instanceof DuplexChannel duplex)) {
            channel.close();
        } else if (!channel.hasAttr(PeerCloseHandler.KEY)
                || channel.attr(PeerCloseHandler.KEY).get() == null) {
            PeerCloseHandler closing = new PeerCloseHandler();
            channel.attr(PeerCloseHandler.KEY).set(closing);
            usage.startClosing();
            channel.pipeline().addFirst(closing);
            channel.config().setAutoRead(true);
            duplex.shutdownOutput();
            Future<?> end = loop.schedule((Runnable) channel::close, halfOpenTimeout, TimeUnit.NANOSECONDS);
            channel.closeFuture().addListener(closed -> end.cancel(false));
        }
    }

    /** Discards what is still received; only the peer's end of the connection matters. */
    private static final class PeerCloseHandler extends ChannelInboundHandlerAdapter {
        private static final AttributeKey<PeerCloseHandler> KEY =
                AttributeKey.valueOf(PeerCloseHandler.class, "closing");

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ReferenceCountUtil.release(message);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            // Nothing was passed on to the other handlers.
        }
    }

    private void serveSoon() {
        if (!serveScheduled) {
            serveScheduled = true;
            loop.execute(this::serve);
        }
    }

    private boolean begin(PendingAttempt attempt, String tenant) {
        ConnectionUse use = new ConnectionUse(tenant);
        boolean may = attempt.begin(use);
        if (!may) {
            activeUses.remove(use);
        }
        return may;
    }

    private void retryServe() {
        retryTimer = null;
        serve();
    }

    private void serve() {
        if (serving) {
            return;
        }
        serving = true;
        serveScheduled = false;
        try {
            usage.serve(this::begin);
            usage.forEachWaiting(attempt -> {
                if (usage.shouldCloseIdle()) {
                    attempt.closeIdleConnection();
                }
            });
            if (usage.waiting() > 0 && retryTimer == null) {
                // No event reports when a connection's reuse delay ends, or when one that the process lent to another
                // pool is free.
                retryTimer = loop.schedule(this::retryServe, reuseDelay, TimeUnit.NANOSECONDS);
            }
        } finally {
            serving = false;
        }
    }
}
