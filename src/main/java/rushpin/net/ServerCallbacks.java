package rushpin.net;

import io.netty.handler.codec.http.HttpRequest;

/** Callbacks by which {@link ClientServer} asks and notifies the node; called on the server's loop. */
public interface ServerCallbacks {
    /**
     * Where a request goes.
     *
     * @param service the pool that serves it
     * @param host the authority as the client named it, or null if it is not passed on
     */
    record Destination(Service service, String host) {}

    /**
     * Finds the pool of a request.
     *
     * @throws RequestRejectedException if no pool matches, or if the request head is ambiguous
     */
    Destination route(HttpRequest head) throws RequestRejectedException;

    /** Whether the node is ready for new clients. */
    boolean ready();

    /** Called when a client connection has been closed, with the number of those still open. */
    void connectionEnded(int open);

    /** The time of the pools' clock, in nanoseconds. */
    long now();
}
