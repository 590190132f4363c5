package rushpin.membership;

import java.net.SocketAddress;
import rushpin.gateway.Ports.Readiness;
import rushpin.gateway.Ports.Server;

/** An app server and the address at which this edge node reaches it. */
public record Member(Server server, SocketAddress address) {
    /** Whether new requests may go to it. */
    public boolean isReady() {
        return server.readiness() == Readiness.READY;
    }

    /** Whether it is no longer listed. */
    public boolean isGone() {
        return server.readiness() == Readiness.GONE;
    }

    /** The same server, draining: it finishes its requests and gets no new ones. */
    public Member draining() {
        return new Member(
                new Server(
                        server.id(),
                        server.size(),
                        server.zone(),
                        server.cell(),
                        server.kind(),
                        Readiness.DRAINING,
                        server.startedAt()),
                address);
    }

    /** The same server with another start time; 0 for long ago, else nanoseconds by this node's clock. */
    public Member startedAt(long startNanos) {
        return new Member(
                new Server(
                        server.id(),
                        server.size(),
                        server.zone(),
                        server.cell(),
                        server.kind(),
                        server.readiness(),
                        startNanos),
                address);
    }

    /** The same server, no longer listed. */
    public Member gone() {
        return new Member(gone(server), address);
    }

    /** The same server, no longer listed. */
    public static Server gone(Server server) {
        return new Server(
                server.id(),
                server.size(),
                server.zone(),
                server.cell(),
                server.kind(),
                Readiness.GONE,
                server.startedAt());
    }
}
