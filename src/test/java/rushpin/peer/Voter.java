package rushpin.peer;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import rushpin.accord.Command;
import rushpin.accord.Outcome;
import rushpin.accord.Report;
import rushpin.accord.log.Carrier;

/** A voter on loopback with a door to its log that a test sets. */
final class Voter implements Ballots, AutoCloseable {
    static final long MS = 1_000_000L;

    final String name;
    final Sockets sockets = new Sockets();
    final Links links;
    final SessionDesk desk;
    final PeerServer server;
    final LinkedBlockingQueue<Command> proposed = new LinkedBlockingQueue<>();
    final LinkedBlockingQueue<Report> reports = new LinkedBlockingQueue<>();
    final LinkedBlockingQueue<CompletableFuture<byte[]>> held = new LinkedBlockingQueue<>();
    volatile String leader, planner;
    /** Whether proposals and requests wait until the test ends them. */
    volatile boolean holds;

    final LinkedBlockingQueue<CompletableFuture<Outcome>> heldProposals = new LinkedBlockingQueue<>();

    Voter(String name, Pace pace, Map<String, InetSocketAddress> others) throws IOException {
        this(name, pace, others, 50, 50);
    }

    /** On a port that was its own before. */
    Voter(String name, Pace pace, Map<String, InetSocketAddress> others, int port) throws IOException {
        this(name, pace, others, 50, 50, port);
    }

    Voter(String name, Pace pace, Map<String, InetSocketAddress> others, int connections, int streams)
            throws IOException {
        this(name, pace, others, connections, streams, 0);
    }

    private Voter(String name, Pace pace, Map<String, InetSocketAddress> others, int connections, int streams, int port)
            throws IOException {
        this.name = name;
        links = new Links(others, sockets);
        desk = new SessionDesk(name, this, links, streams, pace, reports::add);
        server = new PeerServer(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port), connections, this, desk, sockets);
        server.start();
    }

    InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port());
    }

    @Override
    public CompletableFuture<Outcome> propose(Command command) {
        if (!name.equals(leader)) {
            return CompletableFuture.failedFuture(new Elsewhere(leader));
        }
        proposed.add(command);
        if (holds) {
            CompletableFuture<Outcome> later = new CompletableFuture<>();
            heldProposals.add(later);
            return later;
        }
        return CompletableFuture.completedFuture(
                command instanceof Command.Acquire acquire
                        ? new Outcome.Granted(acquire.resource(), 7)
                        : new Outcome.Done());
    }

    /** Answers with the name of the kind and the bytes. */
    @Override
    public CompletableFuture<byte[]> received(Carrier.Kind kind, byte[] body) {
        if (holds) {
            CompletableFuture<byte[]> later = new CompletableFuture<>();
            held.add(later);
            return later;
        }
        byte[] answer = new byte[body.length + 1];
        answer[0] = (byte) kind.ordinal();
        System.arraycopy(body, 0, answer, 1, body.length);
        return CompletableFuture.completedFuture(answer);
    }

    @Override
    public String leader() {
        return leader;
    }

    @Override
    public String planner() {
        return planner;
    }

    @Override
    public Introduced introduce(Introduced theirs) {
        return new Introduced(name, "id of " + name, true, theirs.era(), null, List.of(theirs.id()));
    }

    @Override
    public void close() {
        desk.close();
        server.close();
        desk.end();
        links.close();
        sockets.close();
    }
}
