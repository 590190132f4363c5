package rushpin.rig;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import io.netty.util.concurrent.PromiseCombiner;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * Faults between processes: a relay for each direction of each pair, from the one that connects to the one that listens.
 * Each process is told the relay's address in place of the other's, so that a pair can be cut for one of them alone. All
 * relays run on one loop; each switch is written down with {@link System#nanoTime}, once it is in force.
 */
final class Links implements AutoCloseable {
    /** Beyond so many, a link takes no more switches: a script that draws more is at fault. */
    private static final int MOST_SWITCHES = 100_000;

    private static final int MOST_RELAYS = 10_000, SWITCH_S = 30;
    private static final long MS = 1_000_000L;

    /** What a link does with what passes. */
    enum Mode {
        /** Passes all. */
        THROUGH,
        /** Passes nothing: open connections stay open, new ones come up and are dumb, nobody hears that one has ended. */
        SILENT,
        /** Takes no connection and ends those it has. */
        REFUSE,
        /** Breaks each connection, open or new. */
        RESET,
        /** Passes all, late: each piece by a span drawn anew, in order. */
        DELAY,
        /** Passes so many bytes a second. */
        TRICKLE,
        /** Passes what goes from the connecting side only; new connections are dumb, since a handshake needs both ways. */
        FORTH,
        /** Passes what goes to the connecting side only. */
        BACK
    }

    /**
     * A mode with its figures.
     *
     * @param least the shortest span of {@link Mode#DELAY}, nanoseconds
     * @param most the longest
     * @param bytes a second, in each direction, of {@link Mode#TRICKLE}
     */
    record Way(Mode mode, long least, long most, int bytes) {
        static final Way THROUGH = of(Mode.THROUGH),
                SILENT = of(Mode.SILENT),
                REFUSE = of(Mode.REFUSE),
                RESET = of(Mode.RESET),
                FORTH = of(Mode.FORTH),
                BACK = of(Mode.BACK);

        Way {
            if (least < 0 || most < least || mode == Mode.TRICKLE && bytes < 1) {
                throw new IllegalArgumentException("no such way: " + mode + " " + least + " " + most + " " + bytes);
            }
        }

        private static Way of(Mode mode) {
            return new Way(mode, 0, 0, 0);
        }

        static Way delay(long leastMs, long mostMs) {
            return new Way(Mode.DELAY, leastMs * MS, mostMs * MS, 0);
        }

        static Way trickle(int bytesASecond) {
            return new Way(Mode.TRICKLE, 0, 0, bytesASecond);
        }

        /** Whether bytes pass from the connecting side. */
        boolean forth() {
            return mode != Mode.SILENT && mode != Mode.BACK;
        }

        /** Whether bytes pass to the connecting side. */
        boolean back() {
            return mode != Mode.SILENT && mode != Mode.FORTH;
        }
    }

    /** One direction of a pair; or of a process to a group of servers, which then has a relay for each of them. */
    record Link(String from, String to) {}

    /** A switch that has been made. */
    record Switched(Link link, Way way, long at) {}

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final long seed;
    /** On the loop. */
    private final Map<Link, List<Relay>> relays = new LinkedHashMap<>();

    private int count;
    private final List<Switched> switched = new ArrayList<>();

    /** No links yet; their delays are drawn from the seed. */
    Links(long seed) {
        this.seed = seed;
    }

    /** Opens a link that passes all; the address that {@code from} is told in place of the other's own. */
    InetSocketAddress open(String from, String to, InetSocketAddress target) throws Exception {
        Link link = new Link(from, to);
        if (all().contains(link)) {
            throw new IllegalStateException("there is such a link: " + link);
        }
        return join(from, to, target);
    }

    /**
     * Adds a server to the group that a link goes to, and opens the link with the first; what it does, it does to all of
     * them. The address that {@code from} is told in place of the server's own.
     */
    InetSocketAddress join(String from, String to, InetSocketAddress target) throws Exception {
        Link link = new Link(from, to);
        Relay made = call(() -> {
            if (count == MOST_RELAYS) {
                throw new IllegalStateException("a relay too many: " + link);
            }
            Relay one = new Relay(loop, target, seed ^ link.hashCode() ^ (long) count++ << 32);
            relays.computeIfAbsent(link, none -> new ArrayList<>()).add(one);
            return one;
        });
        set(from, to, Way.THROUGH);
        return made.address();
    }

    /** Switches a link; returns when it is in force. */
    void set(String from, String to, Way way) throws Exception {
        call(() -> begin(new Link(from, to), way)).get(SWITCH_S, TimeUnit.SECONDS);
    }

    /** On the loop. The future is done when the switch is in force. */
    private Future<Void> begin(Link link, Way way) {
        List<Relay> all = relays.get(link);
        if (all == null || switched.size() == MOST_SWITCHES) {
            throw new IllegalStateException(all == null ? "no such link: " + link : "too many switches");
        }
        Promise<Void> done = loop.newPromise();
        PromiseCombiner turns = new PromiseCombiner(loop);
        all.forEach(relay -> turns.add(relay.turn(way)));
        turns.finish(done);
        return done.addListener(made -> {
            if (made.isSuccess()) {
                switched.add(new Switched(link, way, System.nanoTime()));
            }
        });
    }

    /** Switches both links of a pair, those of the two that there are. */
    void both(String one, String other, Way way) throws Exception {
        for (Link link : all()) {
            if (link.from.equals(one) && link.to.equals(other) || link.from.equals(other) && link.to.equals(one)) {
                set(link.from, link.to, way);
            }
        }
    }

    /** No byte from {@code mute} reaches {@code deaf} any more, whoever of them has connected; the other way all passes. */
    void cutOneWay(String mute, String deaf) throws Exception {
        for (Link link : all()) {
            if (link.from.equals(mute) && link.to.equals(deaf)) {
                set(link.from, link.to, Way.BACK);
            } else if (link.from.equals(deaf) && link.to.equals(mute)) {
                set(link.from, link.to, Way.FORTH);
            }
        }
    }

    /** Switches all links of a process, or all links to a group of servers, in either direction. */
    void around(String end, Way way) throws Exception {
        for (Link link : all()) {
            if (link.from.equals(end) || link.to.equals(end)) {
                set(link.from, link.to, way);
            }
        }
    }

    /** All passes again, everywhere. */
    void heal() throws Exception {
        for (Link link : all()) {
            set(link.from, link.to, Way.THROUGH);
        }
    }

    List<Link> all() throws Exception {
        return call(() -> List.copyOf(relays.keySet()));
    }

    /** The switches so far, in order. */
    List<Switched> switched() throws Exception {
        return call(() -> List.copyOf(switched));
    }

    /** Bytes that a link holds now, read and not yet passed on; for tests of its bounds. */
    long held(String from, String to) throws Exception {
        return call(() ->
                relays.get(new Link(from, to)).stream().mapToLong(Relay::held).sum());
    }

    /** Bytes that a link has taken so far, both ways together. */
    long taken(Link link) throws Exception {
        return call(() -> relays.get(link).stream().mapToLong(Relay::taken).sum());
    }

    /** Plays timed faults from now on; the future is done when the last is over, or failed by the first switch that did. */
    CompletableFuture<Void> play(List<LinkFaults.Fault> faults) {
        CompletableFuture<Void> over = new CompletableFuture<>();
        long end = 0;
        for (LinkFaults.Fault fault : faults) {
            at(fault.fromMs(), fault.link(), fault.way(), over);
            at(fault.fromMs() + fault.forMs(), fault.link(), Way.THROUGH, over);
            end = Math.max(end, fault.fromMs() + fault.forMs());
        }
        // After the last switch: tasks of one moment run in the order in which they were given.
        loop.schedule(() -> over.complete(null), end, TimeUnit.MILLISECONDS);
        return over;
    }

    private void at(long ms, Link link, Way way, CompletableFuture<Void> over) {
        loop.schedule(
                () -> {
                    try {
                        begin(link, way).addListener(done -> {
                            if (!done.isSuccess()) {
                                over.completeExceptionally(done.cause());
                            }
                        });
                    } catch (IllegalStateException e) {
                        over.completeExceptionally(e);
                    }
                },
                ms,
                TimeUnit.MILLISECONDS);
    }

    private <T> T call(Callable<T> work) throws Exception {
        try {
            return loop.submit(work).get(SWITCH_S, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            throw e.getCause() instanceof Exception cause ? cause : e;
        }
    }

    @Override
    public void close() {
        loop.submit(() -> relays.values().forEach(all -> all.forEach(Relay::close)))
                .syncUninterruptibly();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
