package rushpin.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.UnaryOperator;

/** The routes of all pools, ordered by specificity; their order in the operator's file has no effect. */
public final class RouteTable {
    /** Two routes that tie, by their indexes in the given list. */
    public record Tie(int first, int second) {}

    private final List<Route> routes;
    private final Set<String> headers = new TreeSet<>();

    /** Creates a table of routes that have no {@link #ties}. */
    public RouteTable(List<Route> all) {
        routes = all.stream().sorted(Route.ORDER).toList();
        routes.forEach(route -> headers.addAll(route.headers().keySet()));
    }

    /** Returns the pairs of routes that tie. */
    public static List<Tie> ties(List<Route> all) {
        List<Tie> ties = new ArrayList<>();
        for (int i = 0; i < all.size(); i++) {
            for (int j = i + 1; j < all.size(); j++) {
                if (all.get(i).ties(all.get(j))) {
                    ties.add(new Tie(i, j));
                }
            }
        }
        return ties;
    }

    /** Returns the lower-case names of the headers that routes match on; a request must not repeat one of them. */
    public Set<String> headers() {
        return headers;
    }

    /** Returns the pool of a request; null if no route matches. */
    public String find(RequestTarget target, String method, String requestClass, UnaryOperator<String> header) {
        for (Route route : routes) {
            if (route.matches(target, method, requestClass, header)) {
                return route.pool();
            }
        }
        return null;
    }
}
