package rushpin.node;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;
import rushpin.gateway.Ports.Request;

/** A request that was taken: what goes on to app servers, and what is still owed to its client. */
final class OpenRequest {
    /** Where the one final answer goes; told on the loop only. */
    interface Answers {
        /** Passes on an app server's answer; the buffer stays the caller's. */
        void served(ByteBuf body);

        /** Says that trying again is harmless; {@code retryAfter} nanoseconds from now, 0 for no advice. */
        void refused(long retryAfter);

        /** Says that it failed, with no promise about the effect. */
        void failed();
    }

    final Request request;
    final HttpMethod method;
    final String uri;
    final String key;
    final ByteBuf body;
    private final Answers answers;
    int attempts;
    boolean attemptOut;
    boolean answered;
    Future<?> overdue;

    /** Takes over the body. */
    OpenRequest(Request request, HttpMethod method, String uri, String key, ByteBuf body, Answers answers) {
        this.request = request;
        this.method = method;
        this.uri = uri;
        this.key = key;
        this.body = body;
        this.answers = answers;
    }

    /** The answers' side if nothing was answered yet, else null: a request has one final answer. */
    Answers answerOnce() {
        if (answered) {
            return null;
        }
        answered = true;
        return answers;
    }
}
