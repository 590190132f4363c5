package rushpin.net.xds;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import rushpin.gateway.Ports.ListKind;
import rushpin.membership.Member;
import rushpin.membership.Names;
import rushpin.membership.ServerListUpdate;
import rushpin.membership.xds.ClusterSpec;
import rushpin.membership.xds.ClusterView;
import rushpin.membership.xds.Endpoints;
import rushpin.membership.xds.ReconnectBackoff;
import rushpin.membership.xds.Subscription;
import rushpin.net.DiscoveryClient;
import rushpin.net.ErrorLog;

/**
 * A pool's servers from an xDS management server or file. Messages are read and decided on a thread of its own, so that
 * a list of thousands takes no time from the pool's loop; what the pool is told goes to its loop, in order.
 *
 * <p>Bounds: one stream, one message at a time, {@link XdsConfig#mostMessage} bytes each, {@value #MOST_A_SECOND} a second.
 */
public final class XdsSource implements Subscription.Port, ClusterView.Port {
    private static final int MOST_A_SECOND = 100;
    private static final long MS = 1_000_000L, FIRST_WAIT = 200 * MS, MOST_WAIT = 10_000 * MS, SILENT = 15_000 * MS;
    private static final long LOOK_MS = 500;

    private final XdsConfig plan;
    private final LongSupplier wallMs;
    private final DiscoveryClient.Listener pool;
    private final EventLoop loop;
    private final String name;
    private final ClusterView view;
    private final Subscription subscription;
    private final ReconnectBackoff retry;
    private final ServerListCache lastGood;
    private final ScheduledExecutorService thread;
    private volatile GrpcStream stream;
    private InetSocketAddress lastAnswered;
    private double dropped;
    private boolean saving;
    private volatile boolean isReady, closed;

    /**
     * Connects nowhere yet; {@code known} is the list as last known, {@code state} the folder that keeps it, or null,
     * {@code wallMs} the machine's clock, Unix milliseconds, by which servers that are new are dated.
     */
    public XdsSource(
            XdsConfig plan,
            String pool,
            Names names,
            List<Member> known,
            Path state,
            long seed,
            EventLoop loop,
            DiscoveryClient.Listener listener,
            LongSupplier wallMs) {
        this.plan = plan;
        this.wallMs = wallMs;
        this.pool = listener;
        this.loop = loop;
        name = pool;
        view = new ClusterView(names, plan.rules(), known, this);
        subscription = new Subscription(plan.form(), plan.cluster(), plan.all(), this);
        retry = new ReconnectBackoff(
                Math.max(1, plan.servers().size()), FIRST_WAIT, MOST_WAIT, new SplittableRandom(seed));
        lastGood = state == null ? null : new ServerListCache(state, pool, names);
        thread = Executors.newSingleThreadScheduledExecutor(work -> {
            Thread made = new Thread(work, "xds " + pool);
            made.setDaemon(true);
            return made;
        });
    }

    /** Begins. */
    public void start(boolean hasList) {
        // With a list from before, a management server that is away must not keep the node from serving.
        long patience = hasList ? 1_000 * MS : plan.rules().warming();
        thread.schedule(
                () -> {
                    isReady = true;
                },
                patience,
                TimeUnit.NANOSECONDS);
        thread.scheduleWithFixedDelay(
                guarded(() -> {
                    view.time(System.nanoTime(), wall());
                    tellDropped();
                }),
                LOOK_MS,
                LOOK_MS,
                TimeUnit.MILLISECONDS);
        if (plan.path() != null) {
            FileWatch watch = new FileWatch(plan.path(), plan.cluster(), this);
            thread.scheduleWithFixedDelay(guarded(watch::look), 0, LOOK_MS, TimeUnit.MILLISECONDS);
        } else {
            thread.execute(guarded(this::connect));
        }
    }

    /** Whether a list has come, or has been waited for long enough. */
    public boolean isReady() {
        return isReady;
    }

