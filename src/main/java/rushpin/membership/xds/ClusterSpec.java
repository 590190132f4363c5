package rushpin.membership.xds;

/**
 * What is taken of {@code envoy.config.cluster.v3.Cluster}.
 *
 * @param edsName under which its endpoints are subscribed to; null for a {@code STATIC} cluster
 * @param edsPath the file that has them, where it names one; else null
 * @param inline the endpoints of a {@code STATIC} cluster; else null
 * @param connectTimeout nanoseconds; 0 where it is not said
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
