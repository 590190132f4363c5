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

/** Reads what a request's head says to its pool; what cannot be read it names. */
public final class RequestReader {
    /** By so much the module sees each deadline early: its last answer is written before the client leaves. */
    public static final long ANSWER_MARGIN = 12_000_000L;

    private static final long MS = 1_000_000L, MAX_CUSTOMER = 1L << 33;
    /** For how long a body of unknown length is thought to come; its end tells it. */
    private static final long UNKNOWN = 60_000 * MS;

    private static final int CUSTOMER_DIGITS = 16, MOST_DIGITS = 15, MOST_NAME = 128;

    private RequestReader() {}

    /**
     * Reads a request; what it cannot read it names. Nothing is taken that means different things to readers.
     */
    static OpenRequest read(HttpRequest head, ByteBuf body, ServerCallbacks.Destination way, long now, OpenRequest.Responder answers)
            throws RequestRejectedException {
        return read(head, body, way, now, answers, null, 0);
    }

    /** As above; {@code rest} is where what is not in {@code body} comes from, {@code length} how long all of it is. */
    static OpenRequest read(
            HttpRequest head,
            ByteBuf body,
            ServerCallbacks.Destination way,
            long now,
            OpenRequest.Responder answers,
            BodyStream rest,
            long length)
            throws RequestRejectedException {
        Names names = way.service().names();
        Settings settings = way.service().settings();
        HttpHeaders headers = head.headers();
        String id = name(need(headers, "X-Trace-Id"), "X-Trace-Id");
        int requestClass = index(names.classes(), headers, "X-Qos");
        int plan = index(names.plans(), headers, "X-Plan");
        RequestClass spec = settings.classes().get(requestClass);
        HttpMethod method = spec.repeat() == Repeat.SAFE ? HttpMethod.GET : HttpMethod.POST;
        if (!head.method().equals(method)) {
            throw new RequestRejectedException(HttpResponseStatus.METHOD_NOT_ALLOWED, "this class goes by " + method);
        }
        String key = only(headers, "Idempotency-Key");
        if (key != null || spec.repeat() == Repeat.KEYED) {
            name(need(headers, "Idempotency-Key"), "Idempotency-Key");
        }
        // No client waits longer than its class lets it, whatever it says: its request would only be held.
        long span = whole(need(headers, "X-Expires-In-Ms"), "X-Expires-In-Ms", 1, 2 * spec.deadline() / MS);
        Map<String, String> quota = quota(need(headers, "X-Quota"));
        int siblings = settings.siblings();
        long waits = Math.max(MS, span * MS - ANSWER_MARGIN);
        // Its client's time counts from its last byte: until that is there, the latest moment at which it may be.
        long coming = rest == null ? 0 : length < 0 ? UNKNOWN : (length - body.readableBytes()) * MS / RequestReadTimeout.LEAST_RATE;
        Request request = new Request(
                id,
                requestClass,
                plan,
                customer(headers),
                now + coming + waits,
                units(quota.get("units"), settings.counter().largest()),
                (int) whole(quota.get("spread"), "X-Quota spread", 1, siblings),
                (int) whole(quota.get("first"), "X-Quota first", 0, siblings - 1L),
                "1".equals(headers.get("X-Second-Try")));
        return new OpenRequest(
                request,
                names.classes().get(requestClass),
                method,
                head.uri(),
                key,
                way.host(),
                body,
                answers,
                rest,
                length,
                waits);
    }

    /** A header that stands once at most; null if it does not stand there. */
    private static String only(HttpHeaders headers, String name) throws RequestRejectedException {
        Iterator<String> values = headers.valueStringIterator(name);
        String value = values.hasNext() ? values.next() : null;
        if (values.hasNext()) {
            throw RequestRejectedException.bad(name + " stands there twice");
        }
        return value;
    }

    private static String need(HttpHeaders headers, String name) throws RequestRejectedException {
        String value = only(headers, name);
        if (value == null || value.isBlank()) {
            throw RequestRejectedException.bad(name + " is missing");
        }
        return value;
    }

    /** These go on to app servers and must arrive there as they came. */
    private static String name(String value, String header) throws RequestRejectedException {
        boolean good = value.length() <= MOST_NAME;
        for (int i = 0; good && i < value.length(); i++) {
            good = value.charAt(i) > ' ' && value.charAt(i) < 127;
        }
        if (!good) {
            throw RequestRejectedException.bad(header + " is no name");
        }
        return value;
    }

    private static int index(List<String> names, HttpHeaders headers, String name) throws RequestRejectedException {
        int index = names.indexOf(need(headers, name));
        if (index < 0) {
            throw RequestRejectedException.bad(name + " is unknown");
        }
        return index;
    }

    private static long customer(HttpHeaders headers) throws RequestRejectedException {
        String found = null;
        for (Cookie cookie : ServerCookieDecoder.LAX.decodeAll(need(headers, "Cookie"))) {
            if (cookie.name().equals("customer")) {
                if (found != null) {
                    throw RequestRejectedException.bad("the cookie names two customers");
                }
                found = cookie.value();
            }
        }
        if (found != null && found.length() == CUSTOMER_DIGITS && isOf(found, 16)) {
            long customer = Long.parseUnsignedLong(found, 16);
            if (customer >= 0 && customer < MAX_CUSTOMER) {
                return customer;
            }
        }
        throw RequestRejectedException.bad("the cookie names no customer");
    }

    private static Map<String, String> quota(String text) throws RequestRejectedException {
        Map<String, String> parts = new HashMap<>();
        for (String part : text.split(",")) {
            String[] pair = part.trim().split("=", 2);
            if (parts.put(pair[0], pair.length > 1 ? pair[1] : "") != null) {
                throw RequestRejectedException.bad("X-Quota says " + pair[0] + " twice");
            }
        }
        return parts;
    }

    private static double units(String text, double most) throws RequestRejectedException {
        double units = Figures.amount(text, most);
        if (Double.isNaN(units)) {
            throw RequestRejectedException.bad("X-Quota units is not a number above 0 that one request may count");
        }
        return units;
    }

    private static boolean isOf(String text, int radix) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) > 127 || Character.digit(text.charAt(i), radix) < 0) {
                return false;
            }
        }
        return true;
    }

    private static long whole(String text, String name, long least, long most) throws RequestRejectedException {
        if (text != null && !text.isEmpty() && text.length() <= MOST_DIGITS && isOf(text, 10)) {
            long value = Long.parseLong(text);
            if (value >= least && value <= most) {
                return value;
            }
        }
        throw RequestRejectedException.bad(name + " is not a whole number from " + least + " to " + most);
    }
}
