package rushpin.net;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.cookie.Cookie;
import io.netty.handler.codec.http.cookie.ServerCookieDecoder;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import rushpin.gateway.Ports.Repeat;
import rushpin.gateway.Ports.Request;
import rushpin.gateway.Ports.RequestClass;
import rushpin.gateway.Ports.Settings;
import rushpin.membership.Names;

/** Parses a request's head for its pool; the message of a rejection names the header that is wrong. */
public final class RequestReader {
    /** Nanoseconds by which the gateway sees deadlines early, so that its last response comes before they are over. */
    public static final long ANSWER_MARGIN = 12_000_000L;

    private static final long MS = 1_000_000L;
    /** Customers' numbers are below this. */
    private static final long MAX_CUSTOMER = 1L << 33;
    /** Assumed time for receiving a body of unknown length, until its end is there. */
    private static final long UNKNOWN_UPLOAD_NANOS = 60_000 * MS;

    private static final int CUSTOMER_DIGITS = 16;
    private static final int MAX_DIGITS = 15;
    private static final int MAX_NAME_LENGTH = 128;

    private RequestReader() {}

    /**
     * Reads a request whose body is complete; rejects whatever readers could understand differently.
     *
     * @throws RequestRejectedException with a message that names the header that is wrong
     */
    static OpenRequest read(
            HttpRequest head,
            ByteBuf body,
            ServerCallbacks.Destination destination,
            long now,
            OpenRequest.Responder responder)
            throws RequestRejectedException {
        return read(head, body, destination, now, responder, null, 0);
    }

    /**
     * As above, for a body that may be incomplete.
     *
     * @param rest the part that is not in {@code body}; null if there is none
     * @param length size of the whole body in bytes; -1 if unknown
     */
    static OpenRequest read(
            HttpRequest head,
            ByteBuf body,
            ServerCallbacks.Destination destination,
            long now,
            OpenRequest.Responder responder,
            BodyStream rest,
            long length)
            throws RequestRejectedException {
        Names names = destination.service().names();
        Settings settings = destination.service().settings();
        HttpHeaders headers = head.headers();
        String id = checkName(required(headers, "X-Trace-Id"), "X-Trace-Id");
        int requestClass = index(names.classes(), headers, "X-Qos");
        int plan = index(names.plans(), headers, "X-Plan");
        RequestClass spec = settings.classes().get(requestClass);
        HttpMethod method = spec.repeat() == Repeat.SAFE ? HttpMethod.GET : HttpMethod.POST;
        if (!head.method().equals(method)) {
            throw new RequestRejectedException(HttpResponseStatus.METHOD_NOT_ALLOWED, "this class goes by " + method);
        }
        String key = single(headers, "Idempotency-Key");
        if (key != null || spec.repeat() == Repeat.KEYED) {
            checkName(required(headers, "Idempotency-Key"), "Idempotency-Key");
        }
        // The timeout is bounded by the class's deadline: a longer one would only keep the request open.
        long timeoutMs =
                wholeNumber(required(headers, "X-Expires-In-Ms"), "X-Expires-In-Ms", 1, 2 * spec.deadline() / MS);
        Map<String, String> quota = quota(required(headers, "X-Quota"));
        int siblings = settings.siblings();
        long timeoutNanos = Math.max(MS, timeoutMs * MS - ANSWER_MARGIN);
        // The timeout starts with the last byte: until that is there, the latest time at which it may come is assumed.
        long maxUploadNanos = rest == null
                ? 0
                : length < 0
                        ? UNKNOWN_UPLOAD_NANOS
                        : (length - body.readableBytes()) * MS / RequestReadTimeout.MIN_BYTES_PER_MS;
        Request request = new Request(
                id,
                requestClass,
                plan,
                customer(headers),
                now + maxUploadNanos + timeoutNanos,
                units(quota.get("units"), settings.counter().largest()),
                (int) wholeNumber(quota.get("spread"), "X-Quota spread", 1, siblings),
                (int) wholeNumber(quota.get("first"), "X-Quota first", 0, siblings - 1L),
                "1".equals(headers.get("X-Second-Try")));
        return new OpenRequest(
                request,
                names.classes().get(requestClass),
                method,
                head.uri(),
                key,
                destination.host(),
                body,
                responder,
                rest,
                length,
                timeoutNanos);
    }

    /** The value of a header that must not be repeated; null if it is absent. */
    private static String single(HttpHeaders headers, String name) throws RequestRejectedException {
        Iterator<String> values = headers.valueStringIterator(name);
        String value = values.hasNext() ? values.next() : null;
        if (values.hasNext()) {
            throw RequestRejectedException.badRequest(name + " stands there twice");
        }
        return value;
    }

    private static String required(HttpHeaders headers, String name) throws RequestRejectedException {
        String value = single(headers, name);
        if (value == null || value.isBlank()) {
            throw RequestRejectedException.badRequest(name + " is missing");
        }
        return value;
    }

    /** Checks a value that is forwarded to app servers and has to arrive there unchanged. */
    private static String checkName(String value, String header) throws RequestRejectedException {
        boolean good = value.length() <= MAX_NAME_LENGTH;
        for (int i = 0; good && i < value.length(); i++) {
            good = value.charAt(i) > ' ' && value.charAt(i) < 127;
        }
        if (!good) {
            throw RequestRejectedException.badRequest(header + " is no name");
        }
        return value;
    }

    private static int index(List<String> names, HttpHeaders headers, String name) throws RequestRejectedException {
        int index = names.indexOf(required(headers, name));
        if (index < 0) {
            throw RequestRejectedException.badRequest(name + " is unknown");
        }
        return index;
    }

    private static long customer(HttpHeaders headers) throws RequestRejectedException {
        String found = null;
        for (Cookie cookie : ServerCookieDecoder.LAX.decodeAll(required(headers, "Cookie"))) {
            if (cookie.name().equals("customer")) {
                if (found != null) {
                    throw RequestRejectedException.badRequest("the cookie names two customers");
                }
                found = cookie.value();
            }
        }
        if (found != null && found.length() == CUSTOMER_DIGITS && hasOnlyDigits(found, 16)) {
            long customer = Long.parseUnsignedLong(found, 16);
            if (customer >= 0 && customer < MAX_CUSTOMER) {
                return customer;
            }
        }
        throw RequestRejectedException.badRequest("the cookie names no customer");
    }

    private static Map<String, String> quota(String text) throws RequestRejectedException {
        Map<String, String> parts = new HashMap<>();
        for (String part : text.split(",")) {
            String[] pair = part.trim().split("=", 2);
            if (parts.put(pair[0], pair.length > 1 ? pair[1] : "") != null) {
                throw RequestRejectedException.badRequest("X-Quota says " + pair[0] + " twice");
            }
        }
        return parts;
    }

    private static double units(String text, double max) throws RequestRejectedException {
        double units = NumberParser.parsePositive(text, max);
        if (Double.isNaN(units)) {
            throw RequestRejectedException.badRequest(
                    "X-Quota units is not a number above 0 that one request may count");
        }
        return units;
    }

    private static boolean hasOnlyDigits(String text, int radix) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) > 127 || Character.digit(text.charAt(i), radix) < 0) {
                return false;
            }
        }
        return true;
    }

    private static long wholeNumber(String text, String name, long min, long max) throws RequestRejectedException {
        if (text != null && !text.isEmpty() && text.length() <= MAX_DIGITS && hasOnlyDigits(text, 10)) {
            long value = Long.parseLong(text);
            if (value >= min && value <= max) {
                return value;
            }
        }
        throw RequestRejectedException.badRequest(name + " is not a whole number from " + min + " to " + max);
    }
}
