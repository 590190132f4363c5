package rushpin.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;
import java.util.function.Consumer;
import rushpin.gateway.Ports.Request;

/** A request being handled: what is forwarded to app servers, and the state of the response to its client. */
public final class OpenRequest {
    /** Sends the one final response to the client; called on the pool's loop only. */
    public interface Responder {
        /** Sends an app server's response; the caller keeps the buffer. */
        void served(ByteBuf body);

        /**
         * Streams a long response as it comes.
         *
         * @param length its size in bytes, or -1 if unknown
         * @param ended notified on the pool's loop whether all of it was written
         */
        void streamed(BodyStream stream, long length, Consumer<Boolean> ended);

        /** Creates a stream to the client for a sender on the given loop. */
        BodyStream openStream(EventLoop senderLoop, BodyStream.Source source);

        /** Rejects the request, which had no effect; it may be retried after so many nanoseconds, 0 for no advice. */
        void refused(long retryAfter);

        /** Responds that the request failed; it may have had an effect. */
        void failed();

        /** Responds that a request with this id is already open; nothing is done for this one. */
        void duplicate();
    }

    final HttpMethod method;
    final String uri;
    final String key;
    final String host;
    private final String className;
    private Request request;
    private final ByteBuf body;
    private final Responder responder;
    /** The part of the body that is not in {@code body}; null if there is none. */
    private final BodyStream rest;
    /** Size of the whole body in bytes; -1 if unknown. */
    private final long length;
    /** How long the client waits once it has sent the last byte. */
    private final long timeoutNanos;

    private long deadlineNanos;
    /** The deadline is never later than this; {@link Long#MAX_VALUE} for no limit. */
    private long latestDeadlineNanos = Long.MAX_VALUE;

    private boolean whole;
    private int attempts;
    private boolean attemptInFlight;
    private boolean effectPossible;
    private boolean answered;
    private Future<?> timeoutTask;
    /** Since when the client's disconnect may be unread; {@link Long#MAX_VALUE} while it would be noticed. */
    private volatile long unwatchedSince = Long.MAX_VALUE;
    /** Ends the attempt in flight so that no more of the request reaches its server; null if there is none. */
    private Runnable attemptAbort;

    /**
     * Takes over the body.
     *
     * @param host as the client named it
     * @param rest the part of the body that is not in {@code body}; null if there is none
     * @param length size of the whole body in bytes; -1 if unknown
     * @param timeoutNanos how long the client waits once it has sent the last byte
     */
    OpenRequest(
            Request request,
            String className,
            HttpMethod method,
            String uri,
            String key,
            String host,
            ByteBuf body,
            Responder responder,
            BodyStream rest,
            long length,
            long timeoutNanos) {
        this.rest = rest;
        this.length = length;
        this.timeoutNanos = timeoutNanos;
        deadlineNanos = request.deadline();
        whole = rest == null;
        this.request = request;
        this.className = className;
        this.method = method;
        this.uri = uri;
        this.key = key;
        this.host = host;
        this.body = body;
        this.responder = responder;
    }

    /** The request as the gateway sees it. */
    public Request request() {
        return request;
    }

    /** The name of the request's class. */
    public String className() {
        return className;
    }

    /** Moves the deadline forward: the request came so many nanoseconds earlier than assumed. */
    public void shortenTimeout(long nanos) {
        if (nanos > 0) {
            deadlineNanos -= nanos;
            request = new Request(
                    request.id(),
                    request.requestClass(),
                    request.plan(),
                    request.customer(),
                    request.deadline() - nanos,
                    request.units(),
                    request.setSize(),
                    request.setFirst(),
                    request.repeat());
        }
    }

    /**
     * Keeps the deadline at or before a time, also when the last byte of the body comes later: the process may be
     * killed after it.
     */
    public void limitDeadline(long latestNanos) {
        latestDeadlineNanos = Math.min(latestDeadlineNanos, latestNanos);
        shortenTimeout(deadlineNanos - latestDeadlineNanos);
    }

    /** The part of the body that is not in {@link #body}; null if there is none. */
    BodyStream rest() {
        return rest;
    }

    /** Size of the whole body in bytes; -1 if it is not known yet. */
    long length() {
        return length;
    }

    /** How long the client waits once it has sent the last byte. */
    long timeoutNanos() {
        return timeoutNanos;
    }

    /** Creates a stream to the client for an app server connection on the given loop. */
    BodyStream openResponseStream(EventLoop senderLoop, BodyStream.Source source) {
        return responder.openStream(senderLoop, source);
    }

    /** When the client stops waiting, as far as is known. */
    public long deadlineNanos() {
        return deadlineNanos;
    }

    /** Whether the last byte of the body has arrived. */
    public boolean isWhole() {
        return whole;
    }

    /** Called when the last byte of the body arrived, at most {@code age} ago: the client's timeout starts then. */
    public void bodyReceived(long now, long age) {
        whole = true;
        deadlineNanos = Math.min(latestDeadlineNanos, now + timeoutNanos - Math.min(age, timeoutNanos));
    }

    /** The body, or its first part; the request owns it until {@link #settle}. */
    public ByteBuf body() {
        return body;
    }

    /** Whether its class is safe to repeat: the protocol sends such requests by GET, all others by POST. */
    public boolean isSafe() {
        return method.equals(HttpMethod.GET);
    }

    /** Records whether an attempt that has ended may have run. */
    public void attemptMayHaveRun(boolean mayHaveRun) {
        effectPossible |= mayHaveRun;
    }

    /** Whether an attempt may have run. */
    public boolean mayHaveRun() {
        return effectPossible;
    }

    /** The number of attempts begun. */
    public int attempts() {
        return attempts;
    }

    /** Whether an attempt is in flight. */
    public boolean isAttemptInFlight() {
        return attemptInFlight;
    }

    /** Called when an attempt begins; the one before has ended. */
    public void beginAttempt() {
        attempts++;
        attemptInFlight = true;
    }

    /** Called when the attempt in flight has ended. */
    public void endAttempt() {
        attemptInFlight = false;
    }

    /** Called on the client's loop when input after the request is left unread, so that a disconnect may be unseen. */
    void clientUnwatched(long since) {
        unwatchedSince = since;
    }

    /** Nanoseconds for which the client's disconnect may have been unread; 0 if it would be noticed. */
    public long unwatchedNanos() {
        long since = unwatchedSince;
        return since == Long.MAX_VALUE ? 0 : EarliestArrival.age(since);
    }

    /** Sets how the attempt in flight is ended early; null if it has ended. */
    void setAttemptAbort(Runnable abort) {
        attemptAbort = abort;
    }

    /** Ends the attempt in flight, if a part of the request may still be on its way to the server. */
    public void abortAttempt() {
        if (attemptAbort != null) {
            attemptAbort.run();
        }
    }

    /** Whether the client was answered, or has disconnected. */
    public boolean isAnswered() {
        return answered;
    }

    /** The responder if nothing was answered yet, otherwise null: a request has one final response. */
    public Responder answerOnce() {
        if (answered) {
            return null;
        }
        answered = true;
        return responder;
    }

    /** Sets the task that ends the request shortly before the deadline; cancels the one before. */
    public void setTimeoutTask(Future<?> task) {
        if (timeoutTask != null) {
            timeoutTask.cancel(false);
        }
        timeoutTask = task;
    }

    /** Ends the request: cancels the timeout task and releases the body. */
    public void settle() {
        if (timeoutTask != null) {
            timeoutTask.cancel(false);
        }
        body.release();
        if (rest != null) {
            rest.stop();
        }
    }
}
