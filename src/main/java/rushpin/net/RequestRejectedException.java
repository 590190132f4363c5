package rushpin.net;

import io.netty.handler.codec.http.HttpResponseStatus;

/** A request that is none: the status says why. */
public final class RequestRejectedException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient HttpResponseStatus status;

    /** Says with which status, and one line for the client. */
    public RequestRejectedException(HttpResponseStatus status, String why) {
        super(why, null, false, false);
        this.status = status;
    }

    HttpResponseStatus status() {
        return status;
    }

    static RequestRejectedException bad(String why) {
        return new RequestRejectedException(HttpResponseStatus.BAD_REQUEST, why);
    }
}
