package rushpin.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/** A set of routes without ties gives each request the same pool, whatever their order in the file. */
class RoutePropertiesTest {
    private static final List<String> HOSTS = List.of("a.example", "b.example", "x.a.example", "example");

    record ProbeRequest(String host, String path, String method, String kind, Map<String, String> headers) {
        String poolIn(RouteTable table) throws RequestTarget.Ambiguous {
            return table.find(RequestTarget.of(path, host, true), method, kind, headers::get);
        }
    }

    @Provide
    Arbitrary<List<Route>> routes() {
        Arbitrary<String> host = Arbitraries.of("a.example", "*.a.example", "*.example", "b.example")
                .injectNull(0.3);
        Arbitrary<String> path = Arbitraries.of("/a", "/a/b", "/b").injectNull(0.7);
        Arbitrary<String> prefix = Arbitraries.of("/", "/a", "/a/b").injectNull(0.4);
        Arbitrary<String> method = Arbitraries.of("GET", "POST").injectNull(0.6);
        Arbitrary<String> kind = Arbitraries.of("lookup", "order").injectNull(0.6);
        Arbitrary<Map<String, String>> headers = Arbitraries.maps(
                        Arbitraries.of("X-One", "X-Two"), Arbitraries.of("1", "2"))
                .ofMaxSize(2);
        Arbitrary<Route> route = Combinators.combine(
                        Arbitraries.strings().withCharRange('p', 'z').ofLength(3),
                        host,
                        path,
                        prefix,
                        method,
                        kind,
                        headers)
                .as((pool, h, p, x, m, k, hs) -> new Route(pool, h, p, p == null ? x : null, m, k, hs));
        return route.list().ofMaxSize(12).map(RoutePropertiesTest::withoutTies);
    }

    private static List<Route> withoutTies(List<Route> all) {
        List<Route> kept = new ArrayList<>();
        for (Route route : all) {
            kept.add(route);
            if (!RouteTable.ties(kept).isEmpty()) {
                kept.remove(kept.size() - 1);
            }
        }
        return kept;
    }

    @Provide
    Arbitrary<ProbeRequest> probe() {
        return Combinators.combine(
                        Arbitraries.of(HOSTS),
                        Arbitraries.of("/", "/a", "/a/b", "/a/b/c", "/ab", "/b"),
                        Arbitraries.of("GET", "POST"),
                        Arbitraries.of("lookup", "order"),
                        Arbitraries.maps(Arbitraries.of("x-one", "x-two"), Arbitraries.of("1", "2"))
                                .ofMaxSize(2))
                .as(ProbeRequest::new);
    }

    @Property
    void orderOfTheFileHasNoEffect(
            @ForAll("routes") List<Route> routes, @ForAll("probe") ProbeRequest probe, @ForAll long seed)
            throws Exception {
        List<Route> shuffled = new ArrayList<>(routes);
        Collections.shuffle(shuffled, new Random(seed));
        assertEquals(probe.poolIn(new RouteTable(routes)), probe.poolIn(new RouteTable(shuffled)));
    }

    /** Compares with another implementation of the order, which scores each condition of all matching routes. */
    @Property
    void mostSpecificMatchingRouteWins(@ForAll("routes") List<Route> routes, @ForAll("probe") ProbeRequest probe)
            throws Exception {
        String best = null;
        String bestScore = "";
        for (Route r : routes) {
            boolean host = r.host() == null
                    || r.host().equals(probe.host)
                    || r.host().startsWith("*") && probe.host.endsWith(r.host().substring(1));
            boolean path = r.path() != null
                    ? probe.path.equals(r.path())
                    : r.prefix() == null
                            || (probe.path + "/").startsWith(r.prefix().equals("/") ? "/" : r.prefix() + "/");
            boolean rest = (r.method() == null || r.method().equals(probe.method))
                    && (r.requestClass() == null || r.requestClass().equals(probe.kind))
                    && r.headers().entrySet().stream()
                            .allMatch(e -> e.getValue().equals(probe.headers.get(e.getKey())));
            if (host && path && rest) {
                String score = String.format(
                        "%04d%04d%d%d%d",
                        r.host() == null
                                ? 0
                                : r.host().startsWith("*") ? r.host().length() : 9999,
                        r.path() != null
                                ? 9999
                                : r.prefix() == null ? 0 : r.prefix().length(),
                        r.method() == null ? 0 : 1,
                        r.requestClass() == null ? 0 : 1,
                        r.headers().size());
                if (score.compareTo(bestScore) > 0) {
                    bestScore = score;
                    best = r.pool();
                }
            }
        }
        assertEquals(best, probe.poolIn(new RouteTable(routes)));
    }

    @Test
    void prefixMatchesCompleteSegments() throws Exception {
        RouteTable table = new RouteTable(List.of(new Route("p", null, null, "/orders", null, null, Map.of())));
        for (Map.Entry<String, Boolean> one : new TreeMap<>(Map.of(
                        "/orders",
                        true,
                        "/orders/",
                        true,
                        "/orders/7",
                        true,
                        "/ordersx",
                        false,
                        "/order",
                        false,
                        "/Orders",
                        false))
                .entrySet()) {
            String pool = table.find(RequestTarget.of(one.getKey(), "h", true), "GET", null, name -> null);
            if (one.getValue()) {
                assertEquals("p", pool, one.getKey());
            } else {
                assertNull(pool, one.getKey());
            }
        }
    }

    @Test
    void suffixMatchesNamesBelowIt() throws Exception {
        RouteTable table = new RouteTable(List.of(new Route("p", "*.example", null, null, null, null, Map.of())));
        assertEquals("p", table.find(RequestTarget.of("/", "a.B.Example.:80", true), "GET", null, name -> null));
        assertNull(table.find(RequestTarget.of("/", "example", true), "GET", null, name -> null));
        assertNull(table.find(RequestTarget.of("/", "badexample", true), "GET", null, name -> null));
    }

    @Test
    void equallySpecificRoutesWithACommonRequestTie() {
        Route one = new Route("p", "h", null, "/a", null, null, Map.of("X-One", "1"));
        Route two = new Route("q", "h", null, "/a", null, null, Map.of("x-two", "1"));
        Route other = new Route("q", "h", null, "/a", null, null, Map.of("x-one", "2"));
        assertTrue(one.ties(two), "a request may have both headers");
        assertFalse(one.ties(other), "no request has both values");
        assertEquals(
                List.of(new RouteTable.Tie(0, 1), new RouteTable.Tie(1, 2)), RouteTable.ties(List.of(one, two, other)));
    }
}
