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
import rushpin.pooling.Permit;

/**
 * Keeps a pool to its permit at a group of app servers that takes a number of connections from all processes together; on
 * the pool's loop. A connection counts from the moment before it is made until its other side has ended it, or has had to:
 * a close sends our end and waits for theirs, {@code halfOpen} at most.
 *
 * <p>The permit is looked at right before each connect. A process that stands still between the look and the connect, for
 * longer than all that the fleet waits for, makes one connection that nothing allows any more; at the next turn of the loop,
 * where it was due to end, it is closed.
 */
public final class GroupGate {
    /** What an attempt is to a line. */
    interface Sending {
        /** Whose it is. */
        Request request();

        /** For how long it may wait and be carried, nanoseconds. */
        long patience();

        /** Begins by a connection that is there or may be made, which carries it; false if there is none. */
        boolean begin(Carrying by);

        /** An idle connection to another server should give way for it. */
        void makeRoom();

        /** It has waited for nothing: it was not sent. */
        void unsent();
    }

    /** A connection's use for a tenant; over once. */
    final class Carrying {
        private final String tenant;
        private final long since = System.nanoTime();
        private boolean over;
        private Channel channel;

        private Carrying(String tenant) {
            this.tenant = tenant;
            carrying.add(this);
        }

        /** What carries. */
        void on(Channel by) {
            channel = by;
        }

        void end() {
            if (!over) {
                over = true;
                carrying.remove(this);
                // A long answer, or an end that is waited for, says little of what the next one in line waits for.
                mean += MEAN * (Math.min(System.nanoTime() - since, longest) - mean);
                ration.release(tenant);
                serveSoon();
            }
        }
    }

    /** Weight of one use in what is known of how long a use takes. */
    private static final double MEAN = 0.1;

    private final EventLoop loop;
    private final long rest;
    private long halfOpen, longest;
    private final Function<Request, String> tenants;
    private final Runnable shrink;
    private final ConnectionBudget<Sending> ration = new ConnectionBudget<>();
    /** What is carried, oldest first. */
    private final Set<Carrying> carrying = new LinkedHashSet<>();

    private Permit permit = Permit.NONE;
    private Future<?> due, retry;
    /** What is still carried is cut so long after each end of the last permit that had one: the lease's, and the own part's. */
    private final List<Future<?>> cuts = new ArrayList<>(2);

    private Permit ends = Permit.NONE;
    private Runnable empty, down = () -> {};
    private boolean serving, later, isOver;
    private double mean;

    /**
     * Nothing may be made yet.
     *
     * @param halfOpen after so long, nanoseconds, servers end a connection on which nothing comes
     * @param longest so long after a lease's end a connection beyond what is left is closed, whatever it carries
     * @param rest so long after an answer a connection may be used again
     * @param tenants whose a request is
     * @param shrink closes idle connections while there {@link #mustShrink must be} fewer
     */
    GroupGate(
            EventLoop loop,
            long halfOpen,
            long longest,
            long rest,
            Function<Request, String> tenants,
            Runnable shrink) {
        this.loop = loop;
        this.halfOpen = halfOpen;
        this.longest = longest;
        this.rest = rest;
        this.tenants = tenants;
        this.shrink = shrink;
    }

    /** From now on this holds; what is beyond it ends at once if it is idle, else with the request that it carries. */
    public void setGrant(Permit next) {
        permit = next;
        look();
    }

    /** The operator says that an end may take longer than was said; what was said stays where it is more. */
    public void raiseTimeouts(long halfOpenNow, long longestNow) {
        halfOpen = Math.max(halfOpen, halfOpenNow);
        longest = Math.max(longest, longestNow);
    }

    /** Tells each time that what was open beyond a permit, or beyond a lease, has ended at the other side too. */
    public void onWithinGrant(Runnable then) {
        down = then;
    }

    /** How many connections carry something. */
    int carrying() {
        return carrying.size();
    }

    /** What is in use. */
    public ConnectionBudget<?> usage() {
        return ration;
    }

    /** The permit as it is now, and again when its lease ends. */
    private void look() {
        if (due != null) {
            due.cancel(false);
            due = null;
        }
        long now = System.nanoTime();
        ration.set(permit.at(now), permit.tenants());
        // A pool that is being replaced has no permit any more: its last lease's end is still an end of what it
        // carries.
        ends = permit == Permit.NONE ? ends : permit;
        if (ends != Permit.NONE) {
            ends(now);
        }
        shrink.run();
        isOver = ration.open() > ration.maxConnections();
        if (ration.maxConnections() == 0) {
            ration.drain().forEach(Sending::unsent);
        }
        serve();
    }

