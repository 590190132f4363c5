package rushpin.node;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.SocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import rushpin.gateway.Gateway;
import rushpin.gateway.Ports;
import rushpin.gateway.Ports.ListKind;
import rushpin.gateway.Ports.Outcome;
import rushpin.gateway.Ports.Result;
import rushpin.gateway.Ports.Server;

/**
 * A real edge node: carries what happens on the sockets to the decision module and its actions back. All of it
 * runs on one event loop thread, so nothing here is locked and the module's contract of one caller holds.
 */
public final class EdgeNode implements Ports.Actions, AutoCloseable {
    private static final long MS = 1_000_000L;
    /** By so much the module sees each deadline early: its last answer is written before the client leaves. */
    private static final long ANSWER_MARGIN = 12 * MS;
    /** So long before the client's deadline a request that the module has left unanswered is failed. */
    private static final long LAST_MOMENT = 6 * MS;
    /** How long connections go on coming after SIGTERM (0.4 s at most), and some more. */
    private static final long DRAIN_GRACE = 600 * MS;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    /** The module's clock: the wall's time at the start, going on by the clock that never jumps. */
    private final long clockOffset = System.currentTimeMillis() * MS - System.nanoTime();
    private final Map<String, OpenRequest> open = new HashMap<>();
    private final ByteBudget budget;
    private final ServerPool pool;
    private final CounterClient counter;
    private final DiscoveryClient discovery;
    private final ClientServer clients;
    private final Config config;
    private Gateway gateway;
    private boolean inside;

    public EdgeNode(Config config) {
        this.config = config;
        budget = new ByteBudget(config.memory());
        pool = new ServerPool(this, loop, config);
        counter = new CounterClient(this::counted, loop, config);
        discovery = new DiscoveryClient(this, loop, config);
        clients = new ClientServer(this, loop, config, budget);
    }

    /** Begins to serve; returns when the listening socket is bound. */
    public void start() throws Exception {
        loop.submit(() -> {
            gateway = new Gateway(config.settings(), config.seed(), now(), this);
            list(config.known(), ListKind.CACHED);
            discovery.start(config.known().revision());
        }).get();
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
        loop.execute(() -> {
            discovery.move(changed.discovery());
            if (changed.counter() != null) {
                counter.move(changed.counter());
            }
        });
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

    long now() {
        return System.nanoTime() + clockOffset;
    }

    /**
     * Runs one event of the module. Sockets may report within an action, that is within an event, and the
     * module must not be entered twice: such a report waits for the loop.
     */
    private void event(OpenRequest about, LongConsumer call) {
        if (inside) {
            loop.execute(() -> event(about, call));
            return;
        }
        inside = true;
        try {
            call.accept(now());
        } catch (RuntimeException e) {
            // One request's trouble must not end the process, nor leave that request without an answer.
            trouble("the module failed", e);
            if (about != null) {
                fail(about);
                // The module must not go on counting it; an attempt that is out still ends.
                loop.execute(() -> event(null, now -> gateway.clientGone(now, about.request.id())));
            }
        } finally {
            inside = false;
        }
    }

    static void trouble(String what, Throwable e) {
        StackTraceElement[] at = e.getStackTrace();
        System.err.println(what + ": " + e + (at.length > 0 ? " at " + at[0] : ""));
    }

    /** The list of app servers, or changes to it. */
    void list(Config.Roll roll, ListKind kind) {
        List<Server> told = pool.update(roll, kind != ListKind.DELTA);
        event(null, now -> gateway.list(now, kind, told));
    }

    /** Whether discovery has been heard, or has been silent for so long that the known list must do. */
    boolean ready() {
        return discovery.heard();
    }

    /** The deadline that the module is told, for a client that waits {@code span} from now. */
    long deadline(long now, long span) {
        return now + Math.max(MS, span - ANSWER_MARGIN);
    }

    /** Takes a request; false if its id is that of one still open. */
    boolean take(OpenRequest taken) {
        if (open.putIfAbsent(taken.request.id(), taken) != null) {
            return false;
        }
        long left = taken.request.deadline() + ANSWER_MARGIN - LAST_MOMENT - now();
        // The backstop for a module that is late: no request may be left without an answer.
        taken.overdue = loop.schedule(() -> overdue(taken), Math.max(0, left), TimeUnit.NANOSECONDS);
        budget.change(taken.body.readableBytes());
        event(taken, now -> gateway.request(now, taken.request));
        return true;
    }

    private void overdue(OpenRequest late) {
        if (!late.answered) {
            fail(late);
            event(null, now -> gateway.clientGone(now, late.request.id()));
        }
    }

    /** The client left before its answer. */
    void clientGone(OpenRequest gone) {
        if (gone.answerOnce() != null) {
            settle(gone);
            event(gone, now -> gateway.clientGone(now, gone.request.id()));
        }
    }

    /** An attempt ended; {@code body} is an app server's whole 200 answer, and stays the caller's. */
    void attemptEnded(OpenRequest of, Outcome outcome, long took, String server, double units, ByteBuf body) {
        of.attemptOut = false;
        int attempt = of.attempts - 1;
        if (outcome == Outcome.OK) {
            OpenRequest.Answers answers = of.answerOnce();
            if (answers != null) {
                answers.served(body);
            }
        }
        boolean complete = of.answered;
        event(of, now -> gateway.attemptEnded(now,
            new Result(of.request.id(), outcome, took, server, complete, attempt, units, List.of())));
        settle(of);
    }

    private void counted(long name, Outcome outcome, double total) {
        event(null, now -> gateway.counted(now, name, outcome, total));
    }

    /** Forgets a request once it is answered and no attempt of it is out. */
    private void settle(OpenRequest of) {
        if (of.answered && !of.attemptOut && open.remove(of.request.id(), of)) {
            of.overdue.cancel(false);
            budget.change(-of.body.readableBytes());
            of.body.release();
        }
    }

    @Override
    public void send(String id, String server, long patience) {
        OpenRequest of = open.get(id);
        if (of == null || of.answered || of.attemptOut) {
            // It may not go out, but the module counts it as out until it hears how it ended.
            Result moot = new Result(id, Outcome.NOT_SENT, 0, server, of == null || of.answered, 0, 0, List.of());
            loop.execute(() -> event(null, now -> gateway.attemptEnded(now, moot)));
            return;
        }
        of.attempts++;
        of.attemptOut = true;
        pool.send(of, server, patience);
    }

    @Override
    public void refuse(String id, long retryAfter) {
        OpenRequest of = open.get(id);
        OpenRequest.Answers answers = of == null ? null : of.answerOnce();
        if (answers != null) {
            answers.refused(retryAfter);
            settle(of);
        }
    }

    @Override
    public void fail(String id) {
        OpenRequest of = open.get(id);
        if (of != null) {
            fail(of);
        }
    }

    private void fail(OpenRequest of) {
        OpenRequest.Answers answers = of.answerOnce();
        if (answers != null) {
            answers.failed();
            settle(of);
        }
    }

    @Override
    public void probe(String server) {
        // The site does not allow it, and the module asks only where the settings do.
    }

    @Override
    public void count(long name, double amount, long lifetime) {
        counter.count(name, amount, lifetime);
    }

    @Override
    public void timer(long token, long span) {
        loop.schedule(() -> event(null, now -> gateway.timer(now, token)), span, TimeUnit.NANOSECONDS);
    }

    @Override
    public void watchList() {
        // Discovery is watched from the start and again whenever a watch ends.
    }

    @Override
    public void log(String text) {
        System.out.println(text);
    }
}
