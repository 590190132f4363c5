package rushpin.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.UnaryOperator;

/** All routes, in an order of their own: the order in the operator's file means nothing. No I/O. */
public final class RouteTable {
    /** Two routes, by their places in the list they came in, between which nothing decides. */
    public record Tie(int first, int second) {}

    private final List<Route> routes;
    private final Set<String> headers = new TreeSet<>();

    /** The routes must have no {@link #ties}. */
    public RouteTable(List<Route> of) {
        routes = of.stream().sorted(Route.ORDER).toList();
        routes.forEach(route -> headers.addAll(route.headers().keySet()));
    }

    /** The pairs of routes that tie. */
    public static List<Tie> ties(List<Route> of) {
        List<Tie> ties = new ArrayList<>();
        for (int i = 0; i < of.size(); i++) {
            for (int j = i + 1; j < of.size(); j++) {
                if (of.get(i).ties(of.get(j))) {
                    ties.add(new Tie(i, j));
                }
            }
        }
        return ties;
    }

    /** Lower-case names of the headers that any route looks at: one that stands twice in a request has no reading. */
    public Set<String> headers() {
        return headers;
    }

    /** The pool a request belongs to; null if no route matches. */
    public String find(RequestTarget reading, String method, String requestClass, UnaryOperator<String> header) {
        for (Route route : routes) {
            if (route.matches(reading, method, requestClass, header)) {
                return route.pool();
            }
        }
        return null;
    }
}
