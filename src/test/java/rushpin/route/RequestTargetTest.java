package rushpin.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A target and a host are parsed in exactly one way or rejected. */
class RequestTargetTest {
    @ParameterizedTest
    @ValueSource(
            strings = {
                "/a/../b",
                "/..",
                "/a/.",
                "/./a",
                "/a/%2e%2e/b",
                "/%2E/a",
                "/a%2fb",
                "/a%2Fb",
                "/a%5cb",
                "/a//b",
                "//",
                "//host/a",
                "/a;x=1",
                "/a;x/b",
                "/a%3bx",
                "/%61pi",
                "/a%7E",
                "/a%zz",
                "/a%4",
                "/a%",
                "/a%00",
                "/a%0d",
                "/a%25",
                "/a\\b",
                "/a b",
                "/a#b",
                "/a\u00e9",
                "/a\u0001",
                "/a|b",
                "/a\"b",
                "*",
                "a/b",
                "",
                "host:80",
                "https://h.example/a",
                "ftp://h.example/a",
                "http:///a",
                "http://h.example",
                "http://other.example/a",
                "http://h.example:81/a",
                "http://u@h.example/a",
                "http:/h.example/a",
                "/a?b#c",
                "/a?b c",
                "/a?\u0007"
            })
    void rejectsAmbiguousTargets(String target) {
        String host = target.equals("http://h.example") ? "elsewhere.example" : "h.example";
        assertThrows(RequestTarget.Ambiguous.class, () -> RequestTarget.of(target, host, true), target);
    }

    @ParameterizedTest
    @CsvSource({
        "/a, /a, /a",
        "/, /, /",
        "/a/b.c/..d, /a/b.c/..d, /a/b.c/..d",
        "/a?x=/../%2e//;, /a, /a?x=/../%2e//;",
        "/a%20b%C3%A9, /a%20b%C3%A9, /a%20b%C3%A9",
        "http://h.example/a?b, /a, /a?b",
        "http://h.example, /, /",
        "HTTP://H.example:80/a, /a, /a",
        "http://h.example?b, /, /?b",
        "/a/, /a/, /a/",
        "/A, /A, /A"
    })
    void parsesTargets(String target, String path, String forwarded) throws Exception {
        RequestTarget parsed = RequestTarget.of(target, "h.example", true);
        assertEquals(path, parsed.path());
        assertEquals(forwarded, parsed.target());
        assertEquals("h.example", parsed.host());
    }

    @ParameterizedTest
    @CsvSource({
        "H.Example, h.example",
        "h.example., h.example",
        "h.example:8080, h.example",
        "h.example.:8080, h.example",
        "127.0.0.1:1, 127.0.0.1",
        "[::1]:80, [::1]",
        "[::1], [::1]",
        "a_b.example, a_b.example",
        "'', ''"
    })
    void parsesHosts(String named, String host) throws Exception {
        assertEquals(host, RequestTarget.of("/", named, true).host());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "h.example..",
                ".",
                "..",
                ".h",
                "a..b",
                "h:",
                "h:0",
                "h:65536",
                "h:80x",
                "h:-1",
                "h:+80",
                ":80",
                "h/a",
                "u@h",
                "h,i",
                "h i",
                "h\\i",
                "h%2e",
                "h\u00e9",
                "[::1",
                "[]",
                "[::1]x",
                "[g]",
                "h:80:80",
                "[::1]:"
            })
    void rejectsInvalidHosts(String named) {
        assertThrows(RequestTarget.Ambiguous.class, () -> RequestTarget.of("/", named, true), named);
    }

    @Test
    void hostIsOptionalForOldClientsOnly() throws Exception {
        assertThrows(RequestTarget.Ambiguous.class, () -> RequestTarget.of("/a", null, true));
        assertEquals("", RequestTarget.of("/a", null, false).host());
        assertEquals(
                "h.example", RequestTarget.of("http://h.example/a", null, false).host());
    }
}
