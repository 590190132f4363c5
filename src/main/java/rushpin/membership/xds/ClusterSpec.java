package rushpin.membership.xds;

/**
 * The used fields of {@code envoy.config.cluster.v3.Cluster}.
 *
 * @param edsName the name under which its endpoints are subscribed to; null for a {@code STATIC} cluster
 * @param edsPath the file that has its endpoints; null if it names none
 * @param inline the endpoints of a {@code STATIC} cluster; else null
 * @param connectTimeout nanoseconds; 0 if not given
 * @param maxConnections connections to its servers at most; 0 for no bound
 * @param maxRequests requests open at most; 0 for no bound
 */
public record ClusterSpec(
        String name,
        String edsName,
        String edsPath,
        Endpoints inline,
        long connectTimeout,
        int maxConnections,
        int maxRequests) {}
