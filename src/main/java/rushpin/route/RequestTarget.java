package rushpin.route;

import java.util.Locale;

/**
 * The parsed destination of a request. A target or host that two programs could parse differently is rejected: the
 * router forwards byte for byte what it routed, so nothing may be left for the app server to normalize.
 *
 * <p>Sources: RFC 9112 sections 3.2 (forms of the target) and 3.2.2 (absolute form), RFC 3986 sections 3.2.2 (host),
 * 3.3 (path) and 6.2.2 (normalization). It is stricter than these where they leave normalization to the recipient.
 *
 * @param host the host in lower case, without port and trailing dot; empty if an HTTP/1.0 client named none
 * @param path the path as received
 * @param target path and query as received and as forwarded
 * @param authority host and port as received
 */
public record RequestTarget(String host, String path, String target, String authority) {
    private static final int MAX_HOST_LENGTH = 253;
    private static final int MAX_LABEL_LENGTH = 63;
    private static final int MAX_PORT = 65_535;
    /** The characters that a path may hold besides letters, digits and escapes. */
    private static final String PATH_CHARACTERS = "-._~!$&'()*+,=:@/";

    /** Thrown for a request that cannot be parsed in exactly one way; the message says why and what is allowed. */
    public static final class Ambiguous extends Exception {
        private static final long serialVersionUID = 1L;

        Ambiguous(String why) {
            super(why, null, false, false);
        }
    }

    /**
     * Parses a request's target and its only Host header.
     *
     * @param target the target of the request line
     * @param host the value of Host; null if there is none
     * @param mustName whether Host is required, as in HTTP/1.1
     * @throws Ambiguous if the request cannot be parsed in exactly one way
     */
    public static RequestTarget of(String target, String host, boolean mustName) throws Ambiguous {
        if (host == null && mustName) {
            throw new Ambiguous("Host is missing; HTTP/1.1 wants one");
        }
        String authority = host == null ? "" : host.strip();
        String local = target;
        if (!target.startsWith("/")) {
            int end = target.indexOf("://");
            if (end < 0 || !target.substring(0, end).equalsIgnoreCase("http")) {
                throw new Ambiguous("the target is neither a path from '/' nor http://host/path");
            }
            int slash = pathStart(target, end + 3);
            String named = target.substring(end + 3, slash);
            if (host != null && !normalized(named).equals(normalized(authority))) {
                throw new Ambiguous("Host and the target name different hosts");
            }
            if (named.isEmpty()) {
                throw new Ambiguous("the target names no host");
            }
            authority = named;
            local = slash < target.length() && target.charAt(slash) == '/'
                    ? target.substring(slash)
                    : "/" + target.substring(slash);
        }
        int query = local.indexOf('?');
        String path = query < 0 ? local : local.substring(0, query);
        checkPath(path);
        for (int i = path.length(); i < local.length(); i++) {
            if (local.charAt(i) <= ' ' || local.charAt(i) > '~' || local.charAt(i) == '#') {
                throw new Ambiguous("the query holds what must be escaped there");
            }
        }
        return new RequestTarget(hostOf(authority), path, local, authority);
    }

    private static int pathStart(String target, int from) {
        for (int i = from; i < target.length(); i++) {
            if (target.charAt(i) == '/' || target.charAt(i) == '?') {
                return i;
            }
        }
        return target.length();
    }

    /**
     * Checks that a path can be parsed in one way only; paths in the operator's file follow the same rule.
     *
     * @throws Ambiguous if it cannot
     */
    public static void checkPath(String path) throws Ambiguous {
        int segment = 1;
        for (int i = 0; i < path.length(); i++) {
            char c = path.charAt(i);
            if (c == '%') {
                checkEscape(path, i);
                i += 2;
            } else if (c == '/' && i > 0 && path.charAt(i - 1) == '/') {
                throw new Ambiguous("the path has an empty segment, '//'");
            } else if (!isAlphanumeric(c) && PATH_CHARACTERS.indexOf(c) < 0) {
                throw new Ambiguous("the path holds '" + (c > ' ' && c <= '~' ? c : '?') + "'; letters, digits, "
                        + PATH_CHARACTERS.replace("/", "") + " and escapes are allowed");
            }
        }
        while (segment <= path.length()) {
            int end = path.indexOf('/', segment);
            end = end < 0 ? path.length() : end;
            String name = path.substring(segment, end);
            if (name.equals(".") || name.equals("..")) {
                throw new Ambiguous("the path has a dot segment");
            }
            segment = end + 1;
        }
    }

