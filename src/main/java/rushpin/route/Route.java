package rushpin.route;

import java.util.Comparator;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

/**
 * One rule of which requests belong to a pool. What is null or empty matches all.
 *
 * <p>Order of specificity, the first difference decides: host (exact, longer suffix, shorter suffix, any), path (exact,
 * longer prefix, shorter prefix, any), method named, class named, more headers named. Two routes that are equally
 * specific and match a common request are a tie, which the operator's file must not have.
 *
 * @param pool the pool's name
 * @param host an exact name, or {@code *.suffix} for all names below it; lower case
 * @param path the whole path
 * @param prefix the path's first segments; {@code /} for all
 * @param method the method, as it stands in requests
 * @param requestClass the class, as {@code X-Qos} names it
 * @param headers values by lower-case name, all of which must be there just so
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

    /** Headers are kept under lower-case names, in their order. */
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

    private boolean matchesPath(String of) {
        return path != null
                ? path.equals(of)
                : prefix == null
                        || prefix.equals("/")
                        || of.startsWith(prefix)
                                && (of.length() == prefix.length() || of.charAt(prefix.length()) == '/');
    }

    /** Whether a request belongs here; {@code header} tells a header's value by lower-case name, null for none. */
    boolean matches(RequestTarget reading, String asked, String named, UnaryOperator<String> header) {
        return matchesHost(reading.host())
                && matchesPath(reading.path())
                && (method == null || method.equals(asked))
                && (requestClass == null || requestClass.equals(named))
                && (headers.isEmpty()
                        || headers.entrySet().stream()
                                .allMatch(e -> e.getValue().equals(header.apply(e.getKey()))));
    }

    /** Whether neither is the more specific and some request matches both. */
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