    private void ends(long now) {
        boolean lasts = now - ends.until() < 0;
        long next = lasts ? ends.until() : ends.forget();
        if (now - next < 0) {
            due = loop.schedule(this::look, next - now, TimeUnit.NANOSECONDS);
        }
        if (lasts) {
            cuts.forEach(cut -> cut.cancel(false));
            cuts.clear();
            return;
        }
        if (cuts.isEmpty()) {
            cutAfter(ends.until(), now);
        }
        if (cuts.size() == 1 && now - ends.forget() >= 0) {
            cutAfter(ends.forget(), now);
        }
    }

    private void cutAfter(long end, long now) {
        cuts.add(loop.schedule(() -> cut(end), Math.max(0, end + longest - now), TimeUnit.NANOSECONDS));
    }

    /** The fleet waits no longer: what has been carried since before an end and is beyond what is left goes. */
    private void cut(long end) {
        for (Carrying each : List.copyOf(carrying)) {
            if (ration.mustShrink() && each.since - end < 0 && each.channel != null) {
                part(each.channel);
            }
        }
    }

    /** Sends an attempt now, or when its turn comes; false if it can't be. */
    boolean send(Sending attempt) {
        String tenant = tenants.apply(attempt.request());
        // Known to come too late, it is told so now.
        boolean may = ration.waitingPerConnection(tenant) * mean < attempt.patience() && ration.enqueue(tenant, attempt);
        if (may) {
            serve();
        }
        return may;
    }

    /** An attempt waits no more. */
    void leave(Sending attempt) {
        // In whichever line: tenants may have changed since.
        ration.cancel(attempt);
    }

    /** The last look before a connect. */
    boolean acquireConnection() {
        int most = permit.at(System.nanoTime());
        if (most != ration.maxConnections()) {
            // A lease has ended, and its timer is yet to come.
            look();
        }
        return ration.acquireConnection();
    }

    /** What was taken was not used. */
    void releaseConnection() {
        ration.removeConnection(false);
    }

    /** Whether connections must go. */
    boolean mustShrink() {
        return ration.mustShrink();
    }

    /**
     * A connection that was taken has ended.
     *
     * @param opened the channel that it was; null if it never came up
     * @param failure why it could not be made; null if it was
     */
    void ended(Channel opened, Throwable failure) {
        Parting parting = opened == null ? null : opened.attr(Parting.KEY).getAndSet(null);
        if (failure instanceof ConnectTimeoutException) {
            // It may have come up at the other side.
            ration.startClosing();
            loop.schedule(() -> gone(true), halfOpen, TimeUnit.NANOSECONDS);
        } else {
            gone(parting != null);
        }
    }

    private void gone(boolean left) {
        ration.removeConnection(left);
        serveSoon();
        if (isOver && ration.open() <= ration.maxConnections()) {
            isOver = false;
            down.run();
        }
        if (ration.open() == 0 && empty != null) {
            empty.run();
            empty = null;
        }
    }

    /** Tells, once, when nothing is open at the other side any more. */
    public void onEmpty(Runnable then) {
        if (ration.open() == 0) {
            then.run();
        } else {
            empty = then;
        }
    }

    /** Closes a connection; it counts until the other side has. */
    void part(Channel channel) {
        if (!channel.isActive() || !(channel instanceof DuplexChannel duplex)) {
            channel.close();
        } else if (!channel.hasAttr(Parting.KEY) || channel.attr(Parting.KEY).get() == null) {
            Parting parting = new Parting();
            channel.attr(Parting.KEY).set(parting);
            ration.startClosing();
            channel.pipeline().addFirst(parting);
            channel.config().setAutoRead(true);
            duplex.shutdownOutput();
            Future<?> end = loop.schedule((Runnable) channel::close, halfOpen, TimeUnit.NANOSECONDS);
            channel.closeFuture().addListener(closed -> end.cancel(false));
        }
    }

    /** What still comes is nobody's; only its end counts. */
    private static final class Parting extends ChannelInboundHandlerAdapter {
        private static final AttributeKey<Parting> KEY = AttributeKey.valueOf(Parting.class, "parting");

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ReferenceCountUtil.release(message);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            // Nothing was passed on.
        }
    }

    private void serveSoon() {
        if (!later) {
            later = true;
            loop.execute(this::serve);
        }
    }

    private boolean begin(Sending attempt, String tenant) {
        Carrying by = new Carrying(tenant);
        boolean may = attempt.begin(by);
        if (!may) {
            carrying.remove(by);
        }
        return may;
    }

    private void again() {
        retry = null;
        serve();
    }

    private void serve() {
        if (serving) {
            return;
        }
        serving = true;
        later = false;
        try {
            ration.serve(this::begin);
            ration.forEachWaiting(attempt -> {
                if (ration.shouldCloseIdle()) {
                    attempt.makeRoom();
                }
            });
            if (ration.waiting() > 0 && retry == null) {
                // A connection that rests, or one that the process has lent elsewhere, tells nobody when it may be
                // used.
                retry = loop.schedule(this::again, rest, TimeUnit.NANOSECONDS);
            }
        } finally {
            serving = false;
        }
    }
}