    /** Rejects escapes that give one path two spellings, and those that become separators when decoded. */
    private static void checkEscape(String path, int at) throws Ambiguous {
        int high = at + 2 < path.length() ? Character.digit(path.charAt(at + 1), 16) : -1;
        int low = at + 2 < path.length() ? Character.digit(path.charAt(at + 2), 16) : -1;
        if (high < 0 || low < 0 || path.charAt(at + 1) > '~' || path.charAt(at + 2) > '~') {
            throw new Ambiguous("the path has a '%' without two hexadecimal digits");
        }
        char c = (char) (high * 16 + low);
        if (isAlphanumeric(c) || "-._~".indexOf(c) >= 0) {
            throw new Ambiguous("the path escapes what needs no escape");
        }
        if (c < ' ' || c == 127 || c == '/' || c == '\\' || c == ';' || c == '%') {
            throw new Ambiguous("the path escapes a separator or a control character");
        }
    }

    private static boolean isAlphanumeric(char c) {
        return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9';
    }

    /** Returns host and port for comparison, with port 80 as the default. */
    private static String normalized(String authority) throws Ambiguous {
        String port = portOf(authority);
        return hostOf(authority) + ":" + (port.isEmpty() ? "80" : port);
    }

    private static int portColon(String authority) {
        return authority.startsWith("[")
                ? authority.indexOf(':', Math.max(0, authority.indexOf(']')))
                : authority.indexOf(':');
    }

    private static String portOf(String authority) throws Ambiguous {
        int colon = portColon(authority);
        if (colon < 0) {
            return "";
        }
        String port = authority.substring(colon + 1);
        boolean digits = !port.isEmpty() && port.length() <= 5 && port.chars().allMatch(c -> c >= '0' && c <= '9');
        if (!digits || Integer.parseInt(port) < 1 || Integer.parseInt(port) > MAX_PORT) {
            throw new Ambiguous("the host's port is not a number from 1 to " + MAX_PORT);
        }
        return Integer.toString(Integer.parseInt(port));
    }

    /** Returns the host as it is compared: in lower case, without port and trailing dot. */
    static String hostOf(String authority) throws Ambiguous {
        portOf(authority);
        int colon = portColon(authority);
        String host = (colon < 0 ? authority : authority.substring(0, colon)).toLowerCase(Locale.ROOT);
        if (host.startsWith("[")) {
            String inner = host.endsWith("]") ? host.substring(1, host.length() - 1) : "";
            if (inner.isEmpty()
                    || !inner.chars().allMatch(c -> Character.digit(c, 16) >= 0 && c < 128 || c == ':' || c == '.')) {
                throw new Ambiguous("the host is no address in brackets");
            }
            return host;
        }
        if (host.endsWith(".")) {
            host = host.substring(0, host.length() - 1);
        }
        if (!host.isEmpty() || authority.isEmpty()) {
            checkName(host);
            return host;
        }
        throw new Ambiguous("the host has no name");
    }

    /** Checks the syntax of a host name in lower case. */
    static void checkName(String host) throws Ambiguous {
        if (host.length() > MAX_HOST_LENGTH) {
            throw new Ambiguous("the host's name has more than " + MAX_HOST_LENGTH + " characters");
        }
        if (host.isEmpty()) {
            return;
        }
        for (String label : host.split("\\.", -1)) {
            if (label.isEmpty()
                    || label.length() > MAX_LABEL_LENGTH
                    || !label.chars()
                            .allMatch(c -> c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-' || c == '_')) {
                throw new Ambiguous("the host is not made of labels of letters, digits, '-' and '_'");
            }
        }
    }
}
