package rushpin.net;

import io.netty.channel.EventLoop;
import rushpin.gateway.Ports.Settings;
import rushpin.membership.Names;

/**
 * A pool as {@link ClientServer} sees it; called on the pool's loop. Only names and settings are read on the server's
 * loop: they change only where both loops are the same.
 */
public interface Service {
    /** The pool's name; empty for the platform's one pool. */
    String name();

    /** The event loop that owns the pool. */
    EventLoop loop();

    /** The names of the pool's classes and plans. */
    Names names();

    /** The settings of the pool's gateway. */
    Settings settings();

    /** Takes over a request with its body; calls exactly one method of its responder, now or later. */
    void take(OpenRequest request);

    /** The last byte of the body of a request that was taken over earlier came {@code age} nanoseconds ago at most. */
    void bodyReceived(OpenRequest request, long age);

    /** Keeps the deadline of a request that was taken over earlier at or before a time of the pools' clock. */
    void limitDeadline(OpenRequest request, long latestNanos);

    /** The client disconnected before it had its response. */
    void clientGone(OpenRequest request);
}
