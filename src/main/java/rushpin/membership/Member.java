package rushpin.membership;

import java.net.SocketAddress;
import rushpin.gateway.Ports.Readiness;
import rushpin.gateway.Ports.Server;

/** An app server and where this edge node reaches it. */
public record Member(Server server, SocketAddress address) {
    /** Whether new work may go to it. */
    public boolean isReady() {
        return server.readiness() == Readiness.READY;
    }

    /** Whether it is listed no more. */
    public boolean isGone() {
        return server.readiness() == Readiness.GONE;
    }

    /** The same server, which finishes what it has and gets nothing new. */
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

    /** The same server with another start; 0 for long ago, else nanoseconds by this node's clock. */
    public Member startedAt(long at) {
        return new Member(
                new Server(
                        server.id(),
                        server.size(),
                        server.zone(),
                        server.cell(),
                        server.kind(),
                        server.readiness(),
                        at),
                address);
    }

    /** The same server, gone. */
    public Member gone() {
        return new Member(gone(server), address);
    }

    /** The same server, gone. */
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
