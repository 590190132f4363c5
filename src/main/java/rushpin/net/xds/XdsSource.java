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
 * Provides a pool's servers from an xDS management server or file. Messages are read and evaluated on a separate
 * thread, so that a list of thousands takes no time of the pool's event loop; the results are passed to that loop in
 * order.
 *
 * <p>Bounds: one stream, one message at a time of at most {@link XdsConfig#maxMessageBytes} bytes, {@value
 * #MAX_MESSAGES_PER_SECOND} messages a second.
 */
public final class XdsSource implements Subscription.Port, ClusterView.Port {
    private static final int MAX_MESSAGES_PER_SECOND = 100;
    private static final long NANOS_PER_MS = 1_000_000L;
    private static final long INITIAL_BACKOFF = 200 * NANOS_PER_MS;
    private static final long MAX_BACKOFF = 10_000 * NANOS_PER_MS;
    /** A stream without a first response is closed after this many nanoseconds. */
    private static final long FIRST_ANSWER_TIMEOUT = 15_000 * NANOS_PER_MS;

    private static final long POLL_INTERVAL_MS = 500;

    private final XdsConfig config;
    private final LongSupplier wallMs;
    private final DiscoveryClient.Listener pool;
    private final EventLoop loop;
    private final String name;
    private final ClusterView view;
    private final Subscription subscription;
    private final ReconnectBackoff retry;
    private final ServerListCache listCache;
    private final ScheduledExecutorService thread;
    private volatile GrpcStream stream;
    private InetSocketAddress lastAnswered;
    private double dropped;
    private boolean saving;
    private volatile boolean isReady;
    private volatile boolean closed;

    /**
     * Creates a source that connects when it is started.
     *
     * @param known the last known list
     * @param state the folder in which the list is saved; null for none
     * @param wallMs the machine's clock in Unix milliseconds; it gives the start time of new servers
     */
    public XdsSource(
            XdsConfig config,
            String pool,
            Names names,
            List<Member> known,
            Path state,
            long seed,
            EventLoop loop,
            DiscoveryClient.Listener listener,
            LongSupplier wallMs) {
        this.config = config;
        this.wallMs = wallMs;
        this.pool = listener;
        this.loop = loop;
        name = pool;
        view = new ClusterView(names, config.rules(), known, this);
        subscription = new Subscription(config.form(), config.cluster(), config.all(), this);
        retry = new ReconnectBackoff(
                Math.max(1, config.servers().size()), INITIAL_BACKOFF, MAX_BACKOFF, new SplittableRandom(seed));
        listCache = state == null ? null : new ServerListCache(state, pool, names);
        thread = Executors.newSingleThreadScheduledExecutor(work -> {
            Thread made = new Thread(work, "xds " + pool);
            made.setDaemon(true);
            return made;
        });
    }

    /**
     * Starts to read the file or to connect.
     *
     * @param hasList whether there is a list from an earlier process
     */
    public void start(boolean hasList) {
        // With an earlier list, the node serves even if the management server is unavailable.
        long patience = hasList ? 1_000 * NANOS_PER_MS : config.rules().warming();
        thread.schedule(
                () -> {
                    isReady = true;
                },
                patience,
                TimeUnit.NANOSECONDS);
        thread.scheduleWithFixedDelay(
                guarded(() -> {
                    view.time(System.nanoTime(), wallNanos());
                    notifyDropped();
                }),
                POLL_INTERVAL_MS,
                POLL_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
        if (config.path() != null) {
            FileWatch watch = new FileWatch(config.path(), config.cluster(), this);
            thread.scheduleWithFixedDelay(guarded(watch::poll), 0, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
        } else {
            thread.execute(guarded(this::connect));
        }
    }

    /** Returns whether a list has arrived or the wait for one is over; any thread. */
    public boolean isReady() {
        return isReady;
    }

    /** Closes the stream; no further list is passed on. */
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        thread.execute(() -> {
            if (stream != null) {
                stream.close("the pool has ended");
            }
            // The stream's resources are released by tasks that run on this thread later.
            thread.schedule(thread::shutdown, 1, TimeUnit.SECONDS);
        });
    }

    /**
     * Does the same as {@link #close}, and waits up to 2 s until the stream has released its resources; not for an
     * event loop.
     */
    public void closeAndAwait() {
        GrpcStream last = stream;
        close();
        long until = System.nanoTime() + 2_000 * NANOS_PER_MS;
        try {
            while (last != null && !last.isTerminated() && System.nanoTime() < until) {
                Thread.sleep(2);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Wraps a task so that an exception in it is reported and does not end the tasks that follow. */
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
        InetSocketAddress to = config.servers().get(retry.server());
        try {
            stream = new GrpcStream(config, to, loop, thread, this);
        } catch (IOException | IllegalArgumentException e) {
            // Netty throws an IllegalArgumentException if a file holds no certificate or key; the file may be complete
            // at the next try.
            log("the management server " + to + " cannot be asked: " + e.getMessage());
            reconnect(false);
            return;
        }
        GrpcStream opened = stream;
        subscription.opened(to.equals(lastAnswered));
        thread.schedule(
                guarded(() -> {
                    if (opened == stream && !opened.hasAnswered()) {
                        opened.close("no answer for " + FIRST_ANSWER_TIMEOUT / 1_000 / NANOS_PER_MS + " s");
                        ended(opened, "no answer");
                    }
                }),
                FIRST_ANSWER_TIMEOUT,
                TimeUnit.NANOSECONDS);
    }

    private void reconnect(boolean hadAnswered) {
        long wait = retry.ended(hadAnswered);
        try {
            thread.schedule(guarded(this::connect), wait, TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            // The pool has been closed.
        }
    }

    /** Handles a response. The stream requests the next one afterwards, at the maximum rate. */
    void answered(GrpcStream from, Subscription.Answer answer) {
        if (from == stream && !closed) {
            lastAnswered = from.server();
            subscription.answered(answer);
            thread.schedule(from::requestNext, 1_000 / MAX_MESSAGES_PER_SECOND, TimeUnit.MILLISECONDS);
        }
    }

    /** Handles the end of a stream. The list stays as it is. */
    void ended(GrpcStream ended, String why) {
        if (ended != stream || closed) {
            return;
        }
        stream = null;
        subscription.closed();
        log("the stream to the management server " + ended.server() + " has ended: " + why
                + "; the list stays as it is");
        reconnect(ended.hasAnswered());
    }

    @Override
    public void ask(Subscription.ResourceRequest ask) {
        stream.send(ask);
    }

    @Override
    public void giveUp(String why) {
        GrpcStream current = stream;
        current.close(why);
        ended(current, why);
    }

    @Override
    public void cluster(ClusterSpec spec) {
        if (spec != null) {
            loop.execute(() -> pool.setLimits(spec.connectTimeout(), spec.maxConnections(), spec.maxRequests()));
        }
        view.cluster(spec, System.nanoTime(), wallNanos());
    }

    @Override
    public void endpoints(Endpoints endpoints) {
        view.endpoints(endpoints, System.nanoTime(), wallNanos());
        notifyDropped();
    }

    /** Passes on a changed drop fraction, including one that the guard against large removals delayed. */
    private void notifyDropped() {
        if (view.dropped() != dropped) {
            dropped = view.dropped();
            double part = dropped;
            loop.execute(() -> pool.dropped(part));
        }
    }

    private long wallNanos() {
        return wallMs.getAsLong() * NANOS_PER_MS;
    }

    @Override
    public void list(ServerListUpdate roll, boolean whole) {
        isReady = true;
        loop.execute(() -> pool.list(roll, whole ? ListKind.FULL : ListKind.DELTA));
        if (listCache != null && !saving) {
            saving = true;
            thread.schedule(
                    guarded(() -> {
                        saving = false;
                        listCache.save(new ArrayList<>(view.members()), this::log);
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
