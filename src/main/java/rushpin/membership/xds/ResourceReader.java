package rushpin.membership.xds;

import com.google.protobuf.Any;
import com.google.protobuf.CodedInputStream;
import com.google.protobuf.Duration;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UInt32Value;
import io.envoyproxy.envoy.config.cluster.v3.CircuitBreakers;
import io.envoyproxy.envoy.config.cluster.v3.Cluster;
import io.envoyproxy.envoy.config.core.v3.RoutingPriority;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterLoadAssignment;
import java.io.IOException;

/**
 * Reads clusters and endpoints of xDS v3. What is used, what is left aside and what is refused stands in
 * {@code docs/operate/xds.md}. No I/O; no name is looked up.
 */
public final class ResourceReader {
    /** Type of a cluster. */
    public static final String CLUSTER = "type.googleapis.com/envoy.config.cluster.v3.Cluster";
    /** Type of a cluster's endpoints. */
    public static final String ENDPOINTS = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
    /** The filter's name in an endpoint's metadata under which a start, a kind, a cell and an id may stand. */
    public static final String METADATA = "rushpin";
    /** The tag of field 1, of a length that is told. */
    private static final int NAME = 10;

    private static final long S = 1_000_000_000L, MOST_SPAN_S = 86_400L * 365;

    private ResourceReader() {}

    /** Reads a cluster. */
    public static ClusterSpec cluster(Any any) throws InvalidResourceException {
        if (!any.getTypeUrl().equals(CLUSTER)) {
            throw new InvalidResourceException("it is of type " + any.getTypeUrl() + "; allowed: " + CLUSTER);
        }
        try {
            return cluster(Cluster.parseFrom(any.getValue()));
        } catch (InvalidProtocolBufferException e) {
            throw new InvalidResourceException("it cannot be read as a Cluster: " + e.getMessage());
        }
    }

    /**
     * The name of a resource that may be worth nothing else; empty if there is none. Both types have it as their field 1,
     * and the last one counts; the rest is passed over.
     */
    public static String name(Any any) {
        String name = "";
        try {
            CodedInputStream in = any.getValue().newCodedInput();
            for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
                if (tag == NAME) {
                    name = in.readStringRequireUtf8();
                } else if (!in.skipField(tag)) {
                    return "";
                }
            }
            return name;
        } catch (IOException e) {
            return "";
        }
    }

    static ClusterSpec cluster(Cluster from) throws InvalidResourceException {
        if (from.getName().isEmpty()) {
            throw new InvalidResourceException("name is empty");
        }
        if (from.hasClusterType()) {
            throw new InvalidResourceException("cluster_type " + from.getClusterType().getName()
                    + " is no cluster of this node's; allowed: " + "type EDS or STATIC");
        }
        String eds = null, path = null;
        Endpoints inline = null;
        switch (from.getType()) {
            case EDS -> {
                if (!from.getEdsClusterConfig().hasEdsConfig()) {
                    throw new InvalidResourceException("eds_cluster_config.eds_config is missing; allowed: ads or self");
                }
                if (!from.getEdsClusterConfig().getEdsConfig().hasAds()
                        && !from.getEdsClusterConfig().getEdsConfig().hasSelf()
                        && !from.getEdsClusterConfig().getEdsConfig().hasPathConfigSource()) {
                    throw new InvalidResourceException("eds_cluster_config.eds_config names another server; allowed: ads or self");
                }
                String service = from.getEdsClusterConfig().getServiceName();
                path = from.getEdsClusterConfig().getEdsConfig().hasPathConfigSource()
                        ? from.getEdsClusterConfig()
                                .getEdsConfig()
                                .getPathConfigSource()
                                .getPath()
                        : null;
                eds = service.isEmpty() ? from.getName() : service;
            }
            case STATIC -> {
                if (!from.hasLoadAssignment()) {
                    throw new InvalidResourceException("load_assignment is missing in a STATIC cluster");
                }
                inline = endpoints(from.getLoadAssignment());
            }
            case STRICT_DNS, LOGICAL_DNS ->
                throw new InvalidResourceException("type " + from.getType()
                        + " wants names to be looked up, and look-ups are off here; allowed: EDS, STATIC");
            default -> throw new InvalidResourceException("type " + from.getType() + " is not for this node; allowed: EDS, STATIC");
        }
        long connect = span("connect_timeout", from.getConnectTimeout());
        int connections = 0, requests = 0;
        for (CircuitBreakers.Thresholds thresholds : from.getCircuitBreakers().getThresholdsList()) {
            if (thresholds.getPriority() == RoutingPriority.DEFAULT) {
                connections = bound("max_connections", thresholds.hasMaxConnections(), thresholds.getMaxConnections());
                requests = bound("max_requests", thresholds.hasMaxRequests(), thresholds.getMaxRequests());
            }
        }
        return new ClusterSpec(from.getName(), eds, path, inline, connect, connections, requests);
    }

    private static int bound(String key, boolean said, UInt32Value value) throws InvalidResourceException {
        if (said && value.getValue() == 0) {
            throw new InvalidResourceException("circuit_breakers " + key + " is 0, and so no request could be sent; allowed: from 1");
        }
        // Unsigned: what does not fit is no bound at all.
        return said && value.getValue() > 0 ? value.getValue() : 0;
    }

    static long span(String key, Duration of) throws InvalidResourceException {
        boolean negative = of.getSeconds() < 0 || of.getNanos() < 0;
        if (negative || of.getSeconds() > MOST_SPAN_S || of.getNanos() >= S) {
            throw new InvalidResourceException(
                    key + " is " + of.getSeconds() + " s and " + of.getNanos() + " ns; allowed: 0 to a year");
        }
        return of.getSeconds() * S + of.getNanos();
    }

    /** Reads a cluster's endpoints. */
    public static Endpoints endpoints(Any any) throws InvalidResourceException {
        return new AssignmentReader().read(any);
    }

    static Endpoints endpoints(ClusterLoadAssignment from) throws InvalidResourceException {
        return new AssignmentReader().read(from.toByteString());
    }
}
