package rushpin.net;

import io.netty.handler.codec.http.HttpResponseStatus;

/** A request that cannot be handled and is answered with an error status instead. */
public final class RequestRejectedException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient HttpResponseStatus status;

    /** Rejects with a status and one line of text for the client. */
    public RequestRejectedException(HttpResponseStatus status, String why) {
        super(why, null, false, false);
        this.status = status;
    }

    HttpResponseStatus status() {
        return status;
    }

    /** Rejects with status 400. */
    static RequestRejectedException badRequest(String why) {
        return new RequestRejectedException(HttpResponseStatus.BAD_REQUEST, why);
    }
}