    /** Hears nothing more. */
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        thread.execute(() -> {
            if (stream != null) {
                stream.close("the pool has ended");
            }
            // What the stream holds is released by tasks that are still to come here.
            thread.schedule(thread::shutdown, 1, TimeUnit.SECONDS);
        });
    }

    /** As {@link #close}, and waits up to 2 s until the stream has let go of all that it held; not for a loop. */
    public void closeAndAwait() {
        GrpcStream last = stream;
        close();
        long until = System.nanoTime() + 2_000 * MS;
        try {
            while (last != null && !last.isTerminated() && System.nanoTime() < until) {
                Thread.sleep(2);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A fault in one message or one look must not end what comes after it. */
    Runnable guarded(Runnable work) {
        return () -> {
            try {
                work.run();
            } catch (RuntimeException e) {
                ErrorLog.report("xds of pool " + name, e);
            }
        };
    }

    private void connect() {
        if (closed) {
            return;
        }
        InetSocketAddress to = plan.servers().get(retry.server());
        try {
            stream = new GrpcStream(plan, to, loop, thread, this);
        } catch (IOException | IllegalArgumentException e) {
            // Netty says by the second that a file holds no certificate or key: it may hold one the next time.
            log("the management server " + to + " cannot be asked: " + e.getMessage());
            again(false);
            return;
        }
        GrpcStream opened = stream;
        subscription.opened(to.equals(lastAnswered));
        thread.schedule(
                guarded(() -> {
                    if (opened == stream && !opened.hasAnswered()) {
                        opened.close("no answer for " + SILENT / 1_000 / MS + " s");
                        ended(opened, "no answer");
                    }
                }),
                SILENT,
                TimeUnit.NANOSECONDS);
    }

    private void again(boolean hadAnswered) {
        long wait = retry.ended(hadAnswered);
        try {
            thread.schedule(guarded(this::connect), wait, TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            // The pool has ended.
        }
    }

    /** An answer; the stream asks for the next one when this is done, and not faster than so many a second. */
    void answered(GrpcStream from, Subscription.Answer answer) {
        if (from == stream && !closed) {
            lastAnswered = from.server();
            subscription.answered(answer);
            thread.schedule(from::next, 1_000 / MOST_A_SECOND, TimeUnit.MILLISECONDS);
        }
    }

    /** A stream has ended; what was taken stays in force. */
    void ended(GrpcStream of, String why) {
        if (of != stream || closed) {
            return;
        }
        stream = null;
        subscription.closed();
        log("the stream to the management server " + of.server() + " has ended: " + why + "; the list stays as it is");
        again(of.hasAnswered());
    }

    @Override
    public void ask(Subscription.ResourceRequest ask) {
        stream.send(ask);
    }

    @Override
    public void giveUp(String why) {
        GrpcStream of = stream;
        of.close(why);
        ended(of, why);
    }

    @Override
    public void cluster(ClusterSpec spec) {
        if (spec != null) {
            loop.execute(() -> pool.setLimits(spec.connectTimeout(), spec.maxConnections(), spec.maxRequests()));
        }
        view.cluster(spec, System.nanoTime(), wall());
    }

    @Override
    public void endpoints(Endpoints endpoints) {
        view.endpoints(endpoints, System.nanoTime(), wall());
        tellDropped();
    }

    /** Also what a guard held back and time has let through. */
    private void tellDropped() {
        if (view.dropped() != dropped) {
            dropped = view.dropped();
            double part = dropped;
            loop.execute(() -> pool.dropped(part));
        }
    }

    private long wall() {
        return wallMs.getAsLong() * MS;
    }

    @Override
    public void list(ServerListUpdate roll, boolean whole) {
        isReady = true;
        loop.execute(() -> pool.list(roll, whole ? ListKind.FULL : ListKind.DELTA));
        if (lastGood != null && !saving) {
            saving = true;
            thread.schedule(
                    guarded(() -> {
                        saving = false;
                        lastGood.save(new ArrayList<>(view.members()), this::log);
                    }),
                    1,
                    TimeUnit.SECONDS);
        }
    }

    @Override
    public void log(String text) {
        System.out.println(name + ": xds: " + text);
    }
}
