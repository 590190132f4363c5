package rushpin.net;

import io.netty.channel.EventLoop;
import rushpin.gateway.Ports.Settings;
import rushpin.membership.Names;

/**
 * A pool as the listening side sees it, called on the pool's loop. Names and settings are read on the listening side's:
 * they change only where both are one.
 */
public interface Service {
    /** The pool's name; empty for the platform's one pool. */
    String name();

    /** The one thread that owns the pool. */
    EventLoop loop();

    /** What the pool's classes and plans are called. */
    Names names();

    /** What the pool's module was told. */
    Settings settings();

    /** Takes a request over, with its body; exactly one of the request's answers is called later or from within. */
    void take(OpenRequest request);

    /** The last byte of a request's body came {@code age} nanoseconds ago at most; the request had been taken without. */
    void bodyReceived(OpenRequest of, long age);

    /** The client left before its answer. */
    void clientGone(OpenRequest gone);
}
