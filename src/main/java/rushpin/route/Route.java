package rushpin.route;

import java.util.Comparator;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

/**
 * A rule that assigns requests to a pool. A condition that is null or empty matches all requests.
 *
 * <p>Routes are ordered by specificity; the first difference decides: host (exact, longer suffix, shorter suffix, any),
 * path (exact, longer prefix, shorter prefix, any), a method, a class, more headers. Two routes that are equally
 * specific and match a common request are a tie, which the operator's file must not contain.
 *
 * @param pool the pool's name
 * @param host an exact name, or {@code *.suffix} for all names below the suffix; lower case
 * @param path the whole path
 * @param prefix the first segments of the path; {@code /} for all paths
 * @param method the method, as written in requests
 * @param requestClass the class, as named in {@code X-Qos}
 * @param headers required values by lower-case header name
 */
public record Route(
        String pool,
        String host,
        String path,
        String prefix,
        String method,
        String requestClass,
        Map<String, String> headers) {
    /** Most specific first. */
    static final Comparator<Route> ORDER = Comparator.comparingInt(Route::hostRank)
            .thenComparingInt(Route::pathRank)
            .thenComparingInt(r -> r.method == null ? 0 : 1)
            .thenComparingInt(r -> r.requestClass == null ? 0 : 1)
            .thenComparingInt(r -> r.headers.size())
            .reversed();

    /** Creates a route; the names of the headers are converted to lower case and sorted. */
    public Route {
        Map<String, String> lower = new TreeMap<>();
        headers.forEach((name, value) -> lower.put(name.toLowerCase(Locale.ROOT), value));
        headers = lower;
    }

    private boolean isSuffix() {
        return host != null && host.startsWith("*.");
    }

    private int hostRank() {
        return host == null ? 0 : isSuffix() ? host.length() : Integer.MAX_VALUE;
    }

    private int pathRank() {
        return path != null ? Integer.MAX_VALUE : prefix == null ? 0 : prefix.length();
    }

    private boolean matchesHost(String name) {
        return host == null
                || (isSuffix()
                        ? name.length() >= host.length() && name.endsWith(host.substring(1))
                        : host.equals(name));
    }

    private boolean matchesPath(String requested) {
        return path != null
                ? path.equals(requested)
                : prefix == null
                        || prefix.equals("/")
                        || requested.startsWith(prefix)
                                && (requested.length() == prefix.length() || requested.charAt(prefix.length()) == '/');
    }

    /**
     * Returns whether a request matches this route.
     *
     * @param header returns the value of a header by its lower-case name, null if there is none
     */
    boolean matches(RequestTarget target, String requestMethod, String className, UnaryOperator<String> header) {
        return matchesHost(target.host())
                && matchesPath(target.path())
                && (method == null || method.equals(requestMethod))
                && (requestClass == null || requestClass.equals(className))
                && (headers.isEmpty()
                        || headers.entrySet().stream()
                                .allMatch(e -> e.getValue().equals(header.apply(e.getKey()))));
    }

    /** Returns whether two routes are equally specific and some request matches both. */
    boolean ties(Route other) {
        return ORDER.compare(this, other) == 0
                && Objects.equals(host, other.host)
                && Objects.equals(path, other.path)
                && Objects.equals(prefix, other.prefix)
                && Objects.equals(method, other.method)
                && Objects.equals(requestClass, other.requestClass)
                && headers.entrySet().stream()
                        .allMatch(e -> e.getValue().equals(other.headers.getOrDefault(e.getKey(), e.getValue())));
    }
}
