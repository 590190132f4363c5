package rushpin.net;

import io.netty.handler.codec.http.HttpRequest;

/** What the listening side asks of the process behind it; called on the listening side's loop. */
public interface ServerCallbacks {
    /** Where a request goes. */
    record Destination(Service service, String host) {}

    /** The pool a request belongs to; a refusal if there is none, or if its head can be read in two ways. */
    Destination route(HttpRequest head) throws RequestRejectedException;

    /** Whether new clients should come. */
    boolean ready();

    /** A client's connection has ended; so many are open. */
    void connectionEnded(int open);

    /** The pools' clock, nanoseconds. */
    long now();
}
