package rushpin.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;
import java.util.function.Consumer;
import rushpin.gateway.Ports.Request;

/** A request that was taken: what goes on to app servers, and what is still owed to its client. */
public final class OpenRequest {
    /** Where the one final answer goes; told on the pool's loop only. */
    public interface Responder {
        /** Passes on an app server's answer; the buffer stays the caller's. */
        void served(ByteBuf body);

        /**
         * Passes on a long answer, {@code length} bytes or -1, as it comes; {@code ended} hears on the pool's loop
         * whether all of it went through.
         */
        void streamed(BodyStream passage, long length, Consumer<Boolean> ended);

        /** A passage towards its client. */
        BodyStream passage(EventLoop sending, BodyStream.Source source);

        /** Says that trying again is harmless; {@code retryAfter} nanoseconds from now, 0 for no advice. */
        void refused(long retryAfter);

        /** Says that it failed, with no promise about the effect. */
        void failed();

        /** Says that a request of this id is open; nothing is done for this one. */
        void duplicate();
    }

    final HttpMethod method;
    final String uri;
    final String key;
    final String host;
    private final String className;
    private Request request;
    private final ByteBuf body;
    private final Responder answers;
    /** What is not in {@code body} yet, and how long all of it is, -1 if unknown; null if it is whole. */
    private final BodyStream rest;

    private final long length;
    /** How long the client waits from its last byte on. */
    private final long span;

    private long dueAt;
    private boolean whole;
    private int attempts;
    private boolean attemptOut;
    private boolean answered;
    private Future<?> overdue;

    /** Takes over the body; {@code host} as the client named it. */
    OpenRequest(
            Request request,
            String className,
            HttpMethod method,
            String uri,
            String key,
            String host,
            ByteBuf body,
            Responder answers,
            BodyStream rest,
            long length,
            long span) {
        this.rest = rest;
        this.length = length;
        this.span = span;
        dueAt = request.deadline();
        whole = rest == null;
        this.request = request;
        this.className = className;
        this.method = method;
        this.uri = uri;
        this.key = key;
        this.host = host;
        this.body = body;
        this.answers = answers;
    }

    /** What the module is told of it. */
    public Request request() {
        return request;
    }

    /** What its class is called. */
    public String className() {
        return className;
    }

    /** It came earlier than was thought, by so many nanoseconds: its client waits for that much less. */
    public void hurry(long by) {
        if (by > 0) {
            dueAt -= by;
            request = new Request(
                    request.id(),
                    request.requestClass(),
                    request.plan(),
                    request.customer(),
                    request.deadline() - by,
                    request.units(),
                    request.setSize(),
                    request.setFirst(),
                    request.repeat());
        }
    }

    /** Where the rest of its body comes from; null if all of it was there from the start. */
    BodyStream rest() {
        return rest;
    }

    /** How long its whole body is; -1 if that is not known yet. */
    long length() {
        return length;
    }

    /** How long its client waits, nanoseconds. */
    long timeoutNanos() {
        return span;
    }

    BodyStream openResponseStream(EventLoop sending, BodyStream.Source source) {
        return answers.passage(sending, source);
    }

    /** When its client stops waiting, as far as is known. */
    public long deadlineNanos() {
        return dueAt;
    }

    /** Whether the last byte of its body has come. */
    public boolean isWhole() {
        return whole;
    }

    /** The last byte of its body has come, so long ago at most: its client waits for its span from then on. */
    public void bodyReceived(long now, long age) {
        whole = true;
        dueAt = now + span - Math.min(age, span);
    }

    /** The request's body, or its first part; the request owns it until it is settled. */
    public ByteBuf body() {
        return body;
    }

    /** How many attempts were begun. */
    public int attempts() {
        return attempts;
    }

    /** Whether an attempt is out. */
    public boolean isAttemptInFlight() {
        return attemptOut;
    }

    /** An attempt begins; the one before has ended. */
    public void beginAttempt() {
        attempts++;
        attemptOut = true;
    }

    /** The attempt that was out has ended. */
    public void endAttempt() {
        attemptOut = false;
    }

    /** Whether its client was answered, or has left. */
    public boolean isAnswered() {
        return answered;
    }

    /** The answers' side if nothing was answered yet, else null: a request has one final answer. */
    public Responder answerOnce() {
        if (answered) {
            return null;
        }
        answered = true;
        return answers;
    }

    /** Sets the backstop that ends it shortly before its client's time is up. */
    public void setTimeoutTask(Future<?> then) {
        if (overdue != null) {
            overdue.cancel(false);
        }
        overdue = then;
    }

    /** The end: the backstop is no longer needed and the body goes. */
    public void settle() {
        if (overdue != null) {
            overdue.cancel(false);
        }
        body.release();
        if (rest != null) {
            rest.stop();
        }
    }
}
