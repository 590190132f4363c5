package rushpin.membership.xds;

import java.net.InetSocketAddress;
import java.util.List;
import rushpin.gateway.Ports.Readiness;

/**
 * The used fields of {@code envoy.config.endpoint.v3.ClusterLoadAssignment}.
 *
 * @param name the cluster's name in it
 * @param all its endpoints, each id and each address once
 * @param dropped the part of requests to refuse, 0 to 1
 * @param staleAfter nanoseconds after which the endpoints are stale unless they are sent again; 0 for never
 */
public record Endpoints(String name, List<Endpoint> all, double dropped, long staleAfter) {
    /**
     * One endpoint.
     *
     * @param id stays the same for as long as it is the same server
     * @param weight above 0
     * @param started Unix time in nanoseconds; 0 for long ago, -1 if not given
     */
    public record Endpoint(
            String id,
            InetSocketAddress address,
            Readiness readiness,
            double weight,
            String zone,
            int priority,
            long started,
            String kind,
            int cell) {}

    /** A cluster without endpoints. */
    public static Endpoints none(String name) {
        return new Endpoints(name, List.of(), 0, 0);
    }
}
